package peers

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"coveferry/internal/age"
	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/streamversion"
)

// JSON-RPC methods between routers on the streams of callers.
var (
	methodTellStreams = control.NewMethod[tellStreamsRequest, struct{}]("peers.streams", identity.RoleRouter).WithTimeout(callTimeout)
	methodAskStream   = control.NewMethod[askStreamRequest, askStreamReply]("peers.stream", identity.RoleRouter).WithTimeout(callTimeout)
)

// streamGroup lists the streams that began at one version of a service.
type streamGroup struct {
	Service string                   `json:"service"`
	Version string                   `json:"version,omitempty"`
	IDs     []streamversion.StreamID `json:"ids"`
}

type tellStreamsRequest struct {
	Groups []streamGroup `json:"groups"`
}

type askStreamRequest struct {
	ID           streamversion.StreamID `json:"id,omitempty"`
	Service      string                 `json:"service"`
	WindowMillis int64                  `json:"window_ms"`
	// Confirm asks for an answer by a list that is known to be the newest as of the question.
	Confirm bool `json:"confirm,omitempty"`
}

// window returns the time in which the stream can have begun, the longest there is if the request
// names none that can be.
func (r askStreamRequest) window() time.Duration {
	window, known := age.FromMillis(r.WindowMillis).Get()
	if !known {
		return math.MaxInt64
	}
	return window
}

type askStreamReply struct {
	// Known reports that the service and the version that began the stream are known.
	Known   bool   `json:"known,omitempty"`
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
	// Single reports that all endpoints of the service had the version Only in the window.
	Single bool   `json:"single,omitempty"`
	Only   string `json:"only,omitempty"`
	// Confirmed reports that the list was known to be the newest as of the question.
	Confirmed bool `json:"confirmed,omitempty"`
}

// Streams knows where streams began. *streamversion.Registry implements it.
type Streams interface {
	Record(now time.Time, s streamversion.Stream)
	Answer(ctx context.Context, now time.Time, q streamversion.Query) streamversion.Answer
}

// ServeStreams has this router remember for others where streams began.
func (s *Source) ServeStreams(streams Streams) { s.streams.Store(&streams) }

func (s *Source) serveTellStreams(_ context.Context, _ identity.Peer, req tellStreamsRequest) (struct{}, error) {
	streams := s.streams.Load()
	if streams == nil {
		return struct{}{}, errNoState
	}
	now := time.Now()
	for _, group := range req.Groups {
		for _, id := range group.IDs {
			(*streams).Record(now, streamversion.Stream{ID: id, ServiceVersion: streamversion.ServiceVersion{Service: group.Service, Version: group.Version}})
		}
	}
	return struct{}{}, nil
}

func (s *Source) serveAskStream(ctx context.Context, _ identity.Peer, req askStreamRequest) (askStreamReply, error) {
	streams := s.streams.Load()
	if streams == nil {
		return askStreamReply{}, errNoState
	}
	a := (*streams).Answer(ctx, time.Now(), streamversion.Query{ID: req.ID, Service: req.Service, Window: req.window(), Confirm: req.Confirm})
	return askStreamReply{Known: a.Known, Service: a.ServiceVersion.Service, Version: a.ServiceVersion.Version, Single: a.Single, Only: a.Only, Confirmed: a.Confirmed}, nil
}

// TellStreams implements streamversion.Peers. Streams whose holder doesn't answer are told to the router
// that takes its place.
func (s *Source) TellStreams(ctx context.Context, streams []streamversion.Stream) {
	failed, unreachable := s.tellHolders(ctx, streams, nil)
	if len(failed) > 0 {
		s.tellHolders(ctx, failed, unreachable)
	}
}

