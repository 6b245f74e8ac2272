package wait_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/filters/relay"
	"coveferry/internal/filters/wait"
	"coveferry/internal/wire"
)

// collect returns the results of so many requests.
func (s *singleRouter) collect(n int) (results []error) {
	for range n {
		results = append(results, <-s.ended)
	}
	return results
}

// memoryInUse returns the bytes of the heap and of stacks that are in use.
func memoryInUse() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc + m.StackInuse)
}

// maxMemory is what a full queue may take beyond the open requests, which router.Config.MaxOpen and
// MaxBodyBytes bound already: a router's allowance for control (docs/DEVELOPING.md).
const maxMemory = 32 << 20

// sendAll sends requests without the filter.
func (s *singleRouter) sendAll(n int) {
	for range n {
		r := s.request("/b/", time.Minute)
		go func() { s.ended <- s.next(context.Background(), r) }()
	}
	synctest.Wait()
}

// Guards against a queue without a bound in number or memory.
func TestQueueIsBounded(t *testing.T) {
	inSingleRouter(t, nil, func(g *WithT, s *singleRouter) {
		before := memoryInUse()
		s.sendAll(bound)
		sent := memoryInUse() - before
		s.end(bound, nil)
		s.collect(bound)
		s.entered = nil
		before = memoryInUse()
		s.startAll(places+bound+100, "/b/")
		waiting := memoryInUse() - before
		t.Logf("an open request takes %d bytes, one that waits %d", sent/bound, waiting/(places+bound))
		g.Expect(waiting - sent).To(BeNumerically("<", maxMemory))
		for _, err := range s.collect(100) {
			var refused *wait.RefusedError
			g.Expect(errors.As(err, &refused)).To(BeTrue())
			g.Expect(refused.Reason).To(Equal(wait.ReasonFull))
		}
		g.Expect(s.ended).To(BeEmpty())
		g.Expect(s.entered).To(HaveLen(places))
	})
}

// withStop returns a function that configures a filter to stop once the channel, which it makes, is closed.
func withStop(stopping *chan struct{}) func(*wait.Config) {
	return func(c *wait.Config) {
		*stopping = make(chan struct{})
		c.Stopping = *stopping
	}
}

// Guards against requests that are sent at a stop, get no answer until their contexts end, or are
// answered as if they may have run.
func TestEachWaitingRequestIsAnsweredAtAStop(t *testing.T) {
	var stopping chan struct{}
	inSingleRouter(t, withStop(&stopping), func(g *WithT, s *singleRouter) {
		s.startAll(places+bound, "/b/")
		close(stopping)
		s.end(1, nil)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		g.Expect(s.entered).To(HaveLen(places))
		g.Expect(s.ended).To(HaveLen(1 + bound))
		stopped := 0
		for _, err := range s.collect(1 + bound) {
			var refused *wait.RefusedError
			if errors.As(err, &refused) && refused.Reason == wait.ReasonStopping {
				stopped++
			}
		}
		g.Expect(stopped).To(Equal(bound))
		s.start(context.Background(), s.request("/b/", time.Minute))
		g.Expect(s.entered).To(HaveLen(places+1), "places that were not used are free")
	})
}

// Guards against requests that are held on at a stop until something else happens at their service.
func TestWaitingRequestsAreRefusedAtOnceAtAStop(t *testing.T) {
	var stopping chan struct{}
	inSingleRouter(t, withStop(&stopping), func(g *WithT, s *singleRouter) {
		s.startAll(places+bound, "/b/")
		close(stopping)
		synctest.Wait()
		for _, err := range s.collect(bound) {
			var refused *wait.RefusedError
			g.Expect(errors.As(err, &refused)).To(BeTrue())
			g.Expect(refused.Reason).To(Equal(wait.ReasonStopping))
		}
		g.Expect(s.entered).To(HaveLen(places))
	})
}

// Guards against an answer that leaves open whether a request ran which was never sent.
func TestRequestThatWasNeverSentIsAnsweredAsNotRun(t *testing.T) {
	for _, reason := range []wait.Reason{wait.ReasonLate, wait.ReasonFull, wait.ReasonStopping} {
		e := (&wait.RefusedError{Reason: reason}).API()
		NewWithT(t).Expect(e.Status).To(Equal(503))
		NewWithT(t).Expect(e.Run).To(Equal(wire.RunNot))
	}
	inSingleRouter(t, nil, func(g *WithT, s *singleRouter) {
		s.startAll(places, "/b/")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.start(ctx, s.request("/b/", time.Minute))
		var refused *wait.RefusedError
		err := <-s.ended
		g.Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
		g.Expect(refused.Reason).To(Equal(wait.ReasonLate))
	})
}

