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

// Source implements follow.Source by asking peers, or the source behind them.
type Source struct {
	cfg     Config
	members *members
	demands demands
	direct  *watched // the source itself
	mu      sync.Mutex
	// state is what this router itself believes, and tells others.
	state State
	hello int // counts the words sent, to take the seeds in turn
}

// State is what a router tells others. See follow.Follower.
type State interface {
	// Config is the configuration in force; nil before the first.
	Config() *route.Config
	Age() time.Duration
	Revision() uint64
	Directory() *directory.Directory
	ListAge() time.Duration
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

// Config implements follow.Source.
func (s *Source) Config(ctx context.Context) (follow.Reading, error) {
	if !s.members.isReader(time.Now()) {
		r, err := s.configFromPeers(ctx)
		if err == nil {
			return r, nil
		}
	}
	r, err := s.direct.Config(ctx)
	if err == nil || ctx.Err() != nil {
		return r, err
	}
	// The source may turn away this router alone.
	heard, peerErr := s.configFromPeers(context.WithoutCancel(ctx))
	if peerErr != nil {
		return follow.Reading{}, errors.CombineErrors(err, peerErr)
	}
	return heard, nil
}

// AwaitConfig implements follow.Source. A router that doesn't read asks its
// readers again and again instead of waiting at the source.
func (s *Source) AwaitConfig(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	if s.members.isReader(time.Now()) {
		return s.direct.AwaitConfig(ctx, after, wait)
	}
	if !clock.Sleep(ctx, s.cfg.Every) {
		return follow.Reading{}, ctx.Err()
	}
	r, err := s.configFromPeers(ctx)
	if err == nil {
		return r, nil
	}
	return s.direct.Config(ctx)
}

// configFromPeers asks the nearest readers in turn.
func (s *Source) configFromPeers(ctx context.Context) (follow.Reading, error) {
	err := errAlone
	for _, peer := range s.members.sources(time.Now()) {
		var r follow.Reading
		if r, err = s.askConfig(ctx, peer); err == nil {
			return r, nil
		}
	}
	return follow.Reading{}, err
}

func (s *Source) askConfig(ctx context.Context, peer Member) (follow.Reading, error) {
	version := uint64(0)
	if own := s.own(); own != nil && own.Config() != nil {
		version = own.Config().Version
	}
	sent := time.Now()
	reply, err := control.Call(ctx, s.client(peer.Address), methodConfig, configRequest{From: s.cfg.Self, Version: version, Demand: s.demands.ask()})
	if err := s.note(peer, sent, err); err != nil {
		return follow.Reading{}, err
	}
	s.demands.tell(reply.Demand, sent)
	age := time.Duration(reply.AgeMillis) * time.Millisecond
	if age > s.cfg.MaxAge {
		return follow.Reading{}, errors.Newf("peers: what %s knows is %s old", peer.VM, age)
	}
	return follow.Reading{Config: reply.Config, Revision: reply.Revision, Age: age}, nil
}

// Endpoints implements follow.Source.
func (s *Source) Endpoints(ctx context.Context, fresh bool) (directory.Reading, error) {
	if !fresh && !s.members.isReader(time.Now()) {
		if r, err := s.listFromPeers(ctx); err == nil {
			return r, nil
		}
	}
	r, err := s.direct.Endpoints(ctx, fresh)
	if err == nil || ctx.Err() != nil || !s.members.isReader(time.Now()) {
		return r, err
	}
	return s.listFromPeers(ctx)
}

// listFromPeers asks the nearest readers in turn.
func (s *Source) listFromPeers(ctx context.Context) (directory.Reading, error) {
	err := errAlone
	for _, peer := range s.members.sources(time.Now()) {
		var r directory.Reading
		if r, err = s.askList(ctx, peer); err == nil {
			return r, nil
		}
	}
	return directory.Reading{}, err
}

// errAlone is that there is nobody to ask.
var errAlone = errors.New("peers: no other router is known")

func (s *Source) askList(ctx context.Context, peer Member) (directory.Reading, error) {
	own := s.own()
	if own == nil {
		return directory.Reading{}, errNothing
	}
	have := own.Directory()
	sent := time.Now()
	reply, err := control.Call(ctx, s.client(peer.Address), methodList, listRequest{From: s.cfg.Self, Digest: have.Digest()})
	if err := s.note(peer, sent, err); err != nil {
		return directory.Reading{}, err
	}
	age := time.Duration(reply.AgeMillis) * time.Millisecond
	if age > s.cfg.MaxAge {
		return directory.Reading{}, errors.Newf("peers: the list of %s is %s old", peer.VM, age)
	}
	if reply.Same {
		reply.Entries = have.Entries()
	}
	return directory.Reading{Entries: reply.Entries, Revision: reply.Revision, Age: age}, nil
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
	control.Register(srv, methodConfig, s.serveConfig)
	control.Register(srv, methodList, s.serveList)
}

func (s *Source) serveHello(_ context.Context, _ identity.Peer, req helloRequest) (helloReply, error) {
	now := time.Now()
	s.members.hear(req.From, now)
	s.demands.hear(req.From.VM, req.Demand, now)
	return helloReply{From: s.cfg.Self, Members: s.members.lately(now), Demand: s.demands.ask()}, nil
}

// errNothing is what a router says that knows nothing itself.
var errNothing = errors.New("peers: nothing is known here yet")

func (s *Source) serveConfig(_ context.Context, _ identity.Peer, req configRequest) (configReply, error) {
	now := time.Now()
	s.members.hear(req.From, now)
	s.demands.hear(req.From.VM, req.Demand, now)
	own := s.own()
	if own == nil || own.Config() == nil {
		return configReply{}, errNothing
	}
	// The age is taken first: what is told may be newer than it says.
	reply := configReply{AgeMillis: own.Age().Milliseconds() + 1, Revision: own.Revision()}
	reply.Demand = s.demands.ask().Plus(s.demands.sum(now, req.From.VM))
	if c := own.Config(); c.Version > req.Version {
		reply.Config = c
	}
	return reply, nil
}

func (s *Source) serveList(_ context.Context, _ identity.Peer, req listRequest) (listReply, error) {
	s.members.hear(req.From, time.Now())
	own := s.own()
	if own == nil {
		return listReply{}, errNothing
	}
	if own.Directory().Len() == 0 {
		return listReply{}, errNothing
	}
	// The age is taken first: what is told may be newer than it says.
	reply := listReply{AgeMillis: own.ListAge().Milliseconds() + 1}
	d := own.Directory().Listed()
	reply.Revision = d.Revision()
	reply.Same = d.Digest() == req.Digest
	if !reply.Same {
		reply.Entries = d.Entries()
	}
	return reply, nil
}

// Run tells other routers of this one until ctx ends.
func (s *Source) Run(ctx context.Context) {
	for {
		s.sayHello(ctx)
		if !clock.Sleep(ctx, helloEvery) {
			return
		}
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
