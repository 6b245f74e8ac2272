package rollout

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/control"
)

// tickInterval is how often a node checks its partners and whether it reads the
// service.
const tickInterval = 250 * time.Millisecond

// Config configures a Node.
type Config struct {
	// Self describes this process; its address may be empty.
	Self Member
	// Keys are trusted to sign bundles.
	Keys []bundle.PublicKey
	// Client connects to the other processes.
	Client control.ClientConfig
	// Services are clients of the servers of the configuration service; there
	// may be none.
	Services []*ServiceClient
	// Apply activates a version. It is called in the order of versions and must
	// not block.
	Apply func(*bundle.Snapshot)
	// OnReadiness is called on each change of the readiness; it may be nil.
	OnReadiness func(Readiness)
	Tuning      Tuning
	Log         zerolog.Logger
	Metrics     prometheus.Registerer // may be nil
}

// Node takes part in the dissemination of bundles on behalf of one process.
type Node struct {
	cfg     Config
	tuning  Tuning
	id      ID
	store   *Store
	pool    *control.Pool
	metrics *metrics
	refused refusals

	mu        sync.Mutex
	core      *Core
	changed   chan struct{} // closed and replaced on each new version
	readiness Readiness
	reading   bool
	// announcedVersions is the version that each peer announced last, so that
	// its waiting exchange isn't answered for a version that it has.
	announcedVersions map[ID]uint64

	wakeup chan struct{} // wakes the supervisor
}

// New returns a node without a version.
func New(cfg Config) *Node {
	n := &Node{
		cfg:               cfg,
		tuning:            cfg.Tuning.withDefaults(),
		id:                cfg.Self.ID(),
		pool:              control.NewPool(cfg.Client, 0),
		core:              NewCore(cfg.Self, cfg.Tuning, time.Now()),
		changed:           make(chan struct{}),
		wakeup:            make(chan struct{}, 1),
		announcedVersions: make(map[ID]uint64),
		refused:           refusals{log: cfg.Log},
	}
	if len(cfg.Services) == 0 {
		n.core.SetNoServiceConfigured()
	}
	n.store = NewStore(cfg.Keys, n.activate)
	n.metrics = newMetrics(cfg.Metrics, n)
	return n
}

// AcceptFile activates a signed bundle file as the first version. An expired
// bundle isn't activated, but its list of processes is used; the error is then
// a *bundle.ExpiredError. Other errors are those of bundle.Accept.
func (n *Node) AcceptFile(file BundleFile) error {
	err := n.store.AcceptFile(time.Now(), file)
	if !errors.Is(err, bundle.ErrExpired) {
		return err
	}
	b, parseErr := bundle.Parse(sourceFile, []byte(file.Source))
	if parseErr != nil {
		return parseErr
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.SetMembers(MembersOf(b))
	return err
}

// Snapshot returns the active snapshot, or nil.
func (n *Node) Snapshot() *bundle.Snapshot { return n.store.snapshot() }

// Active returns the active version, or nil.
func (n *Node) Active() *ActiveVersion { return n.store.Active() }

// Readiness says whether the process may serve with the active version.
func (n *Node) Readiness() Readiness {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readiness
}

// Reading says whether this process reads the configuration service now.
func (n *Node) Reading() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reading
}

// activate is the store's callback for a new version.
func (n *Node) activate(h *ActiveVersion) {
	members := MembersOf(h.Snapshot.Bundle())
	n.cfg.Apply(h.Snapshot)
	n.mu.Lock()
	n.core.SetActive(h.Summary)
	n.core.SetMembers(members)
	maps.DeleteFunc(n.announcedVersions, func(id ID, _ uint64) bool { _, listed := n.core.membership.byID[id]; return !listed })
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	n.cfg.Log.Info().Uint64("bundle", h.Summary.Version).Stringer("digest", h.Summary.Digest).Msg("bundle in force")
	n.wake()
}

func (n *Node) wake() {
	select {
	case n.wakeup <- struct{}{}:
	default: // a wakeup is pending
	}
}

// watchActive returns the active version and a channel that is closed when it
// changes.
func (n *Node) watchActive() (Summary, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.ActiveSummary(), n.changed
}

// Run keeps links to partners and reads the service while this process is a
// reader, until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.pool.Close()
	sup := supervisor{node: n, links: make(map[Member]context.CancelFunc)}
	defer sup.wg.Wait()
	defer cancel()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		sup.reconcile(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-n.wakeup:
		}
	}
}

// supervisor starts and stops a node's links and its reader. Only the goroutine
// of Run uses it.
type supervisor struct {
	node  *Node
	links map[Member]context.CancelFunc
	// stopReader is nil while the process doesn't read.
	stopReader context.CancelFunc
	wg         sync.WaitGroup
}

// desiredState is what the core wants to run now.
type desiredState struct {
	partners         []Member
	reads            bool
	readiness        Readiness
	readinessChanged bool // since the last call
}

func (n *Node) desiredState(now time.Time) desiredState {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.Tick(now)
	d := desiredState{partners: n.core.Partners(now), reads: n.core.ShouldRead(now), readiness: n.core.Readiness(now)}
	d.readinessChanged = d.readiness != n.readiness
	n.readiness, n.reading = d.readiness, d.reads
	return d
}

func (s *supervisor) reconcile(ctx context.Context) {
	d := s.node.desiredState(time.Now())
	wanted := make(map[Member]bool, len(d.partners))
	for _, m := range d.partners {
		wanted[m] = true
		if s.links[m] == nil {
			s.startLink(ctx, m)
		}
	}
	for m, stop := range s.links {
		if !wanted[m] {
			stop()
			delete(s.links, m)
		}
	}
	s.reconcileReader(ctx, d.reads)
	if d.readinessChanged && s.node.cfg.OnReadiness != nil {
		s.node.cfg.OnReadiness(d.readiness)
	}
}

func (s *supervisor) startLink(ctx context.Context, m Member) {
	ctx, cancel := context.WithCancel(ctx)
	s.links[m] = cancel
	l := newLink(s.node, m)
	s.wg.Go(func() { l.run(ctx) })
}

func (s *supervisor) reconcileReader(ctx context.Context, reads bool) {
	switch {
	case reads && s.stopReader == nil:
		ctx, s.stopReader = context.WithCancel(ctx)
		r := newReader(s.node)
		s.wg.Go(func() { r.run(ctx) })
	case !reads && s.stopReader != nil:
		s.stopReader()
		s.stopReader = nil
	}
}

// jitter returns a random duration in the last quarter of d, so that processes
// don't synchronize.
func jitter(d time.Duration) time.Duration {
	return d - time.Duration(rand.Int64N(int64(d)/4+1))
}