// Guards against places that stay taken by requests whose callers left.
func TestPlacesOfCallersThatLeftAreFree(t *testing.T) {
	inSingleRouter(t, nil, func(g *WithT, s *singleRouter) {
		ctx, leave := context.WithCancel(context.Background())
		for range places + bound {
			r := s.request("/b/", time.Minute)
			go func() { s.ended <- s.filter.Do(ctx, r, s.next) }()
		}
		synctest.Wait()
		began := time.Now()
		leave()
		synctest.Wait()
		gone := 0
		for _, err := range s.collect(places + bound) {
			var caller *relay.CallerError
			if errors.As(err, &caller) {
				gone++
			}
		}
		g.Expect(gone).To(BeNumerically(">=", bound-places))
		g.Expect(time.Since(began)).To(BeZero())
		s.startAll(places, "/b/")
		g.Expect(s.ended).To(BeEmpty())
		g.Expect(len(s.entered)).To(BeNumerically(">=", 2*places))
	})
}

// Guards against waiting requests that nobody sends once the endpoints are lost.
func TestEachWaitingRequestIsAnsweredWhenEndpointsAreLost(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newSimFleet(1, true)
		f.noRetries = true // retries take their own time
		f.routers[0] = f.newRouter(0, true)
		var group sync.WaitGroup
		for range places + bound {
			group.Go(func() { _ = f.send(0, "/b/", time.Minute) })
		}
		time.Sleep(100 * time.Millisecond)
		for _, e := range f.endpoints {
			e.mu.Lock()
			e.broken = true
			e.mu.Unlock()
		}
		began := time.Now()
		group.Wait()
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
}

// Guards against one lost endpoint that keeps requests from the others: requests that wait, are refused
// for lack of capacity, or are lost more often than without the filter.
func TestRequestsAreServedWhenOneEndpointFails(t *testing.T) {
	simulate := func(waiting bool) (f *simFleet) {
		inBubble(t, func(*testing.T) {
			f = newSimFleet(3, waiting)
			f.endpoints["e0"].broken = true
			var group sync.WaitGroup
			f.sendAtRate(0.4, 3*time.Second, rand.New(rand.NewPCG(2, 3)), &group)
			group.Wait()
			t.Log(f)
		})
		return f
	}
	with, without := simulate(true), simulate(false)
	g := NewWithT(t)
	g.Expect(with.maxWaited).To(BeZero())
	g.Expect(with.returned).To(BeZero(), "refused for lack of capacity")
	g.Expect(with.refusedByEndpoint).To(BeZero())
	g.Expect(with.served).To(BeNumerically(">=", 0.97*float64(with.arrivals)))
	g.Expect(with.inTime).To(Equal(with.served))
	g.Expect(with.refused).To(BeNumerically("<=", without.refused))
}

// Guards against waiting requests that a new configuration leaves without an answer: their
// endpoints state no slots any more, or there are none.
func TestWaitingRequestsAreSentWhenTheConfigurationNoLongerStatesSlots(t *testing.T) {
	for _, endpoints := range [][]*bundle.Endpoint{{{Name: "x"}}, nil} {
		inSingleRouter(t, nil, func(g *WithT, s *singleRouter) {
			s.startAll(places+bound, "/b/")
			g.Expect(s.entered).To(HaveLen(places))
			s.count(func() { s.candidates = endpoints })
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
			g.Expect(s.entered).To(HaveLen(places + bound))
		})
	}
}

// simulateBursts simulates bursts of three times what fits for 300 ms, with little between them, and checks
// that callers who are told to come back are served then if there is room.
func simulateBursts(t *testing.T, routers int) {
	inBubble(t, func(t *testing.T) {
		f := newSimFleet(routers, true)
		f.path, f.callerTimeout = "/e/", 4*time.Second
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		f.exchange(ctx)
		rnd := rand.New(rand.NewPCG(9, uint64(routers)))
		var group sync.WaitGroup
		for range 4 {
			f.inBurst.Store(true)
			f.sendAtRate(3, 300*time.Millisecond, rnd, &group)
			f.inBurst.Store(false)
			f.sendAtRate(0.3, time.Second, rnd, &group)
		}
		group.Wait()
		t.Logf("%s; with room: returned %d, served %d", f, f.returnedWithRoom, f.servedWithRoom)
		g := NewWithT(t)
		g.Expect(f.returnedWithRoom).To(BeNumerically(">=", 10))
		g.Expect(float64(f.servedWithRoom) / float64(f.returnedWithRoom)).To(BeNumerically(">=", 0.9))
	})
}

// Guards against callers that are told to come back and are refused again although the endpoints
// have room.
func TestReturningCallersAreServedOnceThereIsRoom(t *testing.T) {
	for _, routers := range []int{3, 27} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) { simulateBursts(t, routers) })
	}
}

// As the test above, at routers of which each sends a few requests a second.
func TestReturningCallersAreServedOnceThereIsRoomAtManyRouters(t *testing.T) { simulateBursts(t, 103) }
