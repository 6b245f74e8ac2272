package wait_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/bundle"
	"coveferry/internal/filters/dispatch"
	"coveferry/internal/filters/relay"
	"coveferry/internal/filters/wait"
	"coveferry/internal/load"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/route"
	"coveferry/internal/sched"
	"coveferry/internal/waiting"
	"coveferry/internal/wire"
)

// places is the initial limit of a single router.
const places = 2 * simEndpoints * simSlots

// gate is the rest of a filter chain, in which requests stay until the test ends them.
type gate struct {
	mu      sync.Mutex
	entered []*request.Request
	release chan error
}

func (g *gate) next(ctx context.Context, r *request.Request) error {
	g.mu.Lock()
	g.entered = append(g.entered, r)
	g.mu.Unlock()
	select {
	case err := <-g.release:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// singleRouter is a filter in front of a gate.
type singleRouter struct {
	*simFleet
	gate
	filter  *wait.Filter
	metrics *prometheus.Registry // nil if unused
	ended   chan error
}

// newSingleRouter returns a filter of a single router.
func newSingleRouter(configure func(*wait.Config)) *singleRouter {
	s := &singleRouter{simFleet: newSimFleet(1, false), ended: make(chan error, 10_000)}
	s.gate.release = make(chan error)
	cfg := wait.Config{
		Pool: s.routers[0].pool, Endpoints: func(string) []*bundle.Endpoint { return s.listed() },
		Rand: func() float64 { return 0.5 },
	}
	if configure != nil {
		configure(&cfg)
	}
	s.filter = wait.New(cfg)
	s.reportQueue()
	return s
}

// start runs a request and waits until it is in the gate, waits or has ended.
func (s *singleRouter) start(ctx context.Context, r *request.Request) *request.Request {
	go func() { s.ended <- s.filter.Do(ctx, r, s.next) }()
	synctest.Wait()
	return r
}

// reportQueue has an endpoint report that all slots are in use and requests are queued.
func (s *singleRouter) reportQueue() {
	rt := s.routers[0]
	rt.seq++
	full := load.Report{Slots: simSlots, Seq: rt.seq}
	full.Running[0], full.Queued[0] = simSlots, 1
	rt.pool.Report(time.Now(), "e0", full)
}

// listed returns the endpoints that the configuration has now.
func (s *singleRouter) listed() (endpoints []*bundle.Endpoint) {
	s.simFleet.count(func() { endpoints = s.candidates })
	return endpoints
}

func (s *singleRouter) startAll(n int, path string) {
	for range n {
		r := s.request(path, time.Minute)
		go func() { s.ended <- s.filter.Do(context.Background(), r, s.next) }()
	}
	synctest.Wait()
}

// end ends requests with a result.
func (s *singleRouter) end(n int, err error) {
	for range n {
		s.release <- err
		synctest.Wait()
	}
}

// finish ends all requests.
func (s *singleRouter) finish() {
	for {
		select {
		case s.release <- nil:
			synctest.Wait()
		case <-time.After(time.Second):
			return
		}
	}
}

func inSingleRouter(t *testing.T, configure func(*wait.Config), test func(g *WithT, s *singleRouter)) {
	inBubble(t, func(t *testing.T) {
		s := newSingleRouter(configure)
		defer s.finish()
		test(NewWithT(t), s)
	})
}

// Guards against latency or refusals at services that have capacity.
func TestNothingWaitsWithoutShortage(t *testing.T) {
	for _, routers := range []int{1, 3, 27} {
		inBubble(t, func(t *testing.T) {
			f := newSimFleet(routers, true)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			f.exchange(ctx)
			var group sync.WaitGroup
			f.sendAtRate(0.5, 4*time.Second, rand.New(rand.NewPCG(5, 3)), &group)
			group.Wait()
			NewWithT(t).Expect(f.maxWaited).To(BeZero(), f.String())
			NewWithT(t).Expect(f.refused).To(BeZero(), f.String())
		})
	}
}

// Guards against a filter that changes the choice of endpoints where it isn't needed.
func TestFilterDoesNotChangeChoicesWithoutShortage(t *testing.T) {
	choices := func(waiting bool) (names []string) {
		inBubble(t, func(t *testing.T) {
			f := newSimFleet(1, waiting)
			for i := range 200 {
				r := f.request(fmt.Sprintf("/a/%d", i), time.Second)
				if i%3 == 0 {
					go func() { _ = f.routers[0].chain(context.Background(), f.request("/a/", time.Second)) }()
					time.Sleep(7 * time.Millisecond) // so that no two requests end at the same moment
				}
				NewWithT(t).Expect(f.routers[0].chain(context.Background(), r)).To(Succeed())
				names = append(names, r.Endpoint.Name)
			}
		})
		return names
	}
	NewWithT(t).Expect(choices(true)).To(Equal(choices(false)))
}

// Guards against holding back requests of services with an engine, of services whose endpoints
// state no slots or do so only in part, and of other kinds.
func TestRequestsOfOtherServicesAreNotHeldBack(t *testing.T) {
	for name, change := range map[string]func(s *singleRouter, r *request.Request){
		"engine": func(_ *singleRouter, r *request.Request) { r.Routes.Table = newSimTable(&route.Engine{Stride: 1}) },
		"one without slots": func(s *singleRouter, _ *request.Request) {
			s.candidates = []*bundle.Endpoint{{Name: "e0", Slots: simSlots}, {Name: "x"}}
		},
		"no slots": func(s *singleRouter, _ *request.Request) { s.candidates = []*bundle.Endpoint{{Name: "x"}} },
		"kind":     func(_ *singleRouter, r *request.Request) { r.Kind = wire.KindChat },
		"unknown":  func(_ *singleRouter, r *request.Request) { r.Service = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			inSingleRouter(t, nil, func(g *WithT, s *singleRouter) {
				for range 10 * places {
					r := s.request("/a/", time.Second)
					change(s, r)
					before := *r
					s.start(context.Background(), r)
					g.Expect(*r).To(Equal(before))
				}
				g.Expect(s.entered).To(HaveLen(10 * places))
			})
		})
	}
}

// Guards against a retry that waits behind new requests or takes a second place.
func TestRetryNeitherWaitsNorTakesASecondPlace(t *testing.T) {
	inSingleRouter(t, nil, func(g *WithT, s *singleRouter) {
		s.startAll(places, "/b/")
		s.startAll(3, "/b/")
		g.Expect(s.entered).To(HaveLen(places))
		retry := s.request("/b/", time.Minute)
		retry.Tried = []string{"e0"}
		s.start(context.Background(), retry)
		g.Expect(s.entered).To(HaveLen(places+1), "the retry doesn't wait")
		s.end(1, errBroken)
		g.Expect(s.entered).To(HaveLen(places+1), "the retry is counted once")
		s.end(1, errBroken)
		g.Expect(s.entered).To(HaveLen(places + 2))
	})
}

// Guards against callers that left and still take a place in the queue or at an endpoint.
func TestCallerThatLeftTakesNoPlace(t *testing.T) {
	inSingleRouter(t, nil, func(g *WithT, s *singleRouter) {
		s.startAll(places, "/b/")
		ctx, leave := context.WithCancel(context.Background())
		s.start(ctx, s.request("/b/", time.Minute))
		stays := s.start(context.Background(), s.request("/b/", time.Minute))
		g.Expect(stays.Wait.Position).To(Equal(1))
		leave()
		synctest.Wait()
		var gone *relay.CallerError
		g.Expect(errors.As(<-s.ended, &gone)).To(BeTrue())
		next := s.start(context.Background(), s.request("/b/", time.Minute))
		g.Expect(next.Wait.Position).To(Equal(1))
		s.end(1, nil)
		g.Expect(s.entered[places]).To(BeIdenticalTo(stays))
	})
}

// Guards against urgent requests that wait behind others.
func TestUrgentRequestDoesNotWaitBehindOthers(t *testing.T) {
	inSingleRouter(t, nil, func(g *WithT, s *singleRouter) {
		s.startAll(places, "/b/")
		low := s.start(context.Background(), s.request("/d/", time.Minute))
		urgent := s.start(context.Background(), s.request("/c/", time.Minute))
		s.end(2, errBroken)
		g.Expect(s.entered[places:]).To(Equal([]*request.Request{urgent, low}))
	})
}

// Guards against holding a request that can't be served in time, and against a caller that isn't
// told when to come back.
func TestRequestThatCannotBeServedInTimeIsRefused(t *testing.T) {
	inSingleRouter(t, nil, func(g *WithT, s *singleRouter) {
		s.startAll(places, "/b/")
		time.Sleep(100 * time.Millisecond)
		s.end(1, nil) // answers take 100 ms
		s.startAll(1, "/b/")
		began := time.Now()
		r := s.start(context.Background(), s.request("/a/", 500*time.Millisecond))
		g.Expect(<-s.ended).To(Succeed())
		var refused *wait.RefusedError
		g.Expect(errors.As(<-s.ended, &refused)).To(BeTrue())
		g.Expect(refused.Reason).To(Equal(wait.ReasonLate))
		g.Expect(time.Since(began)).To(Equal(r.Wait.Waited))
		left := time.Until(r.Deadline)
		g.Expect(left).To(BeNumerically(">=", 100*time.Millisecond), "time for an answer")
		api := refused.API()
		g.Expect(api.Status).To(Equal(503))
		g.Expect(api.Run).To(Equal(wire.RunNot))
		g.Expect(api.RetryAfter).To(BeNumerically(">", 0))
		g.Expect(api.RetryAfter).To(BeNumerically("<=", left/3))
	})
}

var errShare = errors.New("above its share")

// Guards against a hook that decides on requests which needn't wait.
func TestAdmitDecidesOnlyOnRequestsThatHaveToWait(t *testing.T) {
	var pressures []float64
	admit := func(_ *request.Request, pressure float64) error {
		pressures = append(pressures, pressure)
		if len(pressures) > 2 {
			return errShare
		}
		return nil
	}
	inSingleRouter(t, func(c *wait.Config) { c.Admit = admit }, func(g *WithT, s *singleRouter) {
		s.startAll(places, "/b/")
		g.Expect(pressures).To(BeEmpty())
		time.Sleep(time.Second)
		s.end(1, nil)
		g.Expect(<-s.ended).To(Succeed())
		for range 4 {
			s.start(context.Background(), s.request("/b/", time.Minute))
		}
		g.Expect(len(pressures)).To(Equal(3), "one took the free place")
		g.Expect(pressures[1]).To(BeNumerically(">", pressures[0]))
		g.Expect(<-s.ended).To(MatchError(errShare))
	})
}

var errQuarantined = errors.New("quarantined")

// Guards against a request that takes a place in the queue although it must not be sent.
func TestQuarantinedRequestDoesNotWait(t *testing.T) {
	quarantined := func(r *request.Request) error {
		if r.CallerID == "quarantined" {
			return errQuarantined
		}
		return nil
	}
	admitted := 0
	admit := func(*request.Request, float64) error { admitted++; return nil }
	inSingleRouter(t, func(c *wait.Config) { c.CheckBeforeWaiting, c.Admit = quarantined, admit }, func(g *WithT, s *singleRouter) {
		s.startAll(places, "/b/")
		r := s.request("/b/", time.Minute)
		r.CallerID = "quarantined"
		s.start(context.Background(), r)
		g.Expect(s.ended).To(Receive(MatchError(errQuarantined)))
		g.Expect(admitted).To(BeZero(), "its team is not charged")
		g.Expect(s.start(context.Background(), s.request("/b/", time.Minute)).Wait.Position).To(BeZero())
	})
}

// limit returns the limit on the requests in flight.
func (s *singleRouter) limit(g *WithT) float64 {
	return gather(g, s.metrics)["coveferry_router_inflight_limit"]
}

// Guards against a limit that shrinks although there is capacity: an endpoint refuses by its rate
// limit, asks for a pause, or refuses requests while another one has free slots.
func TestOnlyRefusalsForLackOfCapacityShrinkTheLimit(t *testing.T) {
	reg := prometheus.NewRegistry()
	inSingleRouter(t, func(c *wait.Config) { c.Metrics = reg }, func(g *WithT, s *singleRouter) {
		s.metrics = reg
		refusal := func(lacksRoom bool) error {
			return &dispatch.RefusedError{Refusal: wire.Refusal{Run: wire.RunNot, Reason: string(sched.ReasonQueueFull)}, LacksRoom: lacksRoom}
		}
		refuse := func(err error, prepare func(r *request.Request)) {
			time.Sleep(time.Second)
			r := s.request("/b/", time.Minute)
			r.Endpoint = s.candidates[0]
			prepare(r)
			s.start(context.Background(), r)
			s.end(1, err)
			g.Expect(<-s.ended).To(MatchError(err))
		}
		nothing := func(*request.Request) {}
		refuse(refusal(false), nothing)
		g.Expect(s.limit(g)).To(BeNumerically("==", places), "429")
		refuse(refusal(true), func(r *request.Request) { r.Signals.Backoff = time.Second })
		g.Expect(s.limit(g)).To(BeNumerically("==", places), "asks for a pause")
		idle := func(endpoint string) func(*request.Request) {
			return func(*request.Request) {
				s.routers[0].seq++
				s.routers[0].pool.Report(time.Now(), endpoint, load.Report{Slots: simSlots, Seq: s.routers[0].seq})
			}
		}
		refuse(refusal(true), idle("e1"))
		g.Expect(s.limit(g)).To(BeNumerically("==", places), "another endpoint has free slots")
		refuse(refusal(true), idle("e0"))
		g.Expect(s.limit(g)).To(BeNumerically("<", places), "only the one that refuses states free slots")
	})
}

// bound is the number of requests that the queue holds.
const bound = waiting.MaxWaiting

var _ pipeline.Filter = (*wait.Filter)(nil)
