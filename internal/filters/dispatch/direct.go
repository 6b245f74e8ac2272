package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/filters/relay"
	"coveferry/internal/load"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/sched"
	"coveferry/internal/server"
	"coveferry/internal/upstream"
	"coveferry/internal/wire"
)

// direct sends attempts to endpoints without an agent.
type direct struct {
	protocol upstream.Protocol
	client   *http.Client
}

// EnableDirect makes the filter send requests of kind KindRouted straight to their
// endpoints, by the given protocol and client. It must be called before the filter is
// used.
func (f *Filter) EnableDirect(p upstream.Protocol, client *http.Client) {
	f.direct = direct{protocol: p, client: client}
}

// sendDirect sends an attempt and updates the pool's outstanding work for the endpoint.
func (f *Filter) sendDirect(ctx context.Context, r *request.Request, sent time.Time, next pipeline.Next) error {
	account := f.pool.Track(sent, r.Endpoint.Name, WorkOf(r))
	r.OnFirstToken, r.OnData, r.OnEvent = account.PrefillDone, account.DataReceived, account.EventReceived
	err := f.exchangeDirect(ctx, r, sent, next)
	r.OnFirstToken, r.OnData, r.OnEvent = nil, nil, nil
	account.Release()
	if isQueueFull(err) {
		account.Refused(time.Now())
		recordContradiction(account, r, err)
	}
	f.reportConnectionFailure(ctx, r.Endpoint, err)
	if lostAnswer(ctx, err) {
		f.pool.RecordLostAnswer(time.Now(), r.Endpoint.Name)
	}
	account.Done(time.Now(), result(ctx, err))
	return err
}

// lostAnswer reports whether an attempt that was sent got no answer, though its caller has waited for it.
func lostAnswer(ctx context.Context, err error) bool {
	var noResponse *NoResponseError
	return errors.As(err, &noResponse) && noResponse.Sent && ctx.Err() == nil
}

// exchangeDirect sends an attempt to an endpoint that has no agent. Whether the attempt
// ran is decided by the marker in the endpoint's own response.
func (f *Filter) exchangeDirect(ctx context.Context, r *request.Request, sent time.Time, next pipeline.Next) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if r.CopyTo != nil {
		defer f.copiedRuns.track(r, cancel)()
	}
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		r.Connections++
		r.ReusedConnection = c.Reused
	}}
	req, err := f.directRequest(apartFromEarlierAttempts(httptrace.WithClientTrace(ctx, trace), r), r)
	if err != nil {
		return err
	}
	defer recordAddress(r)
	resp, err := f.direct.client.Do(req)
	if err != nil {
		r.Arrival = arrivalAfter(ctx, err)
		return &NoResponseError{Sent: server.MayHaveSent(err), Cause: explained(err)}
	}
	defer resp.Body.Close()
	r.OnData(time.Now())
	reply := f.direct.protocol.Decode(resp)
	r.Signals = reply.Signals
	if reply.ID != r.CallerID {
		r.Arrival = request.ArrivalPending
		// The response answers an earlier request on this connection. Its body stays
		// unread, so the connection is closed.
		return &NoResponseError{Sent: true, Cause: errors.Newf("the answer belongs to request %q", reply.ID)}
	}
	r.Arrival = request.ArrivalAnswered
	if r.OnAnswered != nil {
		r.OnAnswered()
	}
	if reply.WrongInstance {
		f.observer.Failed(r.Endpoint.Name, r.Endpoint.ProcessID(), false)
		return directRefusal(resp.StatusCode, reply)
	}
	f.recordDirectResponse(r.Endpoint, sent, reply)
	if reply.NotRun {
		return directRefusal(resp.StatusCode, reply)
	}
	if !reply.Signed {
		return &NoResponseError{Sent: true, Cause: errors.Newf("an answer with status %d that the endpoint did not sign", resp.StatusCode)}
	}
	r.Answer = resp
	defer func() { r.Answer = nil }()
	err = next(ctx, r)
	if err != nil && errors.Is(context.Cause(ctx), ErrUnreachable) {
		return &relay.BrokenError{Cause: ErrUnreachable}
	}
	return err
}

// apartFromEarlierAttempts returns a context that keeps an attempt off the connections of earlier attempts
// of the same request, whose answers have the same ID: an endpoint may answer twice, and the second answer
// to an earlier attempt would be taken for that to this one. Endpoints that follow one another may have the
// same address.
func apartFromEarlierAttempts(ctx context.Context, r *request.Request) context.Context {
	if slices.Contains(r.SentTo, r.Endpoint.Address) {
		return server.WithNewConnection(ctx)
	}
	return ctx
}

// recordAddress records where the latest attempt may have arrived.
func recordAddress(r *request.Request) {
	if r.Arrival != request.ArrivalNotSent {
		r.SentTo = append(r.SentTo, r.Endpoint.Address)
	}
}

// headTooLong is in the text of net/http's error, which has no type, for a head above the bound.
const headTooLong = "server response headers exceeded"

// explained returns what a failed call was, as a type where it is known.
func explained(err error) error {
	if strings.Contains(err.Error(), headTooLong) {
		return &upstream.EndlessError{Part: upstream.PartHead, Bytes: server.MaxResponseHeaderBytes}
	}
	return err
}

