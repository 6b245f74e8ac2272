package peers

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/control"
	"coveferry/internal/identity"
)

// Register has a server answer other routers.
func (s *Source) Register(srv *control.Server) {
	control.Register(srv, methodHello, s.serveHello)
	control.Register(srv, methodNews, s.serveNews)
	control.Register(srv, methodPage, s.servePage)
}

func (s *Source) serveHello(_ context.Context, _ identity.Peer, req helloRequest) (helloReply, error) {
	now := time.Now()
	s.members.hear(req.From, now)
	s.demands.hear(req.From, req.Demand, now)
	s.hearDomain(req.From, req.Domain, now)
	at := s.cfg.Clock()
	s.steady.hear(at, req.Steady)
	return helloReply{
		From: s.cfg.Self, Members: s.members.neededBy(req.From, now), Known: s.members.byName(now), New: s.isNew(now),
		Demand: s.demands.ask(), Domain: s.domainDemand(now),
		Poison: s.poison.heard(at, req.Poison, greetedFor), Steady: s.steady.word(at),
		Limits: s.limits.heard(at, req.Limits, greetedFor),
	}, nil
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
	s.demands.hear(req.From, req.Demand, now)
	// Heard also by a router that has nothing to tell yet.
	at := s.cfg.Clock()
	poisonous := s.poison.heard(at, req.Poison, s.newsFor())
	limits := s.limits.heard(at, req.Limits, s.newsFor())
	s.steady.hear(at, req.Steady)
	own, err := s.known()
	if err != nil {
		return newsReply{}, err
	}
	// The age is taken first: what is told may be newer than it says.
	reply := newsReply{AgeMillis: own.Age().Milliseconds() + 1, SourceLost: s.direct.lost() > 0, Pending: s.direct.isPending(), Poison: poisonous, Steady: s.steady.word(at), Limits: limits}
	others, routers := s.demands.sum(now, req.From.VM)
	reply.Demand, reply.DemandOf = s.demands.ask().Plus(others), routers+1
	s.loads.hear(now.Add(-loadsOnWay), req.Loads)
	reply.Loads = s.loads.all(now)
	s.failures.said(req.From.VM, req.Failures, now)
	reply.Failures = s.failures.of(now, req.From.VM)
	if reply.Config, err = s.configs.since(own.Config(), req.Version); err != nil {
		return newsReply{}, err
	}
	list := own.Directory().Listed()
	news, known := s.log.since(list, req.Revision, req.Digest)
	reply.Evacuated = list.Evacuated()
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
		if reply.Config, err = s.configs.since(own.Config(), req.Version); err != nil {
			return pageReply{}, err
		}
	}
	d := own.Directory().Listed()
	reply.Revision = d.Revision()
	reply.Evacuated = d.Evacuated()
	reply.Entries, reply.More = d.Page(req.Behind, maxPage)
	return reply, nil
}
