package peers

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/age"
	"coveferry/internal/control"
	"coveferry/internal/directory"
	"coveferry/internal/follow"
	"coveferry/internal/identity"
	"coveferry/internal/route"
)

// errNoPeers is returned when no other router is known.
var errNoPeers = errors.New("peers: no other router is known")

// peerReading is a peer's answer to a query.
type peerReading struct {
	follow.Reading
	// originUnavailable reports that the peer's own calls to the origin fail at present.
	originUnavailable bool
}

// queryPeers queries the nearest peers in turn until one answers whose own calls to the origin
// succeed. If there is none, it returns the freshest answer of the others.
func (s *Source) queryPeers(ctx context.Context, query func(context.Context, Member) (peerReading, error)) (peerReading, error) {
	err := errNoPeers
	var fallback *peerReading
	for _, peer := range s.peersToQuery(time.Now()) {
		var r peerReading
		r, err = query(ctx, peer)
		switch {
		case errors.Is(err, follow.ErrHistoryLost), err == nil && !r.originUnavailable:
			return r, err
		case err == nil && (fallback == nil || r.Age < fallback.Age):
			fallback = &r
		}
	}
	if fallback != nil {
		return *fallback, nil
	}
	return peerReading{}, err
}

// peersToQuery lists the routers to query, the nearest first. A router that considers itself a
// reader but may not know all of its failure domain queries the seeds first, which call the origin
// in that phase.
func (s *Source) peersToQuery(now time.Time) []Member {
	list := s.members.peersToQuery(now)
	if !s.members.isReader(now) || !s.hasPartialMembership(now) {
		return list
	}
	seeds := s.members.rotated(s.members.atAddresses(now, s.cfg.Seeds))
	others := slices.DeleteFunc(list, func(m Member) bool { return slices.Contains(seeds, m) })
	return slices.Concat(seeds, others)
}

// pollUpdateWindow is how far back the updates reach that polls and their replies carry: two
// polls and a call timeout, so that one delayed poll loses nothing.
func (s *Source) pollUpdateWindow() time.Duration { return 2*s.cfg.PollInterval + callTimeout }

// pollUpdates asks a peer for all changes since the state of this router.
func (s *Source) pollUpdates(ctx context.Context, peer Member) (peerReading, error) {
	state := s.localState()
	if state == nil {
		return peerReading{}, errNoState
	}
	known := state.Snapshot()
	list := known.Directory.Listed()
	req := updateRequest{From: s.cfg.Self, listRevision: toListRevision(list.Revision()), Digest: list.Digest(), UnversionedDigest: list.UnversionedDigest(), Demand: s.demand.local(), TeamWork: s.pollWork(peer, time.Now())}
	// A poll may be late, so the window covers two; applying a report twice is harmless.
	req.Loads = s.loads.local(time.Now(), 2*s.cfg.PollInterval)
	req.Failures = s.failures.local(time.Now())
	req.Poison = s.poison.request(s.pollUpdateWindow())
	req.Limits = s.limits.request(s.pollUpdateWindow())
	req.OriginUptime = s.uptime.report(s.cfg.Clock())
	base := known.Config
	req.Version = versionOf(base)
	sent, sentClock := time.Now(), s.cfg.Clock()
	reply, err := control.Call(ctx, s.client(peer.Address), methodUpdate, req)
	if err := s.recordCall(peer, sent, err); err != nil {
		return peerReading{}, err
	}
	s.demand.recordTotal(domainDemand{Demand: reply.Demand, Routers: reply.DemandRouters}, sent)
	s.recordReplyWork(reply.TeamWork, sent)
	s.loads.apply(sent, reply.Loads)
	s.applyFailures(time.Now(), reply.Failures)
	s.recordPending(sent, reply.ConfigPending)
	s.poison.applyReply(sentClock, reply.Poison)
	s.limits.applyReply(sentClock, reply.Limits)
	s.uptime.apply(sentClock, reply.OriginUptime)
	stateAge, err := s.checkAge(peer, reply.AgeMillis)
	if err != nil {
		return peerReading{}, err
	}
	if reply.HistoryLost {
		return peerReading{}, errors.Wrapf(follow.ErrHistoryLost, "peers: %s", peer.VM)
	}
	config, err := unpack(reply.Config, base)
	if err != nil {
		return peerReading{}, err
	}
	reading := directory.Reading{
		Entries: reply.Entries, Removed: reply.Removed, Revision: reply.value(),
		Evacuations: directory.Evacuations{Full: true, Active: reply.Evacuated},
	}
	return peerReading{Reading: follow.Reading{Config: config, List: reading, Age: stateAge, From: peer.VM}, originUnavailable: reply.OriginUnavailable}, nil
}

