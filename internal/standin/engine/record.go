package engine

import "time"

// End is the way in which a run ended.
type End string

// The ways in which a run ends.
const (
	EndNone      End = "" // still running
	EndCompleted End = "completed"
	EndCancelled End = "cancelled" // its client disconnected, or it was aborted
	EndPreempted End = "preempted" // aborted with reason "preempted"
	EndExported  End = "exported"  // its KV cache was exported to another engine
	EndCrashed   End = "crashed"
)

// Run is one run of a request on the engine. A request that never got a slot
// has no run. A sequence that the engine itself preempted and resumed counts as
// one run.
type Run struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Model          string    `json:"model"`
	Priority       int       `json:"priority"`
	Start          time.Time `json:"start"`
	// Stop is when the run ended; zero while it is running.
	Stop time.Time `json:"stop,omitzero"`
	// ResumedTokens is the number of answer tokens that the request contained.
	ResumedTokens int `json:"resumed_tokens"`
	// Produced counts the new tokens, including those that no client received.
	Produced int `json:"produced"`
	// Prefilled counts the tokens computed to fill the KV cache, including
	// recomputation after preemptions, without cached tokens.
	Prefilled   int `json:"prefilled"`
	Preemptions int `json:"preemptions"`
	End         End `json:"end"`
}

// Totals sums up all runs since the engine was created, including those dropped
// from the record.
type Totals struct {
	Runs        int         `json:"runs"`
	Ends        map[End]int `json:"ends"`
	Produced    int         `json:"produced"`
	Prefilled   int         `json:"prefilled"`
	Preemptions int         `json:"preemptions"`
	// NeverStarted counts requests that ended before they got a slot.
	NeverStarted int `json:"never_started"`
	// Mismatches counts rejected resumptions whose text wasn't a prefix of the
	// answer.
	Mismatches int `json:"mismatches"`
	// Dropped counts the runs evicted from the bounded record, oldest first.
	Dropped int `json:"dropped"`
}

// recorder is a ring buffer of runs that survives crashes.
type recorder struct {
	limit  int
	runs   []*Run
	next   int // index of the oldest run, once the ring is full
	totals Totals
}

func newRecorder(limit int) recorder {
	return recorder{limit: limit, totals: Totals{Ends: make(map[End]int)}}
}

func (r *recorder) start(run *Run) {
	r.totals.Runs++
	if len(r.runs) < r.limit {
		r.runs = append(r.runs, run)
		return
	}
	r.runs[r.next] = run
	r.next = (r.next + 1) % r.limit
	r.totals.Dropped++
}

func (r *recorder) end(run *Run, now time.Time, end End) {
	run.Stop = now
	run.End = end
	r.totals.Ends[end]++
}

func (r *recorder) list() []Run {
	out := make([]Run, 0, len(r.runs))
	for i := range r.runs {
		out = append(out, *r.runs[(r.next+i)%len(r.runs)])
	}
	return out
}
