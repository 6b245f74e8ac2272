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

// tickEvery is how often a node looks whether it has the right partners and
// whether it is a reader.
const tickEvery = 250 * time.Millisecond

// Config is what a node needs.
type Config struct {
	// Self is this process; its address may be empty.
	Self Member
	// Keys are those that a bundle may be signed with.
	Keys []bundle.PublicKey
	// Client reaches the other processes.
	Client control.ClientConfig
	// Services are the servers of the configuration service; there may be none.
	Services []*Service
	// Apply brings a version into force. It is called in the order of versions
	// and must not wait.
	Apply func(*bundle.Snapshot)
	// OnReadiness is told of each change of the readiness; it may be nil.
	OnReadiness func(Readiness)
	Tuning      Tuning
	Log         zerolog.Logger
	Metrics     prometheus.Registerer // nil for none
}

// Node is one process's part in spreading bundles.
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
	changed   chan struct{} // closed and renewed with each version
	readiness Readiness
	reading   bool
	// told is the highest version that each peer has said it has, so that it
	// isn't woken for what it knows.
	told map[ID]uint64

	kick chan struct{} // wakes the supervisor
}

// New returns a node that holds nothing yet.
func New(cfg Config) *Node {
	n := &Node{
		cfg:     cfg,
		tuning:  cfg.Tuning.withDefaults(),
		id:      cfg.Self.ID(),
		pool:    control.NewPool(cfg.Client, 0),
		core:    NewCore(cfg.Self, cfg.Tuning, time.Now()),
		changed: make(chan struct{}),
		kick:    make(chan struct{}, 1),
		told:    make(map[ID]uint64),
		refused: refusals{log: cfg.Log},
	}
	if len(cfg.Services) == 0 {
		n.core.SetBlind()
	}
	n.store = NewStore(cfg.Keys, n.put)
	n.metrics = newMetrics(cfg.Metrics, n)
	return n
}

// Begin takes a bundle file as the first version. One that has expired isn't
// put in force, but tells which other processes there are; the error is then a
// *bundle.ExpiredError. Other errors are those of bundle.Accept.
func (n *Node) Begin(file WholeFile) error {
	err := n.store.AcceptWhole(time.Now(), file)
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

// Snapshot returns what is in force, or nil.
func (n *Node) Snapshot() *bundle.Snapshot { return n.store.snapshot() }

// Held returns what is in force with its summary, or nil.
func (n *Node) Held() *Held { return n.store.Held() }

// Readiness says whether the process may serve by what it has in force.
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

// put is the store's callback for a new version.
func (n *Node) put(h *Held) {
	members := MembersOf(h.Snapshot.Bundle())
	n.cfg.Apply(h.Snapshot)
	n.mu.Lock()
	n.core.SetHeld(h.Summary)
	n.core.SetMembers(members)
	maps.DeleteFunc(n.told, func(id ID, _ uint64) bool { _, listed := n.core.roster.byID[id]; return !listed })
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	n.cfg.Log.Info().Uint64("bundle", h.Summary.Version).Stringer("digest", h.Summary.Digest).Msg("bundle in force")
	n.wake()
}

func (n *Node) wake() {
	select {
	case n.kick <- struct{}{}:
	default: // it is awake already
	}
}

// next returns the summary in force and a channel that is closed when there
// is another.
func (n *Node) next() (Summary, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Held(), n.changed
}

// Run keeps links to partners and reads the service when it is this process's
// turn, until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.pool.Close()
	sup := supervisor{node: n, links: make(map[Member]context.CancelFunc)}
	defer sup.work.Wait()
	defer cancel()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		sup.adjust(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-n.kick:
		}
	}
}

// supervisor starts and stops a node's links and its reader. Only the
// goroutine of Run uses it.
type supervisor struct {
	node  *Node
	links map[Member]context.CancelFunc
	// stopReader is nil while the process doesn't read.
	stopReader context.CancelFunc
	work       sync.WaitGroup
}

// plan is what the core wants now.
type plan struct {
	partners  []Member
	reads     bool
	readiness Readiness
	changed   bool // the readiness
}

func (n *Node) plan(now time.Time) plan {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.Tick(now)
	p := plan{partners: n.core.Partners(now), reads: n.core.Reads(now), readiness: n.core.Readiness(now)}
	p.changed = p.readiness != n.readiness
	n.readiness, n.reading = p.readiness, p.reads
	return p
}

func (s *supervisor) adjust(ctx context.Context) {
	p := s.node.plan(time.Now())
	wanted := make(map[Member]bool, len(p.partners))
	for _, m := range p.partners {
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
	s.adjustReader(ctx, p.reads)
	if p.changed && s.node.cfg.OnReadiness != nil {
		s.node.cfg.OnReadiness(p.readiness)
	}
}

func (s *supervisor) startLink(ctx context.Context, m Member) {
	ctx, cancel := context.WithCancel(ctx)
	s.links[m] = cancel
	l := newLink(s.node, m)
	s.work.Go(func() { l.run(ctx) })
}

func (s *supervisor) adjustReader(ctx context.Context, reads bool) {
	switch {
	case reads && s.stopReader == nil:
		ctx, s.stopReader = context.WithCancel(ctx)
		r := newReader(s.node)
		s.work.Go(func() { r.run(ctx) })
	case !reads && s.stopReader != nil:
		s.stopReader()
		s.stopReader = nil
	}
}

// jitter spreads a duration over its last quarter, so that processes don't
// keep step.
func jitter(d time.Duration) time.Duration {
	return d - time.Duration(rand.Int64N(int64(d)/4+1))
}
