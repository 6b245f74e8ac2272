// Package measure computes the bench's measures from what callers received and
// what engines produced. It has no side effects.
//
// An answer is in time if it was complete before its class's deadline. A request
// is attained if it was answered in time and its first token arrived within its
// class's target. Refused, broken and timed-out requests are misses. Latencies
// are relative to the time at which the request was due to be sent.
package measure

import (
	"cmp"
	"slices"
	"time"

	"coveferry/internal/bench/arrivals"
	"coveferry/internal/bench/client"
	"coveferry/internal/wire"
)

// Sample is one request with its outcome and the work of the engines.
type Sample struct {
	Arrival arrivals.Arrival
	Outcome client.Outcome
	// Produced counts the tokens that engines produced for it in all runs.
	Produced int
}

// Measures holds the measures of a group of requests.
type Measures struct {
	Requests int `json:"requests"`
	// Attainment is the fraction of requests attained.
	Attainment float64 `json:"attainment"`
	Attained   int     `json:"attained"`
	// InTime counts all answers in time, including those after the window.
	InTime int `json:"in_time"`
	// Goodput is the rate of answers in time that ended while load arrived, and
	// GoodputTokens the rate of their tokens, both per second.
	Goodput       float64 `json:"goodput_per_s"`
	GoodputTokens float64 `json:"goodput_tokens_per_s"`
	// Produced counts the tokens of all runs, Useful those of answers in time,
	// and Wasted is the fraction of Produced that isn't Useful.
	Produced int     `json:"produced_tokens"`
	Useful   int     `json:"useful_tokens"`
	Wasted   float64 `json:"wasted"`

	RefusedShare float64   `json:"refused_share"`
	Ends         Ends      `json:"ends"`
	Refusals     []Refusal `json:"refusals"`

	// FirstToken covers the requests that got a token, Between all pairs of
	// successive tokens, Total the complete answers.
	FirstToken Latency `json:"first_token"`
	Between    Latency `json:"between_tokens"`
	Total      Latency `json:"total"`
}

// Ends counts requests by their end.
type Ends struct {
	Complete   int `json:"complete"`
	Refused    int `json:"refused"`
	Truncated  int `json:"truncated"`
	ErrorEvent int `json:"error_event"`
	Timeout    int `json:"timeout"`
	Failed     int `json:"failed"`
}

// Refusal counts the error answers and error events of one kind.
type Refusal struct {
	Status int      `json:"status,omitempty"` // 0 for an error event
	Code   string   `json:"code"`
	Run    wire.Run `json:"run,omitempty"`
	Count  int      `json:"count"`
	// RetryAfter counts those with a Retry-After header.
	RetryAfter int `json:"with_retry_after"`
}

// Attained reports whether the request was answered within both of its targets.
func (s Sample) Attained() bool {
	return s.InTime() && s.firstToken() <= s.Arrival.FirstToken
}

// InTime reports whether the complete answer arrived within the deadline.
func (s Sample) InTime() bool {
	return s.Outcome.End == client.EndComplete && s.total() <= s.Arrival.Deadline
}

func (s Sample) firstToken() time.Duration { return s.Outcome.First - s.Outcome.Due }

func (s Sample) total() time.Duration { return s.Outcome.Ended - s.Outcome.Due }

// Measured reports whether the request is measured. Requests that the bench
// itself cut off or didn't send aren't.
func (s Sample) Measured() bool { return s.Outcome.End != client.EndInterrupted }

// Compute returns the measures of the samples of a load that arrived during
// window.
func Compute(samples []Sample, window time.Duration) Measures {
	t := newTally(window)
	for _, s := range samples {
		if s.Measured() {
			t.add(s)
		}
	}
	return t.measures()
}

// tally accumulates samples.
type tally struct {
	m           Measures
	window      time.Duration
	goodAnswers int
	goodTokens  int
	refusals    map[Refusal]*Refusal
	first       latencyHistogram
	between     latencyHistogram
	total       latencyHistogram
}