// tellHolders tells each stream to its holders, except some routers. It returns the streams that a
// holder didn't take, and these holders.
func (s *Source) tellHolders(ctx context.Context, streams []streamversion.Stream, except []Member) (failed []streamversion.Stream, unreachable []Member) {
	all := s.members.byDomain(time.Now())
	for domain, routers := range all {
		all[domain] = slices.DeleteFunc(routers, func(m Member) bool { return slices.Contains(except, m) })
	}
	byHolder := make(map[Member][]streamversion.Stream)
	for _, stream := range streams {
		for _, holder := range holdersOf(stream.ID, s.cfg.Self, all) {
			byHolder[holder] = append(byHolder[holder], stream)
		}
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for holder, held := range byHolder {
		calls.Go(func() {
			sent := time.Now()
			_, err := control.Call(ctx, s.client(holder.Address), methodTellStreams, tellStreamsRequest{Groups: groupByVersion(held)})
			if s.recordCall(holder, sent, err) != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, held...)
				unreachable = append(unreachable, holder)
			}
		})
	}
	calls.Wait()
	return failed, unreachable
}

func groupByVersion(streams []streamversion.Stream) []streamGroup {
	var groups []streamGroup
	for _, stream := range streams {
		o := stream.ServiceVersion
		i := slices.IndexFunc(groups, func(g streamGroup) bool { return g.Service == o.Service && g.Version == o.Version })
		if i < 0 {
			i = len(groups)
			groups = append(groups, streamGroup{Service: o.Service, Version: o.Version})
		}
		groups[i].IDs = append(groups[i].IDs, stream.ID)
	}
	return groups
}

// AskStream implements streamversion.Peers. It asks the routers of this failure domain first, and then
// those of all others.
func (s *Source) AskStream(ctx context.Context, q streamversion.Query) []streamversion.Answer {
	all := s.members.byDomain(time.Now())
	answers := s.askHolders(ctx, q, ownHoldersOf(q.ID, s.cfg.Self, all))
	if slices.ContainsFunc(answers, func(a streamversion.Answer) bool { return a.Known }) {
		return answers
	}
	return append(answers, s.askHolders(ctx, q, otherHoldersOf(q.ID, s.cfg.Self, all))...)
}

// askHolders asks routers for a stream until one has known it, all have answered, or ctx ends.
func (s *Source) askHolders(ctx context.Context, q streamversion.Query, holders []Member) []streamversion.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan *askStreamReply, len(holders))
	for _, holder := range holders {
		go func() { replies <- s.askHolder(ctx, q, holder) }()
	}
	var answers []streamversion.Answer
	for range holders {
		select {
		case <-ctx.Done():
			return answers
		case reply := <-replies:
			if reply == nil {
				continue
			}
			answers = append(answers, streamversion.Answer{
				Known: reply.Known, ServiceVersion: streamversion.ServiceVersion{Service: reply.Service, Version: reply.Version}, Single: reply.Single, Only: reply.Only, Confirmed: reply.Confirmed,
			})
			if reply.Known {
				return answers
			}
		}
	}
	return answers
}

// askHolder returns nil if the router doesn't answer or knows nothing yet.
func (s *Source) askHolder(ctx context.Context, q streamversion.Query, holder Member) *askStreamReply {
	req := askStreamRequest{ID: q.ID, Service: q.Service, WindowMillis: q.Window.Milliseconds(), Confirm: q.Confirm}
	reply, err := control.Call(ctx, s.client(holder.Address), methodAskStream, req)
	if err != nil {
		s.cfg.Log.Debug().Err(err).Str("router", holder.VM).Msg("asking a router for a stream failed")
		return nil
	}
	return &reply
}

const (
	// tellCallSpacing bounds the calls by which a router tells others of streams to 40 a second.
	// The more streams begin, the longer they wait for each other and share calls, from
	// minTellInterval to maxTellInterval.
	tellCallSpacing = 25 * time.Millisecond
	minTellInterval = 50 * time.Millisecond
	maxTellInterval = 250 * time.Millisecond
)

// TellInterval implements streamversion.Peers.
func (s *Source) TellInterval(streams int) time.Duration {
	calls := min(holdersPerStream*streams, s.members.count(time.Now()), ownHolders+membersPerRemoteDomain)
	return min(max(time.Duration(calls)*tellCallSpacing, minTellInterval), maxTellInterval)
}
