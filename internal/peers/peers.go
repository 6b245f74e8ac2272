// Package peers lets routers read the origin of their configuration and list of endpoints for each
// other. In each failure domain a few routers are readers, which call the origin; the others poll
// these, and learn the age of the state that they get. There is no
// agreement protocol: each router determines the readers from the members that it has seen
// recently, and calls the origin itself if the state is too old or no peer answers.
package peers

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/balance"
	"coveferry/internal/clock"
	"coveferry/internal/control"
	"coveferry/internal/directory"
	"coveferry/internal/endpointrate"
	"coveferry/internal/follow"
	"coveferry/internal/idle"
	"coveferry/internal/poison"
)

// Config configures a Source.
type Config struct {
	Self Member
	// FailureDomains lists all failure domains of the settings in which routers may run.
	FailureDomains []string
	// Seeds are control addresses of some routers, which may be outdated or down.
	Seeds []string
	// Origin is called by the readers.
	Origin Origin
	// Pool holds the connections to peers.
	Pool *control.Pool
	// PollInterval is the time between two polls of a peer.
	PollInterval time.Duration
	// MaxAge is the age above which a peer's state is rejected.
	MaxAge time.Duration
	// OutageThreshold is the longest time without an answer of the origin that doesn't count
	// as an outage.
	OutageThreshold time.Duration
	// Clock timestamps the messages of peers; nil means clock.Boot.
	Clock clock.Clock
	Log   zerolog.Logger
	// Metrics registers the counter of calls to the origin; nil for none.
	Metrics prometheus.Registerer
}

// Origin is the service that holds the configuration and the list of endpoints.
type Origin interface {
	follow.Source
	// CatchUp returns at once the changes after a revision, with only the newest version of
	// the configuration. See follow.Reader.
	CatchUp(ctx context.Context, after directory.Revision) (follow.Reading, error)
}

// originCallInterval is the least time between two calls to the origin by a router that isn't a
// reader. If no peer has newer state, the readers are already calling the origin.
const originCallInterval = 800 * time.Millisecond

// emptyPeersInterval is the originCallInterval of a router whose peers have no state yet.
const emptyPeersInterval = 2 * time.Second

// Source implements follow.Source by querying peers, and the origin if they fail.
type Source struct {
	cfg      Config
	members  *members
	demand   demandTable
	work     teamWorkTable
	loads    loadReports
	failures failureReports
	poison   exchange[poison.Message]
	limits   exchange[balance.LimitSummaries]
	streams  atomic.Pointer[Streams]
	uptime   originUptime
	changes  changeLog
	configs  configLog
	origin   *monitoredOrigin
	// rejectedAges counts the answers of peers whose age was not believed or too old.
	rejectedAges *prometheus.CounterVec
	mu           sync.Mutex
	// state is what this router has in force and sends to others.
	state      State
	helloCount int // hellos sent, to select the next seed
	// lastOriginCall is when this router last called the origin without being a reader.
	lastOriginCall time.Time
	// originWantedSince is the start of the current series of attempts to call the origin, and
	// originWantedAt the latest of them.
	originWantedSince, originWantedAt time.Time
	// configPendingAt is when a reader last reported that a configuration is pending.
	configPendingAt time.Time
	// startedAt is when this router began to announce itself.
	startedAt time.Time
	// startedFirstRead is set when the first full read starts, even if it fails.
	startedFirstRead bool
	// skipPeers is closed by SkipPeerWait.
	skipPeers     chan struct{}
	skipPeersOnce sync.Once
}

// State is the state that a router sends to others. See follow.Follower.
type State interface {
	Snapshot() follow.Snapshot
}

// New returns a Source that knows no peers until Run.
func New(cfg Config) *Source {
	if cfg.Clock == nil {
		cfg.Clock = clock.Boot
	}
	s := &Source{cfg: cfg, members: newMembers(cfg.Self), uptime: originUptime{maxGap: cfg.OutageThreshold}, skipPeers: make(chan struct{}), rejectedAges: newRejectedAges(cfg.Metrics)}
	s.origin = &monitoredOrigin{Origin: cfg.Origin, calls: newCallCounter(cfg.Metrics), onAnswer: func() { s.uptime.recordAnswer(cfg.Clock()) }}
	return s
}

// PeerCount returns the number of other routers, by which fleet-wide limits such as the retry slack
// are divided. A partitioned part of a fleet must not take itself for the whole, so routers that
// are no longer seen still count for partitionTTL.
func (s *Source) PeerCount() int { return s.members.countWithPartitioned(time.Now()) }

