package poison

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// withParts returns a request whose content no other one has.
func (f *testFleet) withParts(parts ...uint64) Request {
	f.requests++
	return Request{Service: "s", Content: Identity(1<<40 + f.requests), Parts: parts}
}

// losePart advances the clock and then records the loss of a new endpoint to a request with
// the parts.
func (f *testFleet) losePart(t *Table, parts ...uint64) {
	sent := f.now
	f.now = f.now.Add(timeToLoss)
	req := f.withParts(parts...)
	t.RecordLoss(req, Loss{Endpoint: fmt.Sprint("lost", f.requests), Sent: sent, At: f.now, Early: true})
}

func TestPartIsQuarantinedAfterThreeSequentialLosses(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for i := range lossThreshold {
		g.Expect(table.Check(w.withParts(1, 7)).Refused).To(BeFalse(), "after %d", i)
		w.losePart(table, uint64(100+i), 7, uint64(200+i))
	}
	verdict := table.Check(w.withParts(1, 7))
	g.Expect(verdict.Refused).To(BeTrue())
	g.Expect(verdict.RetryAfter).To(BeNumerically(">=", 3*time.Minute))
	g.Expect(verdict.Evidence.Part).To(Equal(uint64(7)))
	g.Expect(verdict.Evidence.Endpoints).To(HaveLen(lossThreshold))
	g.Expect(table.Check(w.withParts(1, 8)).Refused).To(BeFalse())
	g.Expect(table.QuarantinedCounts()).To(Equal(Counts{Parts: 1}))
	elsewhere := w.withParts(7)
	elsewhere.Service = "other"
	g.Expect(table.Check(elsewhere).Refused).To(BeFalse(), "another service may run another model")
}

// Part 0 is no part of a prompt but the mark of a whole request.
func TestRequestsWithoutPartsShareNothing(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for range 5 {
		w.losePart(table)
		w.losePart(table, 0)
	}
	g.Expect(table.Check(w.withParts(0)).Refused).To(BeFalse())
	g.Expect(table.Check(w.withParts()).Refused).To(BeFalse())
}

func TestPartsOfStreamsThatHadBeenArrivingAreNotBlamed(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for i := range 2 * lossThreshold {
		w.now = w.now.Add(time.Second)
		table.RecordLoss(w.withParts(7), Loss{Endpoint: fmt.Sprint(i), Sent: w.now.Add(-time.Second), At: w.now, Streamed: crashDelay})
	}
	g.Expect(table.Check(w.withParts(7)).Refused).To(BeFalse())
}

func TestCompletionsClearSharedParts(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for range 4 {
		w.losePart(table, 1, 7)
		w.now = w.now.Add(time.Millisecond)
		table.RecordCompletion(w.withParts(1, 2))
	}
	g.Expect(table.Check(w.withParts(1, 2)).Refused).To(BeFalse())
	g.Expect(table.Check(w.withParts(1, 7)).Refused).To(BeTrue())
}

// A router that completes requests with a part before it hears of losses must clear them.
func TestCompletionBeforeALossIsReportedClearsIt(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	first, second := w.table("a"), w.table("b")
	w.losePart(second, 99) // its table isn't empty
	for range lossThreshold {
		w.losePart(first, 1)
	}
	w.now = w.now.Add(10 * time.Millisecond)
	second.RecordCompletion(w.withParts(1))
	second.Apply(w.now, first.UpdateFor(digestOf(second), maxChangeAge))
	g.Expect(second.Check(w.withParts(1)).Refused).To(BeFalse())
	g.Expect(first.Check(w.withParts(1)).Refused).To(BeTrue())
	first.Apply(w.now, second.UpdateFor(digestOf(first), maxChangeAge))
	g.Expect(first.Check(w.withParts(1)).Refused).To(BeFalse(), "the completion is reported back")
}

// A sound part that stood in each request that crashed an endpoint is served again within
// seconds, and the other one stays quarantined.
func TestPartsThatAlwaysCameTogetherAreSeparated(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for range 3 * lossThreshold {
		w.losePart(table, 1, 7)
	}
	g.Expect(table.Check(w.withParts(1)).Refused).To(BeTrue())
	w.now = w.now.Add(2 * separationHold)
	g.Expect(table.Check(w.withParts(1, 7)).Refused).To(BeTrue())
	g.Expect(table.Check(w.withParts(1)).Trial).To(BeTrue())
	g.Expect(table.Check(w.withParts(1)).Refused).To(BeTrue(), "one trial at a time")
	table.RecordCompletion(w.withParts(1))
	g.Expect(table.Check(w.withParts(1)).Refused).To(BeFalse())
	g.Expect(table.Check(w.withParts(7)).Refused).To(BeTrue(), "nothing else explains the losses now")
}

func TestTrialsThatSeparatePartsAreBounded(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	all := []uint64{7, 1, 2, 3, 4, 5, 6, 8, 9, 10, 11, 12}
	for range lossThreshold {
		w.losePart(table, all...)
	}
	trials := 0
	for range 60 {
		w.now = w.now.Add(2 * separationHold)
		table.RecordCompletion(w.withParts(99))
		all = all[:max(1, len(all)-1)] // always without a part that may explain the losses
		if table.Check(w.withParts(all...)).Trial {
			trials++
			w.losePart(table, all...)
		}
	}
	g.Expect(trials).To(BeNumerically("<=", maxSeparations))
}

// All requests of a service share a part, and its endpoints crash for another reason.
func TestPartOfAllRequestsIsTriedOnceItsEndpointsAreBack(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for range lossThreshold {
		w.losePart(table, 1)
	}
	for range minRefusals {
		g.Expect(table.Check(w.withParts(1)).Refused).To(BeTrue())
	}
	w.now = w.now.Add(outageHold + outageHold/staggerDivisor)
	g.Expect(table.Check(w.withParts(1)).Trial).To(BeTrue())
}

func TestPartWithEarlierCompletionsIsTriedSoon(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	w.losePart(table, 1)
	w.now = w.now.Add(time.Millisecond)
	table.RecordCompletion(w.withParts(1))
	for range lossThreshold {
		w.losePart(table, 1)
	}
	g.Expect(table.Check(w.withParts(1)).Refused).To(BeTrue())
	w.now = w.now.Add(initialHold + initialHold/staggerDivisor)
	g.Expect(table.Check(w.withParts(1)).Trial).To(BeTrue())
	w.losePart(table, 1)
	w.now = w.now.Add(initialHold + initialHold/staggerDivisor)
	g.Expect(table.Check(w.withParts(1)).Refused).To(BeTrue(), "after a failed trial")
}

// Many requests with the part run at once, so that most losses overlap.
func TestManyOverlappingLossesDoNotHideTheSequence(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	begin := w.now
	for i := range 100 {
		at := begin.Add(timeToLoss + time.Duration(i)*10*time.Millisecond)
		w.now = at
		table.RecordLoss(w.withParts(7), Loss{Endpoint: fmt.Sprint(i), Sent: at.Add(-timeToLoss), At: at, Early: true})
	}
	g.Expect(table.Check(w.withParts(7)).Refused).To(BeTrue())
}

func TestEndpointsLostToAPersistentPartPerDay(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	lost := 0
	for end := w.now.Add(24 * time.Hour); w.now.Before(end); w.now = w.now.Add(500 * time.Millisecond) {
		if !table.Check(w.withParts(7)).Refused {
			lost++
			w.losePart(table, 7)
		}
		table.RecordCompletion(w.withParts(8))
	}
	g.Expect(lost).To(BeNumerically("<=", 30))
}
