package peers

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/directory"
	"coveferry/internal/follow"
)

// watched is a source that knows for how long its calls have failed.
type watched struct {
	follow.Source
	mu sync.Mutex
	// failing is when the first call failed that no success has followed; zero
	// while calls succeed or none was made.
	failing time.Time
}

// lost is for how long calls have failed; 0 while they succeed.
func (w *watched) lost() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing.IsZero() {
		return 0
	}
	return time.Since(w.failing)
}

// note takes how a call that was sent at a moment ended.
func (w *watched) note(sent time.Time, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, follow.ErrHistoryLost):
		w.failing = time.Time{}
	case w.failing.IsZero():
		w.failing = sent
	}
}

// Config implements follow.Source.
func (w *watched) Config(ctx context.Context) (follow.Reading, error) {
	sent := time.Now()
	r, err := w.Source.Config(ctx)
	w.note(sent, err)
	return r, err
}

// AwaitConfig implements follow.Source. A source that lost its history answers.
func (w *watched) AwaitConfig(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	sent := time.Now()
	r, err := w.Source.AwaitConfig(ctx, after, wait)
	w.note(sent, err)
	return r, err
}

// Endpoints implements follow.Source.
func (w *watched) Endpoints(ctx context.Context, fresh bool) (directory.Reading, error) {
	sent := time.Now()
	r, err := w.Source.Endpoints(ctx, fresh)
	w.note(sent, err)
	return r, err
}

// SourceLost is for how long this router's own calls to the source have failed, 0
// while they succeed or it makes none. What it knows may be fresh all the same.
func (s *Source) SourceLost() time.Duration { return s.direct.lost() }