// settleTime is how long a router announces itself before it knows all of its failure domain. In
// that time it sends a hello to each of three seeds and another one to the first, and the routers
// that started with it send theirs.
const settleTime = 4 * helloInterval

// Fleet returns the routers that share the rate limits of endpoints with this one. Known is false
// until this router has announced itself for settleTime, or for rateSharerTTL if it has seen no
// router though it has seeds. Until rateSharerTTL all failure domains of the settings count, seen
// or not; after it only those in which a router was seen. A router with seeds that sees no other
// then gets LostRouters, the number of routers that it may be partitioned from.
func (s *Source) Fleet(now time.Time) endpointrate.Fleet {
	announcing := s.announcingFor(now)
	if announcing < settleTime {
		return endpointrate.Fleet{}
	}
	domainPeers, domains := s.members.rateSharers(now)
	alone := len(domainPeers) == 0 && len(domains) == 0 && s.hasSeeds()
	domains = union(domains, []string{s.cfg.Self.FailureDomain})
	switch {
	case announcing < rateSharerTTL && alone:
		return endpointrate.Fleet{}
	case announcing < rateSharerTTL:
		domains = union(domains, s.cfg.FailureDomains)
	case alone:
		return endpointrate.Fleet{Known: true, Domains: domains, LostRouters: cmp.Or(s.members.peakCount(), AssumedFleetSize)}
	}
	return endpointrate.Fleet{Known: true, OwnDomainRouters: domainPeers, Domains: domains}
}

// announcingFor returns for how long this router has been announcing itself.
func (s *Source) announcingFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		return 0
	}
	return now.Sub(s.startedAt)
}

// AssumedFleetSize is the number of routers that a router assumes if it has seen none though
// there may be others. It is somewhat above the planned maximum.
const AssumedFleetSize = 1000

// union returns the sorted distinct elements of a and b.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// hasSeeds reports whether any seed is configured besides this router.
func (s *Source) hasSeeds() bool {
	return slices.ContainsFunc(s.cfg.Seeds, func(seed string) bool { return seed != s.cfg.Self.Address })
}

// SetState sets the state to send to others; until then requests for it are refused.
func (s *Source) SetState(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *Source) localState() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Read implements follow.Source.
func (s *Source) Read(ctx context.Context, fresh bool) (follow.Reading, error) {
	r, err := s.read(ctx, fresh)
	r.SourceUptime = s.uptime.span()
	return r, err
}

func (s *Source) read(ctx context.Context, fresh bool) (follow.Reading, error) {
	if s.isFirstRead() {
		r, ok := s.readFromPeers(ctx)
		if ok || ctx.Err() != nil {
			return r, context.Cause(ctx)
		}
	}
	now := time.Now()
	reader := s.members.isReader(now)
	if reader {
		s.mayCallOrigin(now, 0)
	} else {
		r, err := s.queryPeers(ctx, s.readPages)
		if err == nil || !s.mayCallOrigin(now, minOriginInterval(err)) {
			return r.Reading, err
		}
	}
	r, err := s.origin.Read(ctx, fresh)
	if err == nil || !reader || ctx.Err() != nil {
		return r, err
	}
	// The origin may refuse only this router.
	fromPeer, peerErr := s.queryPeers(ctx, s.readPages)
	if peerErr != nil {
		return follow.Reading{}, errors.CombineErrors(err, peerErr)
	}
	return fromPeer.Reading, nil
}

// Await implements follow.Source. A router that isn't a reader polls its readers instead of
// waiting at the origin.
func (s *Source) Await(ctx context.Context, after directory.Revision, wait time.Duration) (follow.Reading, error) {
	r, err := s.await(ctx, after, wait)
	r.SourceUptime = s.uptime.span()
	return r, err
}

func (s *Source) await(ctx context.Context, after directory.Revision, wait time.Duration) (follow.Reading, error) {
	if s.actsAsReader(time.Now()) {
		return s.awaitAsReader(ctx, after, wait)
	}
	if !clock.Sleep(ctx, min(s.cfg.PollInterval, wait)) {
		return follow.Reading{}, context.Cause(ctx)
	}
	r, err := s.queryPeers(ctx, s.pollUpdates)
	if errors.Is(err, follow.ErrHistoryLost) || err == nil && !r.originUnavailable || !s.mayCallOrigin(time.Now(), originCallInterval) {
		return r.Reading, err
	}
	if err != nil {
		return s.callOrigin(ctx, after)
	}
	return s.awaitWithFallback(ctx, after, r.Reading), nil
}

