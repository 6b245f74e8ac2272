// Package daemon assembles the components of each role from its settings and runs them until
// the process is told to stop.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
	"coveferry/internal/identity"
	"coveferry/internal/membership"
	"coveferry/internal/server"
	"coveferry/internal/settings"
	"coveferry/internal/slo"
	"coveferry/internal/telemetry"
)

// Limits of the servers for operators and the platform.
const (
	adminHeaderTimeout  = 5 * time.Second
	adminMaxHeaderBytes = 16 << 10
	adminGrace          = time.Second
)

// gateServing is the readiness gate that is closed before and after serving.
const gateServing = "serving"

// addContextActor adds the actor that ends the group when the context ends.
func addContextActor(g *run.Group, ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
}

// addServer adds a server. run.Group interrupts actors in the order in which they were added,
// one after the other, so servers stop in the order of these calls.
func addServer(g *run.Group, s *server.Server, stop func() error, stopErr *error) {
	g.Add(s.Run, func(error) {
		*stopErr = errors.CombineErrors(*stopErr, stop())
	})
}

// newAdminServer returns a server for metrics, health and readiness.
func newAdminServer(address string, h http.Handler) (*server.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for metrics and readiness")
	}
	return server.New(server.Config{
		Listener: l, Handler: h,
		HeaderTimeout: adminHeaderTimeout, MaxHeaderBytes: adminMaxHeaderBytes, Grace: adminGrace,
	}), nil
}

// loadIdentity reads the certificates that the settings name.
func loadIdentity(t settings.Trust) (*identity.Identity, error) {
	id, err := identity.Load(string(t.CAFile), string(t.CertFile), string(t.KeyFile))
	if err != nil {
		return nil, cli.BadInput(err)
	}
	return id, nil
}

// newSLOTracker returns a tracker that counts how requests meet their targets, against the
// objectives of the current snapshot.
func newSLOTracker(name string, reg prometheus.Registerer, current func() *bundle.Snapshot) *slo.Tracker {
	return slo.NewTracker(slo.Config{
		Router:     name,
		Now:        time.Now,
		Objectives: func() slo.Objectives { return objectives(current()) },
		Registry:   reg,
	})
}

// objectives returns the objectives of the classes that set one.
func objectives(s *bundle.Snapshot) slo.Objectives {
	o := slo.Objectives{ByClass: make(map[string]float64)}
	for _, c := range s.Bundle().Classes {
		if c.Objective > 0 {
			o.ByClass[c.Name] = c.Objective
		}
	}
	return o
}

// newRouterMux serves a router's metrics, health, SLO report and members.
func newRouterMux(reg *prometheus.Registry, ready *telemetry.Readiness, t *slo.Tracker, m *membership.Tracker) *http.ServeMux {
	mux := telemetry.NewMux(reg, ready)
	mux.Handle(slo.Path, t)
	mux.Handle(membership.PathMembers, m)
	return mux
}

// certificateInterval is the interval between reloads of the certificate files.
const certificateInterval = time.Minute

// addIdentity adds the actor that reloads changed certificate files.
func addIdentity(g *run.Group, id *identity.Identity, log zerolog.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		id.Watch(ctx, certificateInterval, func(err error) {
			log.Error().Err(err).Msg("reloading certificates failed; keeping the old ones")
		})
		return nil
	}, func(error) { cancel() })
}
