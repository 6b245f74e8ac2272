package peers

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/clock"
	"coveferry/internal/follow"
)

// silentFor is how long after a failed call nothing is said of the source any more:
// a router that others tell the news may never call it again. Those that go on
// calling do so more often, also where each call takes until its timeout.
const silentFor = 3 * directEvery

// watched is a source that knows for how long its calls have failed.
type watched struct {
	Origin
	clock clock.Clock
	// outage is the longest gap between two answers that is none, and steady the span over
	// which this router had answers without one.
	outage time.Duration
	mu     sync.Mutex
	steady follow.Span
	// failing is when the first call failed that no success has followed; zero
	// while calls succeed or none was made. failed is when the last one did.
	failing, failed time.Time
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
		w.failing = time.Time{}
		w.answered(w.clock())
		return
	}
	if w.failing.IsZero() || now.Sub(w.failed) > silentFor {
		w.failing = sent
	}
	w.failed = now
}

// answered notes an answer of the source. w.mu is held.
func (w *watched) answered(now time.Time) {
	if now.Sub(w.steady.To) > w.outage {
		w.steady.From = now
	}
	w.steady.To = now
}

// span is the span over which this router had answers without a gap.
func (w *watched) span() follow.Span {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.steady
}

// Read implements follow.Source.
func (w *watched) Read(ctx context.Context, fresh bool) (follow.Reading, error) {
	sent := time.Now()
	r, err := w.Origin.Read(ctx, fresh)
	w.note(sent, err)
	return r, err
}

// Await implements follow.Source. A source that lost its history answers.
func (w *watched) Await(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	sent := time.Now()
	r, err := w.Origin.Await(ctx, after, wait)
	w.note(sent, err)
	return r, err
}

// CatchUp implements Origin.
func (w *watched) CatchUp(ctx context.Context, after uint64) (follow.Reading, error) {
	sent := time.Now()
	r, err := w.Origin.CatchUp(ctx, after)
	w.note(sent, err)
	return r, err
}

// SourceLost is for how long this router's own calls to the source have failed, 0
// while they succeed or it made none lately. What it knows may be fresh all the same.
func (s *Source) SourceLost() time.Duration { return s.direct.lost() }
