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

// newPlacement returns what gives orders to the agent's engine. Without a
// placement in the bundle it gives none.
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

// followAll calls each with a bundle that comes in force.
func followAll(each ...func(*bundle.Snapshot)) func(*bundle.Snapshot) {
	return func(s *bundle.Snapshot) {
		for _, follow := range each {
			follow(s)
		}
	}
}

// place has the runner act by a bundle.
func place(r *placement.Runner) func(*bundle.Snapshot) {
	return func(s *bundle.Snapshot) { r.SetBundle(s.Bundle()) }
}
