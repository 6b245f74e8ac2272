// Package peers lets routers read a source for each other. In each failure domain
// a few of them read it; the others ask these, and learn how old what they hear
// is. Nothing is agreed on: each router works out from whom it heard lately who
// reads, and reads for itself whenever what it hears is too old or nobody answers.
package peers

import (
	"cmp"
	"context"
	"slices"
	"sync"
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
	"coveferry/internal/route"
)

// Config is what a Source needs.
type Config struct {
	Self Member
	// FailureDomains are all that routers may be in, as the settings name them.
	FailureDomains []string
	// Seeds are control addresses of some routers, which may be stale or down.
	Seeds []string
	// Source is read by the routers that read for others.
	Source Origin
	// Pool reaches peers.
	Pool *control.Pool
	// Every is the time between two questions to a peer.
	Every time.Duration
	// MaxAge is the age from which what peers say is too old.
	MaxAge time.Duration
	// Outage is the longest gap in what a router reads of the source by which that hasn't
	// been away.
	Outage time.Duration
	// Clock tells when others said what; nil is clock.Boot.
	Clock clock.Clock
	Log   zerolog.Logger
	// Metrics takes the counter of calls to the source; nil for none.
	Metrics prometheus.Registerer
}

// Origin is the source that peers read for each other.
type Origin interface {
	follow.Source
	// CatchUp tells at once what changed after a revision, of the configuration only
	// the newest version. See follow.Reader.
	CatchUp(ctx context.Context, after uint64) (follow.Reading, error)
}

// directEvery is the least time between two calls to the source by a router that
// doesn't read for others: where nobody knows more, its readers are asking already.
const directEvery = 800 * time.Millisecond

// nothingEvery is the same while peers answer that they know nothing yet.
const nothingEvery = 2 * time.Second

// Source implements follow.Source by asking peers, or the source behind them.
type Source struct {
	cfg      Config
	members  *members
	demands  demands
	loads    loads
	failures failures
	poison   exchange[poison.Words]
	limits   exchange[balance.LimitWords]
	steady   steady
	log      changelog
	configs  configlog
	direct   *watched // the source itself
	mu       sync.Mutex
	// state is what this router itself believes, and tells others.
	state State
	hello int // counts the words sent, to take the seeds in turn
	// asked is when this router last asked the source though it isn't a reader.
	asked time.Time
	// wantedSince is since when it has wanted to, and wantedAt when it last did.
	wantedSince, wantedAt time.Time
	// pendingAt is when a reader last told that a configuration is on its way.
	pendingAt time.Time
	// began is when this router began to greet others.
	began time.Time
	// hasRead says that this router has asked for everything before.
	hasRead bool
	// hurried is closed once a caller waits for a router that knows nothing.
	hurried chan struct{}
	hurry   sync.Once
}

// State is what a router tells others. See follow.Follower.
type State interface {
	// Config is the configuration in force; nil before the first.
	Config() *route.Config
	Directory() *directory.Directory
	// Age is how long ago both were certainly the newest.
	Age() time.Duration
}

// New returns a source that is alone until Run.
func New(cfg Config) *Source {
	if cfg.Clock == nil {
		cfg.Clock = clock.Boot
	}
	s := &Source{cfg: cfg, members: newMembers(cfg.Self), steady: steady{outage: cfg.Outage}, hurried: make(chan struct{})}
	s.direct = &watched{Origin: cfg.Source, calls: newCalls(cfg.Metrics), answered: func() { s.steady.answered(cfg.Clock()) }}
	return s
}

// Others is how many other routers there are with which limits are shared. A part of a fleet
// that is cut off must not take itself for the whole, so that routers count on for a while
// that are no longer heard of.
func (s *Source) Others() int { return s.members.sharing(time.Now()) }

// settleFor is how long a router greets others before it knows all of its failure domain:
// each seed once, and once more, as those that start with it greet them meanwhile.
const settleFor = 4 * helloEvery