// arrivalAfter returns what is known of the arrival of an attempt that failed without an answer. A
// canceled one may still be on its way.
func arrivalAfter(ctx context.Context, err error) request.Arrival {
	switch {
	case !server.MayHaveSent(err):
		return request.ArrivalNotSent
	case ctx.Err() != nil:
		return request.ArrivalPending
	}
	return request.ArrivalBroken
}

// recordDirectResponse updates the load, signals and membership of an endpoint from the
// response header. sent is when the request was sent.
func (f *Filter) recordDirectResponse(e *bundle.Endpoint, sent time.Time, reply upstream.Reply) {
	now := time.Now()
	var report load.Report
	if reply.Load != nil {
		report = *reply.Load
	}
	report.Leaving = reply.Leaving
	// Responses carry no sequence number; they are numbered in the order of arrival.
	report.Seq = uint64(f.responseSeq.Add(1))
	current := f.observer.Answered(e.Name, wire.Clock{Incarnation: e.ProcessID()}, sent, report)
	if current && reply.Load != nil {
		f.pool.Report(now, e.Name, report)
	}
	if !current {
		return
	}
	f.pool.ApplySignals(now, sent, e.Name, reply.Signals)
	if !reply.NotRun && reply.Signed && reply.Backoff == 0 {
		f.pool.RecordAccepted(now, sent, e.Name)
	}
	if reply.Signed && reply.RateLimit.Kind == upstream.LimitNone {
		// A queue-full refusal that states no rate limit doesn't clear a known one.
		f.pool.ApplyLimit(now, sent, e.Name, reply.RateLimit)
	}
}

// WorkOf returns the work that a routed request causes at its endpoint.
func WorkOf(r *request.Request) balance.Work {
	work := balance.Work{Service: r.Service, Tier: r.Tier, Prompt: r.Prompt, TightGap: r.TightGap, Stride: r.TokensPerEvent}
	if r.Route != nil {
		work.MaxGap, work.Objective = r.Route.MaxGap, r.Route.Objective
		work.Tier = r.Routes.Table.Rank(r.Tier, r.Route.Tier)
	}
	return work
}

// isQueueFull reports whether the endpoint refused the attempt for lack of capacity.
func isQueueFull(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason == string(sched.ReasonQueueFull)
}

// recordContradiction records a refusal for lack of room that may contradict the endpoint's load.
func recordContradiction(account *balance.TrackedRequest, r *request.Request, err error) {
	if RefusedForLackOfRoom(r, err) {
		account.ContradictedLoad(time.Now(), r.Signals.Load, r.Endpoint.Slots)
	}
}

// RefusedForLackOfRoom reports whether an endpoint without an agent refused the attempt for lack of
// room and its answer names no other reason: a pause, a rate limit, a cold engine or a release.
func RefusedForLackOfRoom(r *request.Request, err error) bool {
	var refused *RefusedError
	s := r.Signals
	otherReason := s.Leaving || s.Backoff > 0 || s.Cold > 0 || s.RateLimit.Kind != upstream.LimitNone
	return !otherReason && errors.As(err, &refused) && refused.LacksRoom
}

func directRefusal(status int, reply upstream.Reply) error {
	refusal := wire.Refusal{Run: wire.RunNot}
	switch {
	case reply.WrongInstance:
		refusal.Reason = wire.ReasonWrongEndpoint
	case status == http.StatusBadRequest:
		refusal.Reason = wire.ReasonBadEnvelope
	default:
		refusal.Reason = string(sched.ReasonQueueFull)
	}
	lacksRoom := refusal.Reason == string(sched.ReasonQueueFull) && status == http.StatusServiceUnavailable
	return &RefusedError{Refusal: refusal, LacksRoom: lacksRoom}
}

// directRequest returns the caller's request with the headers of the protocol added. Its error is a
// *NoResponseError.
func (f *Filter) directRequest(ctx context.Context, r *request.Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Endpoint.Address+"/", bytes.NewReader(r.Body))
	if err != nil {
		return nil, notSent(err)
	}
	target := *r.Target
	target.Host = r.Endpoint.Address
	req.URL = &target
	req.Host = r.Host
	req.Header = endToEndHeaders(r.Header)
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	f.direct.protocol.Encode(req.Header, f.attemptFor(r))
	return req, nil
}

// attemptFor returns the metadata that is sent to the endpoint in addition to the caller's
// request.
func (f *Filter) attemptFor(r *request.Request) upstream.Attempt {
	a := upstream.Attempt{
		ID:        r.CallerID,
		Endpoint:  r.Endpoint.Name,
		Address:   r.Endpoint.Address,
		Team:      r.TeamName,
		Rank:      r.Routes.Table.Rank(r.Tier, r.Route.Tier),
		TimeLeft:  max(time.Millisecond, r.TimeLeft(f.clock())),
		LastEvent: r.Delivered.Position.LastID,
	}
	if r.FetchFrom != nil {
		a.FetchFrom = r.FetchFrom.Address
	}
	if r.CopyTo != nil {
		a.CopyTo = r.CopyTo.Address
	}
	a.FromCopy = r.ResumeFrom != nil
	return a
}

// hopByHopHeaders are the request headers that are not forwarded.
var hopByHopHeaders = append([]string{"Proxy-Authenticate", "Proxy-Authorization", "Te"}, upstream.HopByHopHeaders...)

// endToEndHeaders returns a copy of the headers without the hop-by-hop ones.
func endToEndHeaders(from http.Header) http.Header {
	h := from.Clone()
	for _, list := range from["Connection"] {
		for _, name := range strings.Split(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	delete(h, "Expect")
	return h
}
