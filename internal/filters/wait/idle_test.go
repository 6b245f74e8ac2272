package wait_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/filters/wait"
)

// sendBurst sends requests to the first router at the same moment.
func (f *simFleet) sendBurst(n int, group *sync.WaitGroup) {
	for range n {
		group.Go(func() { f.call(0, 0) })
	}
}

func expectNoWait(t *testing.T, f *simFleet) {
	t.Helper()
	g := NewWithT(t)
	g.Expect(f.maxWaited).To(BeZero(), f.String())
	g.Expect(f.refused).To(BeZero(), f.String())
}

// Guards against holding back the first burst at an idle service, of which no recent report exists.
func TestFirstBurstAtAnIdleServiceDoesNotWait(t *testing.T) {
	for _, idle := range []time.Duration{0, time.Minute} {
		inBubble(t, func(t *testing.T) {
			f := newSimFleet(100, true)
			var group sync.WaitGroup
			if idle > 0 {
				f.sendBurst(1, &group)
				group.Wait()
				time.Sleep(idle)
			}
			f.sendBurst(20, &group)
			group.Wait()
			expectNoWait(t, f)
		})
	}
}

// Guards against holding requests back because reports end while answers take several seconds.
func TestLongAnswersDoNotMakeOthersWaitWhileSlotsAreFree(t *testing.T) {
	inSingleRouter(t, func(c *wait.Config) { c.FleetSize = func() int { return 100 } }, func(g *WithT, s *singleRouter) {
		time.Sleep(time.Minute) // since the last report
		first := s.start(context.Background(), s.request("/b/", time.Minute))
		s.release <- nil
		g.Expect(<-s.ended).To(Succeed())
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			r := s.start(context.Background(), s.request("/b/", time.Minute))
			g.Expect(r.Wait).To(Equal(first.Wait))
		}
		g.Expect(s.entered).To(HaveLen(21))
	})
}

// Guards against a router that gets all requests and holds them back for routers that get none.
func TestAllRequestsAtOneOfManyRoutersDoNotWaitWhileSlotsAreFree(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newSimFleet(100, true)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		f.exchange(ctx)
		rnd := rand.New(rand.NewPCG(4, 4))
		var group sync.WaitGroup
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
			time.Sleep(time.Duration(rnd.ExpFloat64() / (0.4 * simCapacity) * float64(time.Second)))
			group.Go(func() { f.call(0, 0) })
		}
		group.Wait()
		expectNoWait(t, f)
	})
}
