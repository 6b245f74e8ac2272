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
	first = 600 * time.Millisecond
	quiet = 400 * time.Millisecond
)

func play(t *testing.T, do func(g *WithT)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { do(NewWithT(t)) })
}

func TestItEndsAsAtADeadlineIfNothingIsHeard(t *testing.T) {
	play(t, func(g *WithT) {
		ctx, cancel := idle.WithTimeout(context.Background(), first, quiet)
		defer cancel()
		begun := time.Now()
		<-ctx.Done()
		g.Expect(time.Since(begun)).To(Equal(first))
		g.Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))
	})
}

func TestItLastsForAsLongAsSomethingIsHeard(t *testing.T) {
	play(t, func(g *WithT) {
		ctx, cancel := idle.WithTimeout(context.Background(), first, quiet)
		defer cancel()
		for range 100 {
			time.Sleep(quiet - time.Millisecond)
			idle.Heard(ctx)
		}
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
		last := time.Now()
		<-ctx.Done()
		g.Expect(time.Since(last)).To(Equal(quiet))
	})
}

func TestWhatIsHeardEarlyShortensNothing(t *testing.T) {
	play(t, func(g *WithT) {
		ctx, cancel := idle.WithTimeout(context.Background(), first, quiet)
		defer cancel()
		begun := time.Now()
		idle.Heard(ctx)
		<-ctx.Done()
		g.Expect(time.Since(begun)).To(Equal(first))
	})
}

func TestWhatIsHeardCountsForTheContextsAround(t *testing.T) {
	play(t, func(g *WithT) {
		outer, cancelOuter := idle.WithTimeout(context.Background(), first, quiet)
		defer cancelOuter()
		between, cancelBetween := context.WithCancel(outer)
		defer cancelBetween()
		inner, cancel := idle.WithTimeout(between, first, quiet)
		defer cancel()
		for range 10 {
			time.Sleep(quiet / 2)
			idle.Heard(inner)
		}
		g.Expect(outer.Err()).NotTo(HaveOccurred())
	})
}

func TestAReaderIsHeardWhileItBringsSomething(t *testing.T) {
	play(t, func(g *WithT) {
		ctx, cancel := idle.WithTimeout(context.Background(), first, quiet)
		defer cancel()
		from, to := io.Pipe()
		context.AfterFunc(ctx, func() { _ = to.CloseWithError(context.Cause(ctx)) })
		go func() {
			for range 20 {
				time.Sleep(quiet / 2)
				_, _ = to.Write([]byte("part"))
			}
		}()
		begun := time.Now()
		got, err := io.ReadAll(idle.Reader(ctx, from))
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		g.Expect(got).To(HaveLen(20 * len("part")))
		g.Expect(time.Since(begun)).To(Equal(20*quiet/2 + quiet))
	})
}

// filling is a reader that fills what it is given, a kilobyte a millisecond, as the
// reader of a body in chunks does while a chunk lasts.
type filling struct{ left int }

func (f *filling) Read(p []byte) (int, error) {
	n := min(len(p), f.left)
	if n == 0 {
		return 0, io.EOF
	}
	f.left -= n
	time.Sleep(time.Duration(n) * time.Millisecond / 1024)
	return n, nil
}

// A router gave up calls "after 1168260 bytes of the answer" again and again while they
// came as fast as its link of 10 Mbit/s let them: its reads were of up to 385 KB, which
// took .3 s, the silence that was allowed.
func TestALongReadIsHeardInParts(t *testing.T) {
	play(t, func(g *WithT) {
		ctx, cancel := idle.WithTimeout(context.Background(), first, quiet)
		defer cancel()
		got, err := io.ReadAll(idle.Reader(ctx, &filling{left: 4 << 20}))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(HaveLen(4 << 20))
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
	})
}

func TestItEndsWithItsParentAndWhenCancelled(t *testing.T) {
	play(t, func(g *WithT) {
		parent, cancelParent := context.WithCancel(context.Background())
		ctx, cancel := idle.WithTimeout(parent, first, quiet)
		cancelParent()
		g.Expect(context.Cause(ctx)).To(MatchError(context.Canceled))
		cancel()
		ctx, cancel = idle.WithTimeout(context.Background(), first, quiet)
		cancel()
		time.Sleep(2 * first)
		g.Expect(context.Cause(ctx)).To(MatchError(context.Canceled))
		idle.Heard(context.Background()) // nothing to extend
	})
}
