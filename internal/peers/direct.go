package peers

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/follow"
	"coveferry/internal/idle"
)

// silentFor is how long after a failed call nothing is said of the source any more:
// a router that others tell the news may never call it again. Those that go on
// calling do so more often, also where each call takes until its timeout.
const silentFor = 3 * directEvery

// longAnswer is an answer, in bytes, that brings a configuration rather than news of endpoints.
const longAnswer = 64 << 10

// What calls to the source ask for. One for everything takes several calls at the source.
const (
	callForAll    = "everything"
	callForNews   = "news"
	callForNewest = "newest"
)

// newCalls counts calls to the source.
func newCalls(metrics prometheus.Registerer) *prometheus.CounterVec {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "coveferry_source_calls_total",
		Help: "Calls of this router to the source of the configuration and the list of endpoints, by what they ask for.",
	}, []string{"for"})
	if metrics != nil {
		metrics.MustRegister(calls)
	}
	return calls
}

// watched is a source that knows for how long its calls have failed.
type watched struct {
	Origin
	// answered is called for each answer.
	answered func()
	// calls counts the calls by what they ask for.
	calls *prometheus.CounterVec
	mu    sync.Mutex
	// failing is when the first call failed that no success has followed; zero
	// while calls succeed or none was made. failed is when the last one did.
	failing, failed time.Time
	// came is how many bytes of the last call's answer did, and pending says that a long
	// answer has begun to come and that no call has succeeded since.
	came    int
	pending bool
}

// begin returns the context of a call that begins.
func (w *watched) begin(ctx context.Context) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.came = 0
	return idle.WithCounter(ctx, w.take)
}

// take counts bytes of an answer.
func (w *watched) take(bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.came += bytes
	w.pending = w.pending || w.came >= longAnswer
}

// isPending says whether the source holds what this router knows it to but hasn't read whole:
// mostly a configuration.
func (w *watched) isPending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending
}

// lost is for how long calls have failed; 0 while they succeed, or if none was
// made lately.
func (w *watched) lost() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing.IsZero() || time.Since(w.failed) > silentFor {
		return 0
	}
	return time.Since(w.failing)
}

// note takes how a call that was sent at a moment ended.
func (w *watched) note(sent time.Time, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if err == nil || errors.Is(err, follow.ErrHistoryLost) {
		w.failing, w.pending = time.Time{}, false
		w.answered()
		return
	}
	if w.failing.IsZero() || now.Sub(w.failed) > silentFor {
		w.failing = sent
	}
	w.failed = now
}

// Read implements follow.Source.
func (w *watched) Read(ctx context.Context, fresh bool) (follow.Reading, error) {
	w.calls.WithLabelValues(callForAll).Inc()
	sent := time.Now()
	r, err := w.Origin.Read(w.begin(ctx), fresh)
	w.note(sent, err)
	return r, err
}

// Await implements follow.Source. A source that lost its history answers.
func (w *watched) Await(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	w.calls.WithLabelValues(callForNews).Inc()
	sent := time.Now()
	r, err := w.Origin.Await(w.begin(ctx), after, wait)
	w.note(sent, err)
	return r, err
}

// CatchUp implements Origin.
func (w *watched) CatchUp(ctx context.Context, after uint64) (follow.Reading, error) {
	w.calls.WithLabelValues(callForNewest).Inc()
	sent := time.Now()
	r, err := w.Origin.CatchUp(w.begin(ctx), after)
	w.note(sent, err)
	return r, err
}

// SourceLost is for how long this router's own calls to the source have failed, 0
// while they succeed or it made none lately. What it knows may be fresh all the same.
func (s *Source) SourceLost() time.Duration { return s.direct.lost() }