// Fleet is which routers share endpoints with this one: those heard of in the last nearFor. A
// failure domain of the settings counts without having been heard of until this router has
// greeted others for that long; not all domains have routers.
func (s *Source) Fleet(now time.Time) endpointrate.Fleet {
	greeted := s.greetingFor(now)
	if greeted < settleFor {
		return endpointrate.Fleet{}
	}
	near, domains := s.members.sharers(now)
	alone := len(near) == 0 && len(domains) == 0 && s.hasSeeds()
	domains = union(domains, []string{s.cfg.Self.FailureDomain})
	switch {
	case greeted < nearFor && alone:
		return endpointrate.Fleet{}
	case greeted < nearFor:
		domains = union(domains, s.cfg.FailureDomains)
	case alone:
		return endpointrate.Fleet{Known: true, Domains: domains, CutOffFrom: cmp.Or(s.members.everKnown(), LargestFleet)}
	}
	return endpointrate.Fleet{Known: true, Near: near, Domains: domains}
}

// greetingFor is for how long this router has greeted others.
func (s *Source) greetingFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began.IsZero() {
		return 0
	}
	return now.Sub(s.began)
}

// LargestFleet is how many routers one takes for granted that has heard of none though there
// may be others: somewhat more than are planned.
const LargestFleet = 1000

// union is all that is in a or b.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// hasSeeds says whether other routers are to be had.
func (s *Source) hasSeeds() bool {
	return slices.ContainsFunc(s.cfg.Seeds, func(seed string) bool { return seed != s.cfg.Self.Address })
}

// Tell sets what this router tells others; before it tells nothing.
func (s *Source) Tell(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *Source) own() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Read implements follow.Source.
func (s *Source) Read(ctx context.Context, fresh bool) (follow.Reading, error) {
	r, err := s.read(ctx, fresh)
	r.Steady = s.steady.span()
	return r, err
}

func (s *Source) read(ctx context.Context, fresh bool) (follow.Reading, error) {
	if s.isFirst() {
		r, ok := s.readFromPeers(ctx)
		if ok || ctx.Err() != nil {
			return r, context.Cause(ctx)
		}
	}
	now := time.Now()
	reader := s.members.isReader(now)
	if reader {
		s.mayAskDirectly(now, 0)
	} else {
		r, err := s.ask(ctx, s.readPages)
		if err == nil || !s.mayAskDirectly(now, pauseAfter(err)) {
			return r.Reading, err
		}
	}
	r, err := s.direct.Read(ctx, fresh)
	if err == nil || !reader || ctx.Err() != nil {
		return r, err
	}
	// The source may turn away this router alone.
	heard, peerErr := s.ask(ctx, s.readPages)
	if peerErr != nil {
		return follow.Reading{}, errors.CombineErrors(err, peerErr)
	}
	return heard.Reading, nil
}

// Await implements follow.Source. A router that doesn't read asks its readers
// again and again instead of waiting at the source.
func (s *Source) Await(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	r, err := s.await(ctx, after, wait)
	r.Steady = s.steady.span()
	return r, err
}

func (s *Source) await(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	if s.isReader(time.Now()) {
		return s.awaitAsReader(ctx, after, wait)
	}
	if !clock.Sleep(ctx, min(s.cfg.Every, wait)) {
		return follow.Reading{}, context.Cause(ctx)
	}
	r, err := s.ask(ctx, s.askNews)
	if errors.Is(err, follow.ErrHistoryLost) || err == nil && !r.sourceLost || !s.mayAskDirectly(time.Now(), directEvery) {
		return r.Reading, err
	}
	if err != nil {
		return s.askSource(ctx, after)
	}
	return s.awaitBeside(ctx, after, r.Reading), nil
}

