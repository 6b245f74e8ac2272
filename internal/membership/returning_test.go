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

// The story: while the store was away an endpoint ended and another process took its name and
// address. Routers found their connections refused, and then a good health check, and sent it
// what they had for any other; it was cold, and got 15 requests in a second of 12 that it bore.
// The evidence: the soak's seed 1034, whose routers heard of the restart seven seconds later.
func TestAnEndpointThatReturnsAfterRefusedConnectionsIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		sent bool
		told int
	}{"refused": {false, 1}, "broken": {true, 0}} {
		g := NewWithT(t)
		tracker := NewTracker(Config{Pool: balance.NewPool(balance.Config{}), Log: zerolog.Nop()})
		told := 0
		tracker.OnReturning(func(endpoint string) {
			g.Expect(endpoint).To(Equal("e0"))
			told++
		})
		tracker.Learn(bundleOf(2))
		tracker.Failed("e0", "", c.sent)
		tracker.Failed("e0", "", c.sent)
		tracker.Answered("e0", wire.Clock{}, time.Time{}, load.Report{Seq: uint64(time.Now().UnixNano())})
		g.Expect(told).To(Equal(c.told), name)
		tracker.Answered("e0", wire.Clock{}, time.Time{}, load.Report{Seq: uint64(time.Now().UnixNano())})
		g.Expect(told).To(Equal(c.told), "%s, once", name)
	}
}

// newReturningTracker is a tracker of two endpoints, and the number of those that it told return
// as what may be another process.
func newReturningTracker() (*Tracker, *int) {
	tracker := NewTracker(Config{Pool: balance.NewPool(balance.Config{}), Log: zerolog.Nop()})
	told := 0
	tracker.OnReturning(func(string) { told++ })
	tracker.Learn(bundleOf(2))
	return tracker, &told
}

// The story: an endpoint's process ended behind a proxy that takes connections and resets them,
// and another one took its name. A request that found no other endpoint was the first that it
// answered, before any health check: all routers took it for the old one and sent it 13 to 17
// requests in a second of 12 that it bore while cold. The evidence: the soak's seed 3010.
func TestAnEndpointThatAnswersARequestSentAfterConnectionsBrokeIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		sent time.Duration // after the connections broke
		told int
	}{"sent before": {-time.Second, 0}, "sent since": {time.Minute, 1}} {
		g := NewWithT(t)
		tracker, told := newReturningTracker()
		tracker.Failed("e0", "", true)
		tracker.Answered("e0", wire.Clock{}, time.Now().Add(time.Minute), load.Report{Seq: 1})
		g.Expect(*told).To(BeZero(), "one connection may break at a process that lives on")
		tracker.Failed("e0", "", true)
		tracker.Failed("e0", "", true)
		tracker.Answered("e0", wire.Clock{}, time.Now().Add(c.sent), load.Report{Seq: 2})
		g.Expect(*told).To(Equal(c.told), name)
	}
}

// A health check tells for itself whether the process is cold.
func TestAnEndpointThatAnswersAHealthCheckAfterConnectionsBrokeIsNotTold(t *testing.T) {
	g := NewWithT(t)
	tracker, told := newReturningTracker()
	tracker.Failed("e0", "", true)
	tracker.Failed("e0", "", true)
	tracker.checked("e0", wire.Clock{}, load.Report{Seq: 1})
	g.Expect(*told).To(BeZero())
}
