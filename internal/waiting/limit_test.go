package waiting

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	objective = 300 * time.Millisecond
	fast      = 60 * time.Millisecond
)

// Guards against a router that holds requests back before it knows anything of the service.
func TestLimitDoesNotHoldFirstRequestsBack(t *testing.T) {
	g := NewWithT(t)
	l := NewLimit(24, 2)
	g.Expect(l.Value()).To(BeNumerically("==", 24))
	l = NewLimit(24, 880)
	g.Expect(l.Value()).To(BeNumerically("==", minInitialLimit))
}

// Guards against a limit for the endpoints and routers that were known at the start.
func TestLimitDoesNotKeepTheSlotsAndRoutersKnownAtTheStart(t *testing.T) {
	g := NewWithT(t)
	s := NewService(6, 1)
	s.Resize(96, 2)
	g.Expect(s.Limit.Value()).To(BeNumerically("==", 96))
	s.Resize(96, 12)
	g.Expect(s.Limit.Value()).To(BeNumerically("==", 16))
	s.Limit.Refused(epoch, 10)
	s.Resize(96, 2)
	g.Expect(s.Limit.Value()).To(BeNumerically("==", 7), "reduced")
	s.Limit.Restore()
	g.Expect(s.Limit.Value()).To(BeNumerically("==", 96))
}

// Guards against a limit that stays low after an overload, or grows without demand.
func TestLimitNeitherStaysLowNorGrowsWithoutDemand(t *testing.T) {
	g := NewWithT(t)
	l := NewLimit(24, 3)
	for range 16 {
		l.Served(epoch, fast, objective, false, false)
	}
	g.Expect(l.Value()).To(BeNumerically("==", 16), "without demand")
	for range 16 {
		l.Served(epoch, fast, objective, true, false)
	}
	g.Expect(l.Value()).To(BeNumerically("~", 17, 0.1))
}

// Guards against a collapse of the limit when many requests that were sent at once are refused.
func TestLimitDoesNotCollapseOnRefusalsOfOneRoundTrip(t *testing.T) {
	g := NewWithT(t)
	l := NewLimit(50, 1)
	l.Served(epoch, fast, objective, true, false)
	before := l.Value()
	for range 50 {
		l.Refused(epoch.Add(time.Second), 100)
	}
	g.Expect(l.Value()).To(BeNumerically("~", before*refusedFactor, 1))
	l.Refused(epoch.Add(time.Second+fast), 60)
	g.Expect(l.Value()).To(BeNumerically("~", 60*refusedFactor, 1), "from what was in flight")
}

// Guards against a router that stops sending and therefore never learns that there is room.
func TestLimitNeverFallsBelowOneRequestAndItsSpacingIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := NewLimit(24, 103)
	l.Served(epoch, fast, objective, true, false)
	for i := range 100 {
		l.Refused(epoch.Add(time.Duration(i)*time.Second), 1)
	}
	g.Expect(l.Value()).To(BeNumerically("==", 1))
	g.Expect(l.Spacing()).To(BeNumerically("==", 8*fast))
	for range 4 {
		l.Served(epoch.Add(time.Hour), fast, objective, true, false)
	}
	g.Expect(l.Spacing()).To(BeZero())
}

// Guards against filling the queues of endpoints with requests that are answered late there.
func TestLateAnswersShrinkTheLimitOnlyIfRequestsQueueAtEndpoints(t *testing.T) {
	g := NewWithT(t)
	l := NewLimit(50, 1)
	l.Served(epoch, 2*objective, objective, true, false)
	g.Expect(l.Value()).To(BeNumerically(">=", 100))
	l.Served(epoch.Add(time.Second), 2*objective, objective, true, true)
	g.Expect(l.Value()).To(BeNumerically("~", 90, 1))
}

// Guards against crashes of endpoints that stop a router from sending to the others.
func TestFailuresOtherThanRefusalsDoNotChangeTheLimit(t *testing.T) {
	g := NewWithT(t)
	s := NewService(24, 1)
	for range 100 {
		s.Sent(epoch)
		s.Ended(epoch, Result{Objective: objective}, Capacity{Slots: 24})
	}
	g.Expect(s.Limit.Value()).To(BeNumerically("==", 48))
	g.Expect(s.Inflight).To(BeZero())
}

// Guards against a limit that an overload reduced and that holds requests of an idle service back.
func TestReducedLimitNoLongerHoldsOnceNothingWaits(t *testing.T) {
	g := NewWithT(t)
	s := NewService(24, 3)
	for i := range 20 {
		s.Limit.Refused(epoch.Add(time.Duration(i)*time.Second), 1)
	}
	now := epoch.Add(time.Minute)
	for range 16 {
		g.Expect(s.Assess(now, Need{}, Capacity{Slots: 24}).MustWait).To(BeFalse())
		s.Sent(now)
	}
	need := Need{Order: Order{Deadline: now.Add(time.Second)}}
	g.Expect(s.Assess(now, need, Capacity{Slots: 24}).MustWait).To(BeFalse(), "no endpoint lacks capacity")
	g.Expect(s.Assess(now, need, Capacity{Slots: 24, Free: 1, Queued: true, Reported: true}).MustWait).To(BeFalse())
	g.Expect(s.Assess(now, need, Capacity{Slots: 24}).MustWait).To(BeTrue())
	g.Expect(s.Assess(now, need, Capacity{Slots: 24, Free: 1}).MustWait).To(BeFalse(), "while an endpoint has a free slot")
	g.Expect(s.Assess(now, need, Capacity{}).MustWait).To(BeFalse(), "without stated slots")
	g.Expect(s.Assess(now.Add(shortageMemory), need, Capacity{Slots: 24}).MustWait).To(BeFalse(), "long after the shortage")
}
