package idle_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/idle"
)

const (
	initial     = 600 * time.Millisecond
	idleTimeout = 400 * time.Millisecond
)

func runInBubble(t *testing.T, body func(g *WithT)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { body(NewWithT(t)) })
}

func TestContextExpiresWithoutActivity(t *testing.T) {
	runInBubble(t, func(g *WithT) {
		ctx, cancel := idle.WithTimeout(context.Background(), initial, idleTimeout)
		defer cancel()
		begun := time.Now()
		<-ctx.Done()
		g.Expect(time.Since(begun)).To(Equal(initial))
		g.Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))
	})
}

func TestActivityExtendsTimeout(t *testing.T) {
	runInBubble(t, func(g *WithT) {
		ctx, cancel := idle.WithTimeout(context.Background(), initial, idleTimeout)
		defer cancel()
		for range 100 {
			time.Sleep(idleTimeout - time.Millisecond)
			idle.MarkActive(ctx)
		}
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
		last := time.Now()
		<-ctx.Done()
		g.Expect(time.Since(last)).To(Equal(idleTimeout))
	})
}

func TestEarlyActivityKeepsInitialTimeout(t *testing.T) {
	runInBubble(t, func(g *WithT) {
		ctx, cancel := idle.WithTimeout(context.Background(), initial, idleTimeout)
		defer cancel()
		begun := time.Now()
		idle.MarkActive(ctx)
		<-ctx.Done()
		g.Expect(time.Since(begun)).To(Equal(initial))
	})
}

func TestActivityExtendsParentTimeouts(t *testing.T) {
	runInBubble(t, func(g *WithT) {
		outer, cancelOuter := idle.WithTimeout(context.Background(), initial, idleTimeout)
		defer cancelOuter()
		middle, cancelMiddle := context.WithCancel(outer)
		defer cancelMiddle()
		inner, cancel := idle.WithTimeout(middle, initial, idleTimeout)
		defer cancel()
		for range 10 {
			time.Sleep(idleTimeout / 2)
			idle.MarkActive(inner)
		}
		g.Expect(outer.Err()).NotTo(HaveOccurred())
	})
}

func TestReaderExtendsTimeout(t *testing.T) {
	runInBubble(t, func(g *WithT) {
		ctx, cancel := idle.WithTimeout(context.Background(), initial, idleTimeout)
		defer cancel()
		from, to := io.Pipe()
		context.AfterFunc(ctx, func() { _ = to.CloseWithError(context.Cause(ctx)) })
		go func() {
			for range 20 {
				time.Sleep(idleTimeout / 2)
				_, _ = to.Write([]byte("part"))
			}
		}()
		begun := time.Now()
		got, err := io.ReadAll(idle.Reader(ctx, from))
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		g.Expect(got).To(HaveLen(20 * len("part")))
		g.Expect(time.Since(begun)).To(Equal(20*idleTimeout/2 + idleTimeout))
	})
}

// chunkedReader fills the buffer of each read, at one kilobyte per millisecond, as the
// reader of a chunked body does while a chunk lasts.
type chunkedReader struct{ left int }

func (f *chunkedReader) Read(p []byte) (int, error) {
	n := min(len(p), f.left)
	if n == 0 {
		return 0, io.EOF
	}
	f.left -= n
	time.Sleep(time.Duration(n) * time.Millisecond / 1024)
	return n, nil
}

// Guards against an idle timeout during one long read: without the split a router aborts
// calls "after 1168260 bytes of the answer" although data arrives at the full 10 Mbit/s
// of its link, since reads of up to 385 KB take 0.3 s, its idle timeout.
func TestLongReadIsSplit(t *testing.T) {
	runInBubble(t, func(g *WithT) {
		ctx, cancel := idle.WithTimeout(context.Background(), initial, idleTimeout)
		defer cancel()
		got, err := io.ReadAll(idle.Reader(ctx, &chunkedReader{left: 4 << 20}))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(HaveLen(4 << 20))
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
	})
}

func TestContextEndsWithParentOrCancel(t *testing.T) {
	runInBubble(t, func(g *WithT) {
		parent, cancelParent := context.WithCancel(context.Background())
		ctx, cancel := idle.WithTimeout(parent, initial, idleTimeout)
		cancelParent()
		g.Expect(context.Cause(ctx)).To(MatchError(context.Canceled))
		cancel()
		ctx, cancel = idle.WithTimeout(context.Background(), initial, idleTimeout)
		cancel()
		time.Sleep(2 * initial)
		g.Expect(context.Cause(ctx)).To(MatchError(context.Canceled))
		idle.MarkActive(context.Background()) // nothing to extend
	})
}