// config returns this router's own configuration; nil if it has none.
func (s *Source) config() *route.Config {
	state := s.localState()
	if state == nil {
		return nil
	}
	return state.Snapshot().Config
}

func versionOf(c *route.Config) uint64 {
	if c == nil {
		return 0
	}
	return c.Version
}

// unpack returns the configuration that a peer sent, nil if it sent none. A change that is
// based on another version than base requires a full read.
func unpack(packed packedChange, base *route.Config) (*route.Config, error) {
	if packed == nil {
		return nil, nil
	}
	config, err := packed.apply(base)
	if errors.Is(err, route.ErrVersionMismatch) {
		return nil, errors.CombineErrors(follow.ErrHistoryLost, err)
	}
	return config, err
}

// Values of the label "reason" of the counter of rejected ages.
const (
	reasonUnknown = "unknown"
	reasonTooOld  = "too_old"
)

func newRejectedAges(metrics prometheus.Registerer) *prometheus.CounterVec {
	rejected := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "coveferry_peer_ages_rejected_total",
		Help: "Answers of other routers whose state was too old, or of an age that is unknown or can't be.",
	}, []string{"reason"})
	if metrics != nil {
		metrics.MustRegister(rejected)
	}
	return rejected
}

// checkAge decodes the age of a peer's state and returns an error if it is unknown or exceeds
// MaxAge.
func (s *Source) checkAge(peer Member, millis *int64) (time.Duration, error) {
	stateAge, known := age.FromOptionalMillis(millis).Get()
	switch {
	case !known:
		s.rejectedAges.WithLabelValues(reasonUnknown).Inc()
		return 0, errors.Newf("peers: the age of the state of %s is unknown", peer.VM)
	case stateAge > s.cfg.MaxAge:
		s.rejectedAges.WithLabelValues(reasonTooOld).Inc()
		return 0, errors.Newf("peers: the state of %s is %s old", peer.VM, stateAge)
	}
	return stateAge, nil
}

// readPages reads the whole list from a peer, and the change of the configuration. The result
// has the lowest revision of all pages, so the next poll returns what changed between them.
func (s *Source) readPages(ctx context.Context, peer Member) (peerReading, error) {
	base := s.config()
	var full follow.Reading
	for after, more := "", true; more; {
		sent := time.Now()
		reply, err := control.Call(ctx, s.client(peer.Address), methodPage, pageRequest{From: s.cfg.Self, After: after, Version: versionOf(base)})
		if err := s.recordCall(peer, sent, err); err != nil {
			return peerReading{}, err
		}
		if after == "" {
			stateAge, err := s.checkAge(peer, reply.AgeMillis)
			if err != nil {
				return peerReading{}, err
			}
			config, err := unpack(reply.Config, base)
			if err != nil {
				return peerReading{}, err
			}
			full = follow.Reading{Config: config, Age: stateAge, From: peer.VM, List: directory.Reading{
				Full: true, Revision: reply.value(),
				Evacuations: directory.Evacuations{Full: true, Active: reply.Evacuated},
			}}
		}
		full.List.Revision = directory.Earlier(full.List.Revision, reply.value())
		full.List.Entries = append(full.List.Entries, reply.Entries...)
		more = reply.More && len(reply.Entries) > 0
		if more {
			after = reply.Entries[len(reply.Entries)-1].Endpoint.Name
		}
	}
	return peerReading{Reading: full}, nil
}

// recordCall updates the membership after a call: a peer that doesn't answer is not queried
// until another message shows it alive.
func (s *Source) recordCall(peer Member, sent time.Time, err error) error {
	var refused *control.Error
	switch {
	case err == nil:
		s.members.recordSeen(peer, sent)
	case !errors.As(err, &refused):
		s.members.remove(peer.VM)
	}
	return err
}

func (s *Source) client(address string) *control.Client {
	return s.cfg.Pool.Client(control.Target{Address: address, Peer: identity.Peer{Role: identity.RoleRouter, Name: identity.AnyName}})
}
