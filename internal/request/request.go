// Package request defines the state of a request in a router's filter chain. Each filter sets
// some fields, which later filters rely on.
package request

import (
	"net/http"
	"net/url"
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/completion"
	"coveferry/internal/eventstream"
	"coveferry/internal/fairshare"
	"coveferry/internal/once"
	"coveferry/internal/poison"
	"coveferry/internal/prompt"
	"coveferry/internal/route"
	"coveferry/internal/upstream"
	"coveferry/internal/wire"
)

// Request is a caller's request in a router.
type Request struct {
	// Set on arrival.
	ID      string
	Arrived time.Time
	// ArrivedClock is the time of arrival by the clock that includes the pauses of the process
	// and its VM.
	ArrivedClock time.Time
	// Snapshot is the bundle in force on arrival, and from the moment at which the body is complete
	// that in force then.
	Snapshot *bundle.Snapshot
	Kind     wire.Kind
	Header   http.Header
	Body     []byte
	// Method, Service and Path are set for calls to a plain service.
	Method  string
	Service string
	Path    string

	// Routes is the route table of a request of kind KindRouted: until its body is complete that in
	// force on arrival, and from then on that in force at that moment. Host and RequestURI (path
	// and query) are as received from the caller.
	Routes     route.Snapshot
	Host       string
	RequestURI string

	// Set by match, for requests of kind KindRouted.
	Route *route.Route
	// Target is the URL that sends RequestURI to an endpoint unchanged, without the endpoint's address.
	Target *url.URL
	// CallerID is the caller's ID of the request, which is also sent to endpoints.
	CallerID string
	// Resumes is the caller's ID of the request whose answer brought the first event of the stream
	// that this one resumes; empty if the caller names none.
	Resumes string
	// StreamVersion is the software version of the endpoint that sent the first event of the
	// stream; only endpoints of that version can go on with it. nil before the first event.
	StreamVersion *string
	// Wait describes how the request waited at this router for capacity. Set by wait.
	Wait Wait
	// Resumption is set for a resumed stream whose version is known. Set by resume.
	Resumption Resumption
	// ResumedAfter is the ID of the last event that the caller had when it sent the request; empty
	// for none.
	ResumedAfter string
	// CallerTimeout is how long the caller says that it waits; 0 if it doesn't say.
	CallerTimeout time.Duration
	// APIKey is empty if the caller sent none.
	APIKey string
	Prompt prompt.Prompt
	// ExpectedWait is the expected time to the first part of the answer of the latest attempt.
	ExpectedWait time.Duration
	// PrefillTime is the part of ExpectedWait for the prefill of the request's own prompt.
	PrefillTime time.Duration
	// SecondsPerOutputToken is the expected time between two tokens of the answer; 0 if unknown.
	SecondsPerOutputToken float64
	// Share is the decision on the team's share of the capacity; the zero value if there was none.
	Share fairshare.Verdict
	// Forecast says that ExpectedWait is a forecast for the endpoint of the latest attempt.
	Forecast bool
	// FetchFrom is an endpoint that has probably cached parts of the prompt that Endpoint
	// lacks; nil if none is known.
	FetchFrom *bundle.Endpoint
	// CopyTo is the endpoint to which the memory of the latest attempt's run is copied as it
	// grows; nil for none. ResumeFrom is the endpoint with such a copy from which an attempt
	// resumes the same run; nil for an attempt that starts from the beginning.
	CopyTo     *bundle.Endpoint
	ResumeFrom *bundle.Endpoint
	// TightGap says that long prompts at the same endpoint would delay the stream's events
	// beyond its MaxGap.
	TightGap bool
	// TightGapEndpoints is the number of endpoints dedicated to such streams.
	TightGapEndpoints int
	// TokensPerEvent is the number of tokens per event of the answer (route.Engine.Stride); 0
	// if unknown.
	TokensPerEvent int
	// MaxRuns is the maximum number of endpoints at which the request may run; 0 uses the retry
	// policy's limit.
	MaxRuns int

	// Set by authenticate, or by admit for routed requests, which have TeamName and
	// TeamResidency instead of Team.
	Team          *bundle.Team
	TeamName      string
	TeamResidency *route.Residency

	// Set by classify.
	Class          *bundle.Class
	Tier           int // 0 is the highest
	Model          string
	Stream         bool
	IncludeUsage   bool
	MaxTokens      int // 0 if the caller set none
	Prefix         uint64
	FirstTokenBy   time.Time
	Deadline       time.Time
	IdempotencyKey string
	NonIdempotent  bool
	// KeyIssued is the issue time of the idempotency key. If it is set, the key runs at most
	// once, at its home; zero if unknown.
	KeyIssued  time.Time
	Candidates []*bundle.Endpoint

	// Set by choose, for each attempt. With late binding the request is also queued at
	// SecondEndpoint, and dispatch sets Endpoint to the one that ran it.
	Endpoint       *bundle.Endpoint
	SecondEndpoint *bundle.Endpoint

	// Set by attempts and dispatch.
	Epoch int
	// Tried lists the endpoints that the request has been sent to.
	Tried []string
	// RoundStart is the index in Tried at which the current round begins. A request that
	// returns to endpoints already tried begins a new round.
	RoundStart int
	// LatestSnapshot returns the snapshot in force, whose endpoints later attempts may use; nil
	// uses Snapshot.
	LatestSnapshot func() *bundle.Snapshot
	// Trail records the attempts for the log.
	Trail []Step
	// EndpointsLost counts the attempts during which the endpoint was lost. Set by quarantine.
	EndpointsLost int
	// Answer is the response to the current attempt.
	Answer *http.Response
	// BackingOff describes some of the candidates that got nothing in the latest choice since they
	// asked this router to back off, and Leaving counts those that are leaving. Set by choose.
	BackingOff []string
	Leaving    int
	// Signals is what the endpoint's answer to the latest attempt says of the endpoint. Set by
	// dispatch.
	Signals upstream.Signals
	// Events is what the latest attempt brought of a stream. EndsWithConnection says that its answer has
	// neither a length nor chunks. Set by relay.
	Events             EventRange
	EndsWithConnection bool
	// SentTo are the addresses at which an attempt may have arrived. Set by dispatch.
	SentTo []string
	// Connections counts the connections used for the latest attempt. ReusedConnection says that other
	// requests had been sent on the last of them. Set by dispatch.
	Connections      int
	ReusedConnection bool
	// Arrival is what is known of the latest attempt's arrival, and SentAt when it was sent. Set by
	// dispatch.
	Arrival Arrival
	SentAt  time.Time
	// LimitPart describes which share of the endpoint's rate limit the latest attempt was
	// charged to; empty if no limit was known. Set by choose.
	LimitPart string

	// Collected accumulates the answer for a caller that doesn't want a stream. Set by relay.
	Collected *completion.Collector

	// Delivered is what the caller has received. Set by relay.
	Delivered Delivered

	// OnFirstToken is called at the first token; may be nil. Set by shed.
	OnFirstToken func()

	// OnAnswered is called when the endpoint's answer to the attempt begins; may be nil. Set by
	// attempts.
	OnAnswered func()
	// ReserveAnswer reserves memory to buffer so many bytes of an answer, and reports whether there is
	// room; nil if there always is.
	ReserveAnswer func(bytes int64) bool
	// OnData is called for each part of an endpoint's answer; may be nil. Set by dispatch.
	OnData func(now time.Time)
	// OnStreamBegun is called when the caller gets the first event of the answer; may be nil. Set by
	// resume.
	OnStreamBegun func()
	// OnEvent is called for each event of a stream; may be nil. Set by dispatch.
	OnEvent func(now time.Time)

	// Writer receives the caller's answer. Used by relay only.
	Writer http.ResponseWriter

	identity poison.Identity // 0 until computed
}