// callOrigin requests the changes from the origin without waiting. If a configuration is pending
// it reads only the newest one: Await returns each missed version in full, and a reader that
// failed in the middle of one has often missed several.
func (s *Source) callOrigin(ctx context.Context, after directory.Revision) (follow.Reading, error) {
	if s.isConfigPending(time.Now()) {
		return s.origin.CatchUp(ctx, after)
	}
	return s.origin.Await(ctx, after, follow.MinWait)
}

// recordPending records a reader's answer, to a request sent at the given time, on whether a
// configuration is pending.
func (s *Source) recordPending(sent time.Time, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending {
		s.configPendingAt = sent
	}
}

// isConfigPending reports whether a reader recently reported a pending configuration.
func (s *Source) isConfigPending(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.configPendingAt) < s.pollUpdateWindow()
}

// awaitWithFallback calls the origin after a reader that can't reach it has answered, and falls
// back on that answer. If the origin is unresponsive only to the readers, the routers that it
// would answer lose 2.4 s by waiting until the readers' state is too old: 17 of 30 routers sent
// requests to endpoints 3.0 s after these had left.
func (s *Source) awaitWithFallback(ctx context.Context, after directory.Revision, fallback follow.Reading) follow.Reading {
	ctx, cancel := idle.WithTimeout(ctx, callTimeout, callTimeout)
	defer cancel()
	r, err := s.callOrigin(ctx, after)
	if err != nil {
		return fallback
	}
	return r
}

// awaitAsReader calls the origin, and if it fails the readers of other failure domains, since the
// origin may refuse only this router.
func (s *Source) awaitAsReader(ctx context.Context, after directory.Revision, wait time.Duration) (follow.Reading, error) {
	r, err := s.awaitOrigin(ctx, after, wait)
	if err == nil || errors.Is(err, follow.ErrHistoryLost) || errors.Is(context.Cause(ctx), context.Canceled) {
		return r, err
	}
	fromPeer, peerErr := s.queryPeers(context.WithoutCancel(ctx), s.pollUpdates)
	if peerErr == nil || errors.Is(peerErr, follow.ErrHistoryLost) {
		return fromPeer.Reading, peerErr
	}
	return follow.Reading{}, errors.CombineErrors(err, peerErr)
}

// awaitOrigin waits at the origin for a change. While calls fail it doesn't wait: peers supply the
// updates, and the calls only serve to detect the recovery and to fetch the newest state.
func (s *Source) awaitOrigin(ctx context.Context, after directory.Revision, wait time.Duration) (follow.Reading, error) {
	if s.origin.unavailableFor() == 0 {
		return s.origin.Await(ctx, after, wait)
	}
	if !clock.Sleep(ctx, min(s.cfg.PollInterval, wait)) {
		return follow.Reading{}, context.Cause(ctx)
	}
	ctx, cancel := idle.WithTimeout(ctx, callTimeout, callTimeout)
	defer cancel()
	return s.origin.CatchUp(ctx, after)
}

// minOriginInterval is the least time between two calls to the origin by a router that has no state
// and isn't a reader, given the error of its peers. If these answered that they have no state
// either, their readers are already calling the origin several times a second.
func minOriginInterval(err error) time.Duration {
	var refused *control.Error
	if errors.As(err, &refused) {
		return emptyPeersInterval
	}
	return 0
}

// originCallersPerRound is how many routers of a failure domain may call the origin within the
// call interval of one of them. Without a bound a whole fleet calls it as soon as the readers
// can't: hundreds of calls a second to a failing origin.
const originCallersPerRound = 16

// originWantedTTL is the gap between attempts to call the origin after which a new series begins.
const originWantedTTL = time.Second

// mayCallOrigin reports whether this router, if its last call is at least interval ago, may call the
// origin now, and if so records the call. In a large failure domain routers take turns: each
// waits for a round of several intervals, and the first call of a series waits for the router's
// turn.
func (s *Source) mayCallOrigin(now time.Time, interval time.Duration) bool {
	position, intervals := s.members.originTurn(now)
	round := time.Duration(intervals * float64(interval))
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.originWantedAt) > originWantedTTL {
		s.originWantedSince = now
	}
	s.originWantedAt = now
	first := s.originWantedSince.Add(time.Duration(position * float64(round-interval)))
	if now.Sub(s.lastOriginCall) < round || now.Before(first) {
		return false
	}
	s.lastOriginCall = now
	return true
}