// askSource asks the source at once for what changed. Where a configuration is known to have
// changed the newest alone is read: news hold each version that was missed, and a reader that
// stopped in the middle of one has often missed several.
func (s *Source) askSource(ctx context.Context, after uint64) (follow.Reading, error) {
	if s.isPending(time.Now()) {
		return s.direct.CatchUp(ctx, after)
	}
	return s.direct.Await(ctx, after, follow.AtOnce)
}

// notePending notes what a reader said, in answer to a question sent at a moment, of whether a
// configuration is on its way.
func (s *Source) notePending(sent time.Time, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending {
		s.pendingAt = sent
	}
}

// isPending says whether a reader has told lately that a configuration is on its way.
func (s *Source) isPending(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.pendingAt) < s.newsFor()
}

// awaitBeside asks the source behind the word of a reader that has lost it, and falls back
// on that word. Where the source is silent to the readers alone, waiting until their word is
// too old costs those that it would answer 2.4 s: of 30 routers 17 sent requests to
// endpoints 3.0 s after these had left.
func (s *Source) awaitBeside(ctx context.Context, after uint64, word follow.Reading) follow.Reading {
	ctx, cancel := idle.WithTimeout(ctx, callTimeout, callTimeout)
	defer cancel()
	r, err := s.askSource(ctx, after)
	if err != nil {
		return word
	}
	return r
}

// awaitAsReader asks the source, and if it fails the readers of other failure
// domains: the source may turn away this router alone.
func (s *Source) awaitAsReader(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	r, err := s.awaitDirectly(ctx, after, wait)
	if err == nil || errors.Is(err, follow.ErrHistoryLost) || errors.Is(context.Cause(ctx), context.Canceled) {
		return r, err
	}
	heard, peerErr := s.ask(context.WithoutCancel(ctx), s.askNews)
	if peerErr == nil || errors.Is(peerErr, follow.ErrHistoryLost) {
		return heard.Reading, peerErr
	}
	return follow.Reading{}, errors.CombineErrors(err, peerErr)
}

// awaitDirectly waits at the source. While its calls fail they don't wait: peers
// tell the news, and what matters is to notice that the source is back and to have the
// newest of what was missed.
func (s *Source) awaitDirectly(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	if s.direct.lost() == 0 {
		return s.direct.Await(ctx, after, wait)
	}
	if !clock.Sleep(ctx, min(s.cfg.Every, wait)) {
		return follow.Reading{}, context.Cause(ctx)
	}
	ctx, cancel := idle.WithTimeout(ctx, callTimeout, callTimeout)
	defer cancel()
	return s.direct.CatchUp(ctx, after)
}

// pauseAfter is the least time between two calls to the source by a router that knows
// nothing and isn't a reader, by why its peers told it nothing. Where they answer that they
// know nothing themselves their readers are asking, several times a second.
func pauseAfter(err error) time.Duration {
	var refused *control.Error
	if errors.As(err, &refused) {
		return nothingEvery
	}
	return 0
}

// askersAtOnce is how many routers of a failure domain may ask the source within the pause
// between two calls of one of them. Without a bound all of a fleet ask it as soon as their
// readers have lost it: hundreds of calls a second to a source in trouble.
const askersAtOnce = 16

// wantedFor is for how long a router goes on wanting to ask the source that doesn't ask.
const wantedFor = time.Second

// mayAskDirectly says whether this router may ask the source now that last did at least
// so long ago, and if so notes that it does. Where a failure domain has many routers they
// take turns: each waits longer, and at first for its turn.
func (s *Source) mayAskDirectly(now time.Time, pause time.Duration) bool {
	turn, rounds := s.members.turn(now)
	round := time.Duration(rounds * float64(pause))
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.wantedAt) > wantedFor {
		s.wantedSince = now
	}
	s.wantedAt = now
	first := s.wantedSince.Add(time.Duration(turn * float64(round-pause)))
	if now.Sub(s.asked) < round || now.Before(first) {
		return false
	}
	s.asked = now
	return true
}
