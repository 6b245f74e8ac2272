package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/balance"
	"coveferry/internal/load"
	"coveferry/internal/wire"
)

// Guards against overloading a cold process: while the configuration store was unavailable, an
// endpoint's process ended and another one took over its name and address. Routers saw refused
// connections, then a passed health check, and sent the endpoint its full share: 15 requests in
// a second, while a cold process handles 12. Found by the soak test with seed 1034, where the
// routers learned of the restart seven seconds later.
func TestOnReturningIsCalledAfterRefusedConnections(t *testing.T) {
	for name, c := range map[string]struct {
		sent      bool
		wantCalls int
	}{"refused": {false, 1}, "broken": {true, 0}} {
		g := NewWithT(t)
		tracker := NewTracker(Config{Pool: balance.NewPool(balance.Config{}), Log: zerolog.Nop()})
		calls := 0
		tracker.OnReturning(func(endpoint string) {
			g.Expect(endpoint).To(Equal("e0"))
			calls++
		})
		tracker.HandleEvent(bundleOf(2))
		tracker.Failed("e0", "", c.sent)
		tracker.Failed("e0", "", c.sent)
		tracker.Answered("e0", wire.Clock{}, time.Time{}, load.Report{Seq: uint64(time.Now().UnixNano())})
		g.Expect(calls).To(Equal(c.wantCalls), name)
		tracker.Answered("e0", wire.Clock{}, time.Time{}, load.Report{Seq: uint64(time.Now().UnixNano())})
		g.Expect(calls).To(Equal(c.wantCalls), "%s, once", name)
	}
}

// newReturningTracker returns a tracker of two endpoints and the number of calls of its
// OnReturning function.
func newReturningTracker() (*Tracker, *int) {
	tracker := NewTracker(Config{Pool: balance.NewPool(balance.Config{}), Log: zerolog.Nop()})
	calls := 0
	tracker.OnReturning(func(string) { calls++ })
	tracker.HandleEvent(bundleOf(2))
	return tracker, &calls
}

// Guards against overloading a cold process: an endpoint's process ended behind a proxy that
// accepts connections and resets them, and another one took over its name. Its first response
// was to a request for which no other endpoint was available, before any health check. All
// routers treated it as the old process and sent 13 to 17 requests in a second, while a cold
// process handles 12. Found by the soak test with seed 3010.
func TestOnReturningIsCalledAfterResponseToRequestSentAfterBrokenConnections(t *testing.T) {
	for name, c := range map[string]struct {
		sent      time.Duration // relative to the broken connections
		wantCalls int
	}{"sent before": {-time.Second, 0}, "sent after": {time.Minute, 1}} {
		g := NewWithT(t)
		tracker, calls := newReturningTracker()
		tracker.Failed("e0", "", true)
		tracker.Answered("e0", wire.Clock{}, time.Now().Add(time.Minute), load.Report{Seq: 1})
		g.Expect(*calls).To(BeZero(), "a single connection may break without a restart of the process")
		tracker.Failed("e0", "", true)
		tracker.Failed("e0", "", true)
		tracker.Answered("e0", wire.Clock{}, time.Now().Add(c.sent), load.Report{Seq: 2})
		g.Expect(*calls).To(Equal(c.wantCalls), name)
	}
}

// A health check itself reports whether the process is cold.
func TestOnReturningIsNotCalledAfterPassedHealthCheck(t *testing.T) {
	g := NewWithT(t)
	tracker, calls := newReturningTracker()
	tracker.Failed("e0", "", true)
	tracker.Failed("e0", "", true)
	tracker.handleStatus(AgentStatus{Endpoint: "e0", Seq: 1, Via: ReasonCheck})
	g.Expect(*calls).To(BeZero())
}