func newTally(window time.Duration) *tally {
	return &tally{
		window:   window,
		refusals: make(map[Refusal]*Refusal),
		first:    newLatencyHistogram(),
		between:  newLatencyHistogram(),
		total:    newLatencyHistogram(),
	}
}

func (t *tally) add(s Sample) {
	t.m.Requests++
	t.m.Produced += s.Produced
	t.m.Ends.count(s.Outcome.End)
	t.addRefusal(s.Outcome)
	t.addLatencies(s)
	if s.Attained() {
		t.m.Attained++
	}
	if !s.InTime() {
		return
	}
	t.m.InTime++
	t.m.Useful += s.Outcome.Tokens
	if s.Outcome.Ended <= t.window {
		t.goodAnswers++
		t.goodTokens += s.Outcome.Tokens
	}
}

func (t *tally) addLatencies(s Sample) {
	if s.Outcome.Tokens > 0 {
		t.first.record(s.firstToken())
	}
	for _, g := range s.Outcome.Gaps {
		t.between.record(g)
	}
	if s.Outcome.End == client.EndComplete {
		t.total.record(s.total())
	}
}

func (t *tally) addRefusal(o client.Outcome) {
	if o.End != client.EndRefused && o.End != client.EndErrorEvent {
		return
	}
	key := Refusal{Status: o.Status, Code: o.Code, Run: o.Run}
	r, ok := t.refusals[key]
	if !ok {
		r = &Refusal{Status: o.Status, Code: o.Code, Run: o.Run}
		t.refusals[key] = r
	}
	r.Count++
	if o.RetryAfter > 0 {
		r.RetryAfter++
	}
}

func (e *Ends) count(end client.End) {
	switch end {
	case client.EndComplete:
		e.Complete++
	case client.EndRefused:
		e.Refused++
	case client.EndTruncated:
		e.Truncated++
	case client.EndErrorEvent:
		e.ErrorEvent++
	case client.EndTimeout:
		e.Timeout++
	case client.EndFailed:
		e.Failed++
	}
}

func (t *tally) measures() Measures {
	m := t.m
	m.Attainment = share(m.Attained, m.Requests)
	m.RefusedShare = share(m.Ends.Refused, m.Requests)
	m.Wasted = m.wastedShare()
	if t.window > 0 {
		m.Goodput = float64(t.goodAnswers) / t.window.Seconds()
		m.GoodputTokens = float64(t.goodTokens) / t.window.Seconds()
	}
	m.Refusals = t.refusalList()
	m.FirstToken = t.first.summary()
	m.Between = t.between.summary()
	m.Total = t.total.summary()
	return m
}

// wastedShare returns the wasted fraction. It is never negative, although Useful
// can exceed Produced: tokens are counted both where they are produced and where
// they arrive, and an answer joined from two runs may count a split token twice.
func (m Measures) wastedShare() float64 {
	return share(max(0, m.Produced-m.Useful), m.Produced)
}

// WithUnattributed adds tokens that were produced for none of the samples.
func (m Measures) WithUnattributed(tokens int) Measures {
	m.Produced += tokens
	m.Wasted = m.wastedShare()
	return m
}

func (t *tally) refusalList() []Refusal {
	list := make([]Refusal, 0, len(t.refusals))
	for _, r := range t.refusals {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Refusal) int {
		return cmp.Or(
			cmp.Compare(b.Count, a.Count),
			cmp.Compare(a.Code, b.Code),
			cmp.Compare(a.Status, b.Status),
			cmp.Compare(a.Run, b.Run),
		)
	})
	return list
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// SendLag returns the delays between the due and the actual times of sending.
func SendLag(samples []Sample) Latency {
	l := newLatencyHistogram()
	for _, s := range samples {
		l.record(s.Outcome.Sent - s.Outcome.Due)
	}
	return l.summary()
}