// Resumption says how it is known which software version began a resumed stream.
type Resumption struct {
	Evidence string
	// Age is how old the evidence is.
	Age time.Duration
}

// Wait describes how a request waited for capacity; zero if it didn't have to.
type Wait struct {
	Waited time.Duration
	// Limit is the limit on the requests in flight at the service and Position the number of
	// waiting requests that were ahead, both on arrival.
	Limit    float64
	Position int
}

// Delivered is the part of the answer that the caller has received.
type Delivered struct {
	// Started says that the status line was sent.
	Started bool
	// ID is the answer's ID in the completions protocol.
	ID     string
	Text   []byte
	Tokens int
	// LastChunk is the last chunk that contained text.
	LastChunk string
	// Unresumable says that the answer contains parts from which an engine can't resume, such
	// as part of a tool call.
	Unresumable bool
	FirstToken  time.Time
	// Position is how far the caller has a routed stream.
	Position eventstream.Position
	// LastSentAt is when the latest part of the answer was sent, and MaxGap the longest pause
	// between two parts.
	LastSentAt time.Time
	MaxGap     time.Duration
}

// RecordEvents records that the caller has got events of the latest attempt's endpoint.
func (r *Request) RecordEvents() {
	if r.StreamVersion == nil {
		r.StreamVersion = &r.Endpoint.Version
	}
	if r.Delivered.Tokens == 0 && r.OnStreamBegun != nil {
		r.OnStreamBegun()
	}
}

// MayContinue reports whether an endpoint's software can go on with the stream.
func (r *Request) MayContinue(e *bundle.Endpoint) bool {
	return r.StreamVersion == nil || *r.StreamVersion == e.Version
}

// KeyTarget returns the model or service as a target name of package once.
func (r *Request) KeyTarget() string {
	if r.Kind == wire.KindService {
		return once.ServiceTarget(r.Service)
	}
	return once.ModelTarget(r.Model)
}

// TriedEndpoint reports whether the request was sent to the endpoint in the current round.
func (r *Request) TriedEndpoint(name string) bool {
	for _, t := range r.Tried[r.RoundStart:] {
		if t == name {
			return true
		}
	}
	return false
}

// TimeLeft returns the time until the deadline. now must come from the same clock as
// ArrivedClock.
func (r *Request) TimeLeft(now time.Time) time.Duration {
	return r.Deadline.Sub(r.Arrived) - now.Sub(r.ArrivedClock)
}

// EndpointsIn returns the endpoints of a snapshot that can serve the request.
func (r *Request) EndpointsIn(s *bundle.Snapshot) []*bundle.Endpoint {
	if r.Kind == wire.KindService {
		return s.EndpointsForService(r.Service)
	}
	return s.EndpointsForModel(r.Model)
}
