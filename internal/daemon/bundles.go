package daemon

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/logging"
	"coveferry/internal/rollout"
	"coveferry/internal/settings"
	"coveferry/internal/telemetry"
)

// noteBundle is the topic under which /readyz tells of the bundle.
const noteBundle = "bundle"

// bundles keeps a process's bundle up to date.
type bundles struct {
	node     *rollout.Node
	services []*rollout.ServiceClient
	log      zerolog.Logger
	ready    chan struct{} // closed when there is a bundle to serve by
	stop     context.CancelFunc
	ended    chan struct{}

	mu     sync.Mutex
	follow func(*bundle.Snapshot)
}

// startBundles begins with the bundle file that the settings name, if there is
// one, and hears of versions from now on. stop ends it, unless the group that
// it is added to has done so.
func startBundles(s settings.Process, id *identity.Identity, reg prometheus.Registerer, ready *telemetry.Readiness, log zerolog.Logger) (*bundles, error) {
	traffic := &control.Traffic{}
	traffic.RegisterMetrics(reg)
	b := &bundles{log: log, ready: make(chan struct{}), ended: make(chan struct{})}
	for _, u := range s.ConfigService {
		base, err := url.Parse(u.String())
		if err != nil {
			return nil, cli.BadInput(errors.Wrap(err, "config_service"))
		}
		b.services = append(b.services, rollout.NewServiceClient(base, nil))
	}
	var once sync.Once
	b.node = rollout.New(rollout.Config{
		Self: rollout.Member{
			Peer: id.Peer(), Address: s.ControlListen.String(),
			FailureDomain: string(s.FailureDomain), Region: string(s.Region),
		},
		Keys:     s.Trust.Keys(),
		Client:   control.ClientConfig{Identity: id, Traffic: traffic, Log: log},
		Services: b.services,
		Apply:    b.apply,
		OnReadiness: func(r rollout.Readiness) {
			ready.Note(noteBundle, unconfirmed(r))
			if r.Ready {
				once.Do(func() { close(b.ready) })
			}
		},
		Log: log, Metrics: reg,
	})
	if err := b.begin(s); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	go b.run(ctx)
	return b, nil
}

func (b *bundles) run(ctx context.Context) {
	defer close(b.ended)
	_ = b.node.Run(ctx) // it ends with ctx, without an error
	for _, s := range b.services {
		s.Close()
	}
}

// begin takes the bundle file. One that has expired only tells whom to ask.
func (b *bundles) begin(s settings.Process) error {
	if s.BundleFile == "" {
		return nil
	}
	file, err := readBundle(string(s.BundleFile))
	if err != nil {
		return cli.BadInput(err)
	}
	err = b.node.AcceptFile(file)
	if errors.Is(err, bundle.ErrExpired) {
		b.log.Warn().Err(err).Msg("the bundle file only tells which other processes there are")
		return nil
	}
	if err != nil {
		return cli.BadInput(errors.Wrapf(err, "bundle %s", s.BundleFile))
	}
	return nil
}

func readBundle(file string) (rollout.BundleFile, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return rollout.BundleFile{}, errors.Wrap(err, "bundle")
	}
	sig, err := os.ReadFile(file + bundle.SignatureSuffix)
	if err != nil {
		return rollout.BundleFile{}, errors.Wrap(err, "bundle's signature")
	}
	return rollout.BundleFile{Source: string(src), Signature: string(sig)}, nil
}

// first waits for a bundle to serve by: one that others confirm, or the one at
// hand after a bounded wait. It returns nil if ctx ends before that.
func (b *bundles) first(ctx context.Context) *bundle.Snapshot {
	begun := time.Now()
	b.log.Info().Msg("waiting for a bundle")
	select {
	case <-b.ready:
	case <-ctx.Done():
		b.stop()
		<-b.ended
		return nil
	}
	b.log.Info().Uint64(logging.FieldBundle, b.node.Snapshot().Version()).
		Bool("confirmed", b.node.Readiness().Confirmed).Dur("waited", time.Since(begun)).Msg("bundle to serve by")
	return b.node.Snapshot()
}

// then calls follow with the bundle in force, and with each later one.
func (b *bundles) then(follow func(*bundle.Snapshot)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.follow = follow
	follow(b.node.Snapshot())
}

func (b *bundles) apply(s *bundle.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.follow != nil {
		b.follow(s)
	}
}

// addBundles adds the actor that keeps the bundle up to date.
func addBundles(g *run.Group, b *bundles) {
	g.Add(func() error { <-b.ended; return nil }, func(error) { b.stop() })
}

// unconfirmed says why a process serves by a bundle that it isn't sure of.
func unconfirmed(r rollout.Readiness) string {
	if r.Confirmed {
		return ""
	}
	return fmt.Sprintf("no other process confirmed yet that there is no newer bundle: %d of %d were heard, in %d of %d failure domains",
		r.Peers, r.WantPeers, r.Domains, r.WantDomains)
}
