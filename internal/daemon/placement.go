package daemon

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/identity"
	"coveferry/internal/placement"
	"coveferry/internal/server"
	"coveferry/internal/settings"
)

// newPlacement returns the runner that sends placement orders to the agent's engine. It sends
// none if the bundle has no placement.
func newPlacement(s *settings.Agent, id *identity.Identity, reg prometheus.Registerer, log zerolog.Logger) *placement.Runner {
	return placement.New(placement.Config{
		Endpoint:  string(s.Endpoint),
		EngineURL: strings.TrimSuffix(s.Engine.URL.String(), "/"),
		Engine:    server.NewClient(nil, nil),
		Peers:     server.NewClient(id.ClientConfig(identity.RoleAgent, identity.AnyName), nil),
		Scheme:    "https",
		Log:       log,
		Metrics:   reg,
	})
}

// notifyAll returns a function that passes a new bundle to each subscriber.
func notifyAll(subscribers ...func(*bundle.Snapshot)) func(*bundle.Snapshot) {
	return func(s *bundle.Snapshot) {
		for _, onSnapshot := range subscribers {
			onSnapshot(s)
		}
	}
}

// applyPlacement returns a function that applies a bundle's placement.
func applyPlacement(r *placement.Runner) func(*bundle.Snapshot) {
	return func(s *bundle.Snapshot) { r.SetBundle(s.Bundle()) }
}
