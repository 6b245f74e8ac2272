package peers

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/control"
	"coveferry/internal/follow"
	"coveferry/internal/identity"
)

// Register registers the handlers for the methods of other routers.
func (s *Source) Register(srv *control.Server) {
	control.Register(srv, methodHello, s.serveHello)
	control.Register(srv, methodUpdate, s.serveUpdate)
	control.Register(srv, methodPage, s.servePage)
	control.Register(srv, methodTellStreams, s.serveTellStreams)
	control.Register(srv, methodAskStream, s.serveAskStream)
}

func (s *Source) serveHello(_ context.Context, _ identity.Peer, req helloRequest) (helloReply, error) {
	now := time.Now()
	s.members.recordSeen(req.From, now)
	s.demand.record(req.From, req.Demand, now)
	s.recordDomainDemand(req.From, req.Domain, now)
	s.recordHelloWork(&req, now)
	at := s.cfg.Clock()
	s.uptime.apply(at, req.OriginUptime)
	return helloReply{
		From: s.cfg.Self, Members: s.members.membersFor(req.From, now), Known: s.members.countSeen(now), Starting: s.isStarting(now),
		Demand: s.demand.local(), Domain: s.domainDemand(now),
		Poison: s.poison.serve(at, req.Poison, helloUpdateWindow), OriginUptime: s.uptime.report(at),
		Limits: s.limits.serve(at, req.Limits, helloUpdateWindow),
	}, nil
}

// errNoState is the reply of a router that has no state yet.
var errNoState = errors.New("peers: nothing is known here yet")

// readyState returns this router's state, or errNoState if it has none to send yet. Nobody could use
// a state that was never confirmed.
func (s *Source) readyState() (follow.Snapshot, error) {
	state := s.localState()
	if state == nil {
		return follow.Snapshot{}, errNoState
	}
	known := state.Snapshot()
	if !known.Age.Known() || known.Config == nil || known.Directory.Len() == 0 {
		return follow.Snapshot{}, errNoState
	}
	return known, nil
}

func (s *Source) serveUpdate(_ context.Context, _ identity.Peer, req updateRequest) (updateReply, error) {
	now := time.Now()
	s.members.recordSeen(req.From, now)
	s.demand.record(req.From, req.Demand, now)
	s.recordPollWork(req.From.VM, req.TeamWork, now)
	// Applied even if this router has no state to send yet.
	at := s.cfg.Clock()
	poison := s.poison.serve(at, req.Poison, s.pollUpdateWindow())
	limits := s.limits.serve(at, req.Limits, s.pollUpdateWindow())
	s.uptime.apply(at, req.OriginUptime)
	state, err := s.readyState()
	if err != nil {
		return updateReply{}, err
	}
	reply := updateReply{AgeMillis: state.Age.OptionalMillis(), OriginUnavailable: s.origin.unavailableFor() > 0, ConfigPending: s.origin.isConfigPending(), Poison: poison, OriginUptime: s.uptime.report(at), Limits: limits}
	total := s.demand.ownReport().add(s.demand.sum(now, req.From.VM))
	reply.Demand, reply.DemandRouters = total.Demand, total.Routers
	reply.TeamWork = s.replyWork(req.From, now)
	s.loads.apply(now.Add(-loadReportDelay), req.Loads)
	reply.Loads = s.loads.latest(now)
	s.failures.record(req.From.VM, req.Failures, now)
	reply.Failures = s.failures.total(now, req.From.VM)
	if reply.Config, err = s.configs.since(state.Config, req.Version); err != nil {
		return updateReply{}, err
	}
	list := state.Directory.Listed()
	changes, known := s.changes.since(list, req.value(), req.holds(list))
	reply.Evacuated = list.Evacuated()
	reply.Entries, reply.Removed, reply.HistoryLost, reply.listRevision = changes.Entries, changes.Removed, !known, toListRevision(changes.Revision)
	return reply, nil
}

func (s *Source) servePage(_ context.Context, _ identity.Peer, req pageRequest) (pageReply, error) {
	s.members.recordSeen(req.From, time.Now())
	state, err := s.readyState()
	if err != nil {
		return pageReply{}, err
	}
	reply := pageReply{AgeMillis: state.Age.OptionalMillis()}
	if req.After == "" {
		if reply.Config, err = s.configs.since(state.Config, req.Version); err != nil {
			return pageReply{}, err
		}
	}
	d := state.Directory.Listed()
	reply.listRevision = toListRevision(d.Revision())
	reply.Evacuated = d.Evacuated()
	reply.Entries, reply.More = d.Page(req.After, maxPage)
	return reply, nil
}
