// Package peers lets routers read a source for each other. In each failure domain
// a few of them read it; the others ask these, and learn how old what they hear
// is. Nothing is agreed on: each router works out from whom it heard lately who
// reads, and reads for itself whenever what it hears is too old or nobody answers.
package peers

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coveferry/internal/clock"
	"coveferry/internal/control"
	"coveferry/internal/directory"
	"coveferry/internal/follow"
	"coveferry/internal/identity"
	"coveferry/internal/route"
)

// Config is what a Source needs.
type Config struct {
	Self Member
	// Seeds are control addresses of some routers, which may be stale or down.
	Seeds []string
	// Source is read by the routers that read for others.
	Source follow.Source
	// Pool reaches peers.
	Pool *control.Pool
	// Every is the time between two questions to a peer.
	Every time.Duration
	// MaxAge is the age from which what peers say is too old.
	MaxAge time.Duration
	Log    zerolog.Logger
}

// helloEvery is the time between two words to other routers.
const helloEvery = time.Second

// directEvery is the least time between two calls to the source by a router that
// doesn't read for others: where nobody knows more, its readers are asking already.
const directEvery = 800 * time.Millisecond

// Source implements follow.Source by asking peers, or the source behind them.
type Source struct {
	cfg      Config
	members  *members
	demands  demands
	loads    loads
	failures failures
	log      changelog
	configs  configlog
	direct   *watched // the source itself
	mu       sync.Mutex
	// state is what this router itself believes, and tells others.
	state State
	hello int // counts the words sent, to take the seeds in turn
	// asked is when this router last asked the source though it isn't a reader.
	asked time.Time
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
	return &Source{cfg: cfg, members: newMembers(cfg.Self), direct: &watched{Source: cfg.Source}}
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
	reader := s.members.isReader(time.Now())
	if !reader {
		if r, err := s.ask(ctx, s.readPages); err == nil {
			return r, nil
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
	return heard, nil
}

// Await implements follow.Source. A router that doesn't read asks its readers
// again and again instead of waiting at the source.
func (s *Source) Await(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	if s.members.isReader(time.Now()) {
		return s.awaitAsReader(ctx, after, wait)
	}
	if !clock.Sleep(ctx, min(s.cfg.Every, wait)) {
		return follow.Reading{}, ctx.Err()
	}
	r, err := s.ask(ctx, s.askNews)
	if err == nil || errors.Is(err, follow.ErrHistoryLost) || !s.mayAskDirectly(time.Now()) {
		return r, err
	}
	return s.direct.Await(ctx, after, follow.AtOnce)
}

// awaitAsReader asks the source, and if it fails the readers of other failure
// domains: the source may turn away this router alone.
func (s *Source) awaitAsReader(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	r, err := s.awaitDirectly(ctx, after, wait)
	if err == nil || errors.Is(err, follow.ErrHistoryLost) || errors.Is(ctx.Err(), context.Canceled) {
		return r, err
	}
	heard, peerErr := s.ask(context.WithoutCancel(ctx), s.askNews)
	if peerErr == nil || errors.Is(peerErr, follow.ErrHistoryLost) {
		return heard, peerErr
	}
	return follow.Reading{}, errors.CombineErrors(err, peerErr)
}

// awaitDirectly waits at the source. While its calls fail they don't wait: peers
// tell the news, and what matters is to notice that the source is back.
func (s *Source) awaitDirectly(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	if s.direct.lost() == 0 {
		return s.direct.Await(ctx, after, wait)
	}
	if !clock.Sleep(ctx, min(s.cfg.Every, wait)) {
		return follow.Reading{}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.direct.Await(ctx, after, follow.AtOnce)
}

// mayAskDirectly says whether this router, which isn't a reader, may ask the
// source now, and if so notes that it does.
func (s *Source) mayAskDirectly(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.asked) < directEvery {
		return false
	}
	s.asked = now
	return true
}

// errAlone is that there is nobody to ask.
var errAlone = errors.New("peers: no other router is known")

// ask has the nearest readers asked in turn.
func (s *Source) ask(ctx context.Context, one func(context.Context, Member) (follow.Reading, error)) (follow.Reading, error) {
	err := errAlone
	for _, peer := range s.members.sources(time.Now()) {
		var r follow.Reading
		if r, err = one(ctx, peer); err == nil || errors.Is(err, follow.ErrHistoryLost) {
			return r, err
		}
	}
	return follow.Reading{}, err
}

// askNews asks a peer what changed since what this router knows.
func (s *Source) askNews(ctx context.Context, peer Member) (follow.Reading, error) {
	own := s.own()
	if own == nil {
		return follow.Reading{}, errNothing
	}
	have := own.Directory().Listed()
	req := newsRequest{From: s.cfg.Self, Revision: have.Revision(), Digest: have.Digest(), Demand: s.demands.ask()}
	// A question may be late; a report that is told twice does no harm.
	req.Loads = s.loads.own(time.Now(), 2*s.cfg.Every)
	req.Failures = s.failures.own(time.Now())
	if c := own.Config(); c != nil {
		req.Version = c.Version
	}
	sent := time.Now()
	reply, err := control.Call(ctx, s.client(peer.Address), methodNews, req)
	if err := s.note(peer, sent, err); err != nil {
		return follow.Reading{}, err
	}
	s.demands.tell(reply.Demand, reply.DemandOf, sent)
	s.loads.hear(sent, reply.Loads)
	s.takeFailures(time.Now(), reply.Failures)
	age, err := s.checkAge(peer, reply.AgeMillis)
	if err != nil {
		return follow.Reading{}, err
	}
	if reply.Lost {
		return follow.Reading{}, errors.Wrapf(follow.ErrHistoryLost, "peers: %s", peer.VM)
	}
	config, err := unpack(reply.Config, own.Config())
	if err != nil {
		return follow.Reading{}, err
	}
	list := directory.Reading{Entries: reply.Entries, Gone: reply.Gone, Revision: reply.Revision}
	return follow.Reading{Config: config, List: list, Age: age}, nil
}

// unpack returns the configuration that a peer told, nil if it told none. One that
// changes another version than this router's has to be read whole.
func unpack(told packedChange, base *route.Config) (*route.Config, error) {
	if told == nil {
		return nil, nil
	}
	config, err := told.apply(base)
	if errors.Is(err, route.ErrOtherVersion) {
		return nil, errors.CombineErrors(follow.ErrHistoryLost, err)
	}
	return config, err
}

// checkAge turns the age of what a peer knows; its error says that it is too old.
func (s *Source) checkAge(peer Member, millis int64) (time.Duration, error) {
	age := time.Duration(millis) * time.Millisecond
	if age > s.cfg.MaxAge {
		return 0, errors.Newf("peers: what %s knows is %s old", peer.VM, age)
	}
	return age, nil
}

// readPages reads everything from a peer. What changes between its parts is told
// as news afterwards, since the oldest revision counts.
func (s *Source) readPages(ctx context.Context, peer Member) (follow.Reading, error) {
	var whole follow.Reading
	for behind, more := "", true; more; {
		sent := time.Now()
		reply, err := control.Call(ctx, s.client(peer.Address), methodPage, pageRequest{From: s.cfg.Self, Behind: behind})
		if err := s.note(peer, sent, err); err != nil {
			return follow.Reading{}, err
		}
		if behind == "" {
			age, err := s.checkAge(peer, reply.AgeMillis)
			if err != nil {
				return follow.Reading{}, err
			}
			config, err := unpack(reply.Config, nil)
			if err != nil {
				return follow.Reading{}, err
			}
			whole = follow.Reading{Config: config, Age: age, List: directory.Reading{Whole: true, Revision: reply.Revision}}
		}
		whole.List.Revision = min(whole.List.Revision, reply.Revision)
		whole.List.Entries = append(whole.List.Entries, reply.Entries...)
		more = reply.More && len(reply.Entries) > 0
		if more {
			behind = reply.Entries[len(reply.Entries)-1].Endpoint.Name
		}
	}
	return whole, nil
}

// note takes what a call shows of a peer: one that doesn't answer is asked no
// more until it is heard of again.
func (s *Source) note(peer Member, sent time.Time, err error) error {
	var refused *control.Error
	switch {
	case err == nil:
		s.members.hear(peer, sent)
	case !errors.As(err, &refused):
		s.members.forget(peer.VM)
	}
	return err
}

func (s *Source) client(address string) *control.Client {
	return s.cfg.Pool.Client(control.Target{Address: address, Peer: identity.Peer{Role: identity.RoleRouter, Name: identity.AnyName}})
}

// Register has a server answer other routers.
func (s *Source) Register(srv *control.Server) {
	control.Register(srv, methodHello, s.serveHello)
	control.Register(srv, methodNews, s.serveNews)
	control.Register(srv, methodPage, s.servePage)
}

func (s *Source) serveHello(_ context.Context, _ identity.Peer, req helloRequest) (helloReply, error) {
	now := time.Now()
	s.members.hear(req.From, now)
	s.demands.hear(req.From.VM, req.Demand, now)
	return helloReply{From: s.cfg.Self, Members: s.members.lately(now), Demand: s.demands.ask()}, nil
}

// errNothing is what a router says that knows nothing itself.
var errNothing = errors.New("peers: nothing is known here yet")

// known is what this router knows; the error says that it has nothing to tell yet.
func (s *Source) known() (State, error) {
	own := s.own()
	if own == nil || own.Config() == nil || own.Directory().Len() == 0 {
		return nil, errNothing
	}
	return own, nil
}

func (s *Source) serveNews(_ context.Context, _ identity.Peer, req newsRequest) (newsReply, error) {
	now := time.Now()
	s.members.hear(req.From, now)
	s.demands.hear(req.From.VM, req.Demand, now)
	own, err := s.known()
	if err != nil {
		return newsReply{}, err
	}
	// The age is taken first: what is told may be newer than it says.
	reply := newsReply{AgeMillis: own.Age().Milliseconds() + 1}
	others, routers := s.demands.sum(now, req.From.VM)
	reply.Demand, reply.DemandOf = s.demands.ask().Plus(others), routers+1
	s.loads.hear(now.Add(-loadsOnWay), req.Loads)
	reply.Loads = s.loads.all(now)
	s.failures.said(req.From.VM, req.Failures, now)
	reply.Failures = s.failures.of(now, req.From.VM)
	if reply.Config, err = s.configs.since(own.Config(), req.Version); err != nil {
		return newsReply{}, err
	}
	news, known := s.log.since(own.Directory().Listed(), req.Revision, req.Digest)
	reply.Entries, reply.Gone, reply.Lost, reply.Revision = news.Entries, news.Gone, !known, news.Revision
	return reply, nil
}

func (s *Source) servePage(_ context.Context, _ identity.Peer, req pageRequest) (pageReply, error) {
	s.members.hear(req.From, time.Now())
	own, err := s.known()
	if err != nil {
		return pageReply{}, err
	}
	reply := pageReply{AgeMillis: own.Age().Milliseconds() + 1}
	if req.Behind == "" {
		if reply.Config, err = s.configs.since(own.Config(), 0); err != nil {
			return pageReply{}, err
		}
	}
	d := own.Directory().Listed()
	reply.Revision = d.Revision()
	reply.Entries, reply.More = d.Page(req.Behind, maxPage)
	return reply, nil
}

// Run tells other routers of this one until ctx ends, and has this one judge by
// what those said that ask it.
func (s *Source) Run(ctx context.Context) {
	var both sync.WaitGroup
	defer both.Wait()
	both.Go(func() { s.judgeFailures(ctx) })
	for {
		s.sayHello(ctx)
		if !clock.Sleep(ctx, helloEvery) {
			return
		}
	}
}

// judgeFailures takes in what other routers told this one. One that asks a reader
// learns it from the answers.
func (s *Source) judgeFailures(ctx context.Context) {
	for clock.Sleep(ctx, s.cfg.Every) {
		now := time.Now()
		s.takeFailures(now, s.failures.addUp(nil, now, ""))
	}
}

// fewRouters are so few that each tells all seeds every time.
const fewRouters = 8

// sayHello tells one of the seeds, each in turn, so that all routers hear of each
// other through them; where routers are few, all seeds.
func (s *Source) sayHello(ctx context.Context) {
	for i, seed := range s.cfg.Seeds {
		turn := s.hello%len(s.cfg.Seeds) == i || len(s.members.lately(time.Now())) < fewRouters
		if turn && seed != s.cfg.Self.Address {
			s.greet(ctx, seed)
		}
	}
	s.hello++
}

func (s *Source) greet(ctx context.Context, seed string) {
	sent := time.Now()
	reply, err := control.Call(ctx, s.client(seed), methodHello, helloRequest{From: s.cfg.Self, Demand: s.demands.ask()})
	if err != nil {
		s.cfg.Log.Debug().Err(err).Str("seed", seed).Msg("a seed doesn't answer")
		return
	}
	s.members.hear(reply.From, sent)
	s.demands.hear(reply.From.VM, reply.Demand, sent)
	for _, m := range reply.Members {
		s.members.hear(m.Member, sent.Add(-time.Duration(m.AgoMillis)*time.Millisecond))
	}
}
