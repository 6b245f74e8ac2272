// Package idle has contexts that end when nothing was heard for too long, in place of
// at a fixed moment: for calls whose answers may take long because they are long. A
// fixed bound has such a call fail as often as it is made, however much of the answer
// comes each time.
package idle

import (
	"context"
	"io"
	"sync"
	"time"
)

// watchKey is where a context has its watch.
type watchKey struct{}

// watch ends a context once its time is over. What is heard under it also counts for
// the contexts around it.
type watch struct {
	outer *watch // nil if no context around it has one
	quiet time.Duration
	mu    sync.Mutex
	timer *time.Timer
	until time.Time
}

// WithTimeout returns a context that ends after first, or later: each Heard extends it
// to at least quiet from then. It has no deadline to be asked for, and its cause is
// context.DeadlineExceeded once its time is over.
func WithTimeout(parent context.Context, first, quiet time.Duration) (context.Context, context.CancelFunc) {
	w := &watch{quiet: quiet, until: time.Now().Add(first)}
	w.outer, _ = parent.Value(watchKey{}).(*watch)
	ctx, cancel := context.WithCancelCause(context.WithValue(parent, watchKey{}, w))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, func() {
		if w.over() {
			cancel(context.DeadlineExceeded)
		}
	})
	return ctx, func() {
		w.timer.Stop()
		cancel(context.Canceled)
	}
}

// over says whether the time is over. If something was heard since the timer was set,
// it isn't, and the timer is set again.
func (w *watch) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := time.Until(w.until)
	if left > 0 {
		w.timer.Reset(left)
	}
	return left <= 0
}

func (w *watch) extend(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := now.Add(w.quiet); until.After(w.until) {
		w.until = until
	}
}

// counterKey is where a context has its counter.
type counterKey struct{}

// WithCounter returns a context that has a function told how many bytes come under it, each
// time that some do. It must not wait.
func WithCounter(parent context.Context, came func(bytes int)) context.Context {
	return context.WithValue(parent, counterKey{}, came)
}

// Heard notes that something came for the call that the context is of. It does nothing
// if no context around it is from WithTimeout.
func Heard(ctx context.Context) {
	w, _ := ctx.Value(watchKey{}).(*watch)
	for now := time.Now(); w != nil; w = w.outer {
		w.extend(now)
	}
}

// maxRead bounds a single read, in bytes. A body in chunks fills what it is given while
// a chunk lasts: reads of 385 KB took .3 s over 10 Mbit/s, and so looked like silence.
// These take that long at .4 Mbit/s.
const maxRead = 16 << 10

// reader notes what comes from another reader.
type reader struct {
	ctx  context.Context
	from io.Reader
}

// Reader returns a reader of which all that comes is heard.
func Reader(ctx context.Context, from io.Reader) io.Reader { return reader{ctx, from} }

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p[:min(len(p), maxRead)])
	if n > 0 {
		Heard(r.ctx)
	}
	if came, ok := r.ctx.Value(counterKey{}).(func(int)); ok && n > 0 {
		came(n)
	}
	return n, err
}
