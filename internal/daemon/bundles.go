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

// bundleTopic is the topic of the bundle's status on /readyz.
const bundleTopic = "bundle"

// bundleReceiver keeps a process's bundle up to date.
type bundleReceiver struct {
	node     *rollout.Node
	services []*rollout.ServiceClient
	log      zerolog.Logger
	ready    chan struct{} // closed when a usable bundle is available
	stop     context.CancelFunc
	done     chan struct{}

	mu         sync.Mutex
	onSnapshot func(*bundle.Snapshot)
}

// startBundles loads the bundle file from the settings, if one is set, and starts receiving
// newer versions. The caller must call stop, unless the run group to which the bundles are
// added does so.
func startBundles(s settings.Process, id *identity.Identity, reg prometheus.Registerer, ready *telemetry.Readiness, log zerolog.Logger) (*bundleReceiver, error) {
	traffic := &control.Traffic{}
	traffic.RegisterMetrics(reg)
	b := &bundleReceiver{log: log, ready: make(chan struct{}), done: make(chan struct{})}
	for _, u := range s.ConfigService {
		base, err := url.Parse(u.String())
		if err != nil {
			return nil, cli.BadInput(errors.Wrap(err, "config_service"))
		}
		b.services = append(b.services, rollout.NewServiceClient(base, nil))
	}
	var readyOnce sync.Once
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
			ready.SetNote(bundleTopic, unconfirmedReason(r))
			if r.Ready {
				readyOnce.Do(func() { close(b.ready) })
			}
		},
		Log: log, Metrics: reg,
	})
	if err := b.loadFile(s); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	go b.run(ctx)
	return b, nil
}

func (b *bundleReceiver) run(ctx context.Context) {
	defer close(b.done)
	_ = b.node.Run(ctx) // it ends with ctx, without an error
	for _, s := range b.services {
		s.Close()
	}
}

// loadFile loads the bundle file. An expired bundle is only used as a list of processes to
// contact.
func (b *bundleReceiver) loadFile(s settings.Process) error {
	if s.BundleFile == "" {
		return nil
	}
	file, err := readBundle(string(s.BundleFile))
	if err != nil {
		return cli.BadInput(err)
	}
	err = b.node.AcceptFile(file)
	if errors.Is(err, bundle.ErrExpired) {
		b.log.Warn().Err(err).Msg("bundle file has expired; it is only used to find other processes")
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
		return rollout.BundleFile{}, errors.Wrap(err, "read the bundle")
	}
	sig, err := os.ReadFile(file + bundle.SignatureSuffix)
	if err != nil {
		return rollout.BundleFile{}, errors.Wrap(err, "read the bundle's signature")
	}
	return rollout.BundleFile{Source: string(src), Signature: string(sig)}, nil
}

// waitForFirst waits until there is a usable bundle: one that other processes confirm or,
// after a bounded wait, the local one. It returns nil if ctx ends first.
func (b *bundleReceiver) waitForFirst(ctx context.Context) *bundle.Snapshot {
	started := time.Now()
	b.log.Info().Msg("waiting for a bundle")
	select {
	case <-b.ready:
	case <-ctx.Done():
		b.stop()
		<-b.done
		return nil
	}
	b.log.Info().Uint64(logging.FieldBundle, b.node.Snapshot().Version()).
		Bool("confirmed", b.node.Readiness().Confirmed).Dur("waited", time.Since(started)).Msg("bundle available")
	return b.node.Snapshot()
}

// subscribe calls onSnapshot with the current bundle and with each later one.
func (b *bundleReceiver) subscribe(onSnapshot func(*bundle.Snapshot)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onSnapshot = onSnapshot
	onSnapshot(b.node.Snapshot())
}

func (b *bundleReceiver) apply(s *bundle.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.onSnapshot != nil {
		b.onSnapshot(s)
	}
}

// addBundles adds the actor that keeps the bundle up to date.
func addBundles(g *run.Group, b *bundleReceiver) {
	g.Add(func() error { <-b.done; return nil }, func(error) { b.stop() })
}

// unconfirmedReason explains why a process serves with a bundle that isn't confirmed.
func unconfirmedReason(r rollout.Readiness) string {
	if r.Confirmed {
		return ""
	}
	return fmt.Sprintf("no other process confirmed yet that there is no newer bundle: %d of %d were heard, in %d of %d failure domains",
		r.Peers, r.WantPeers, r.Domains, r.WantDomains)
}
