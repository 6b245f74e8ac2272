// Package idle provides contexts with an idle timeout instead of a fixed deadline, for
// calls with large answers. With a fixed deadline such a call fails on every attempt,
// no matter how much of the answer arrives each time.
package idle

import (
	"context"
	"io"
	"sync"
	"time"
)

// timerKey is the context key of an *idleTimer.
type timerKey struct{}

// idleTimer cancels a context after its idle timeout. Activity also extends the idle
// timers of its parent contexts.
type idleTimer struct {
	parent      *idleTimer // nil if no parent context has one
	idleTimeout time.Duration
	mu          sync.Mutex
	timer       *time.Timer
	deadline    time.Time
}

// WithTimeout returns a context that expires after initial. Each call of MarkActive
// extends it to at least idleTimeout from then. Its Deadline method reports none of
// its own, and its cause is context.DeadlineExceeded once it has expired.
func WithTimeout(parent context.Context, initial, idleTimeout time.Duration) (context.Context, context.CancelFunc) {
	w := &idleTimer{idleTimeout: idleTimeout, deadline: time.Now().Add(initial)}
	w.parent, _ = parent.Value(timerKey{}).(*idleTimer)
	ctx, cancel := context.WithCancelCause(context.WithValue(parent, timerKey{}, w))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(initial, func() {
		if w.expired() {
			cancel(context.DeadlineExceeded)
		}
	})
	return ctx, func() {
		w.timer.Stop()
		cancel(context.Canceled)
	}
}

// expired reports whether the deadline has passed. If it was extended since the timer
// was set, expired resets the timer.
func (w *idleTimer) expired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	remaining := time.Until(w.deadline)
	if remaining > 0 {
		w.timer.Reset(remaining)
	}
	return remaining <= 0
}

func (w *idleTimer) extend(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if extended := now.Add(w.idleTimeout); extended.After(w.deadline) {
		w.deadline = extended
	}
}

// counterKey is the context key of a byte counter.
type counterKey struct{}

// WithCounter returns a context whose Readers call onRead with the number of bytes of
// each read. onRead must not block.
func WithCounter(parent context.Context, onRead func(bytes int)) context.Context {
	return context.WithValue(parent, counterKey{}, onRead)
}

// MarkActive records activity on a context, which extends its idle timeout. It does
// nothing unless the context or a parent is from WithTimeout.
func MarkActive(ctx context.Context) {
	w, _ := ctx.Value(timerKey{}).(*idleTimer)
	for now := time.Now(); w != nil; w = w.parent {
		w.extend(now)
	}
}

// maxReadSize bounds a single read, in bytes. The reader of a chunked body fills the
// whole buffer while a chunk lasts: a read of 385 KB takes 0.3 s at 10 Mbit/s, which an
// idle timeout of 0.3 s takes for inactivity. A read of this size takes 0.3 s only at
// 0.4 Mbit/s.
const maxReadSize = 16 << 10

// reader marks its context active on each read that returns data.
type reader struct {
	ctx    context.Context
	source io.Reader
}

// Reader returns a reader that marks ctx active on each read that returns data.
func Reader(ctx context.Context, source io.Reader) io.Reader { return reader{ctx, source} }

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p[:min(len(p), maxReadSize)])
	if n > 0 {
		MarkActive(r.ctx)
	}
	if onRead, ok := r.ctx.Value(counterKey{}).(func(int)); ok && n > 0 {
		onRead(n)
	}
	return n, err
}
