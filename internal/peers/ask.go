package peers

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/control"
	"coveferry/internal/directory"
	"coveferry/internal/follow"
	"coveferry/internal/identity"
	"coveferry/internal/route"
)

// errAlone is that there is nobody to ask.
var errAlone = errors.New("peers: no other router is known")

// peerWord is what a peer said.
type peerWord struct {
	follow.Reading
	// sourceLost says that the peer doesn't read the source itself at present.
	sourceLost bool
}

// ask has the nearest readers asked in turn, until one answers that reads the source. The
// word of others counts where there is none.
func (s *Source) ask(ctx context.Context, one func(context.Context, Member) (peerWord, error)) (peerWord, error) {
	err := errAlone
	var second *peerWord
	for _, peer := range s.sources(time.Now()) {
		var r peerWord
		r, err = one(ctx, peer)
		switch {
		case errors.Is(err, follow.ErrHistoryLost), err == nil && !r.sourceLost:
			return r, err
		case err == nil && (second == nil || r.Age < second.Age):
			second = &r
		}
	}
	if second != nil {
		return *second, nil
	}
	return peerWord{}, err
}

// sources are the routers to ask, the nearest first. One that knows few of its failure domain
// asks seeds first, which ask the source meanwhile.
func (s *Source) sources(now time.Time) []Member {
	sources := s.members.sources(now)
	if !s.members.isReader(now) || !s.knowsFew(now) {
		return sources
	}
	seeds := s.members.inTurn(s.members.at(now, s.cfg.Seeds))
	others := slices.DeleteFunc(sources, func(m Member) bool { return slices.Contains(seeds, m) })
	return slices.Concat(seeds, others)
}

// newsFor is how long news are told with questions and answers: two of them and some slack,
// so that one may be late.
func (s *Source) newsFor() time.Duration { return 2*s.cfg.Every + callTimeout }

// askNews asks a peer what changed since what this router knows.
func (s *Source) askNews(ctx context.Context, peer Member) (peerWord, error) {
	own := s.own()
	if own == nil {
		return peerWord{}, errNothing
	}
	have := own.Directory().Listed()
	req := newsRequest{From: s.cfg.Self, Revision: have.Revision(), Digest: have.Digest(), Demand: s.demands.ask()}
	// A question may be late; a report that is told twice does no harm.
	req.Loads = s.loads.own(time.Now(), 2*s.cfg.Every)
	req.Failures = s.failures.own(time.Now())
	req.Poison = s.poison.ask(s.newsFor())
	req.Limits = s.limits.ask(s.newsFor())
	req.Steady = s.steady.word(s.cfg.Clock())
	base := own.Config()
	req.Version = versionOf(base)
	sent, sentClock := time.Now(), s.cfg.Clock()
	reply, err := control.Call(ctx, s.client(peer.Address), methodNews, req)
	if err := s.note(peer, sent, err); err != nil {
		return peerWord{}, err
	}
	s.demands.tell(reply.Demand, reply.DemandOf, sent)
	s.loads.hear(sent, reply.Loads)
	s.takeFailures(time.Now(), reply.Failures)
	s.notePending(sent, reply.Pending)
	s.poison.answered(sentClock, reply.Poison)
	s.limits.answered(sentClock, reply.Limits)
	s.steady.hear(sentClock, reply.Steady)
	age, err := s.checkAge(peer, reply.AgeMillis)
	if err != nil {
		return peerWord{}, err
	}
	if reply.Lost {
		return peerWord{}, errors.Wrapf(follow.ErrHistoryLost, "peers: %s", peer.VM)
	}
	config, err := unpack(reply.Config, base)
	if err != nil {
		return peerWord{}, err
	}
	list := directory.Reading{
		Entries: reply.Entries, Gone: reply.Gone, Revision: reply.Revision,
		Evacuations: directory.Evacuations{Whole: true, Ordered: reply.Evacuated},
	}
	return peerWord{Reading: follow.Reading{Config: config, List: list, Age: age}, sourceLost: reply.SourceLost}, nil
}

// config is this router's own configuration; nil if it has none.
func (s *Source) config() *route.Config {
	own := s.own()
	if own == nil {
		return nil
	}
	return own.Config()
}

func versionOf(c *route.Config) uint64 {
	if c == nil {
		return 0
	}
	return c.Version
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

// readPages reads the whole list from a peer, and what changed in the configuration.
// What changes between its parts is told as news afterwards, since the oldest revision
// counts.
func (s *Source) readPages(ctx context.Context, peer Member) (peerWord, error) {
	base := s.config()
	var whole follow.Reading
	for behind, more := "", true; more; {
		sent := time.Now()
		reply, err := control.Call(ctx, s.client(peer.Address), methodPage, pageRequest{From: s.cfg.Self, Behind: behind, Version: versionOf(base)})
		if err := s.note(peer, sent, err); err != nil {
			return peerWord{}, err
		}
		if behind == "" {
			age, err := s.checkAge(peer, reply.AgeMillis)
			if err != nil {
				return peerWord{}, err
			}
			config, err := unpack(reply.Config, base)
			if err != nil {
				return peerWord{}, err
			}
			whole = follow.Reading{Config: config, Age: age, List: directory.Reading{
				Whole: true, Revision: reply.Revision,
				Evacuations: directory.Evacuations{Whole: true, Ordered: reply.Evacuated},
			}}
		}
		whole.List.Revision = min(whole.List.Revision, reply.Revision)
		whole.List.Entries = append(whole.List.Entries, reply.Entries...)
		more = reply.More && len(reply.Entries) > 0
		if more {
			behind = reply.Entries[len(reply.Entries)-1].Endpoint.Name
		}
	}
	return peerWord{Reading: whole}, nil
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
