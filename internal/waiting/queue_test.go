package waiting

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func randomItem(rnd *rand.Rand) *Item {
	return &Item{Order: Order{
		Tier: rnd.IntN(3), Kind: rnd.IntN(2), Returned: rnd.IntN(2) == 0,
		Deadline: epoch.Add(time.Duration(rnd.IntN(20)) * time.Second),
	}}
}

// Compares the queue with a naive reference that sorts a list: tier, kind, returned, deadline,
// arrival.
func TestQueueKeepsTheOrder(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	var q Queue
	var naive []*Item
	for range 3000 {
		switch i := randomItem(rnd); {
		case rnd.IntN(3) > 0:
			ahead := 0
			for _, other := range naive {
				if other.Order.Compare(i.Order) <= 0 {
					ahead++
				}
			}
			g.Expect(q.Position(i.Order)).To(Equal(ahead))
			g.Expect(q.Push(i)).To(BeEmpty())
			naive = append(naive, i)
			slices.SortStableFunc(naive, func(a, b *Item) int { return a.Order.Compare(b.Order) })
		case len(naive) == 0:
			g.Expect(q.Pop()).To(BeNil())
		case rnd.IntN(2) == 0:
			g.Expect(q.Pop()).To(BeIdenticalTo(naive[0]))
			naive = naive[1:]
		default:
			at := rnd.IntN(len(naive))
			g.Expect(q.Remove(naive[at])).To(BeTrue())
			g.Expect(q.Remove(naive[at])).To(BeFalse())
			naive = slices.Delete(naive, at, at+1)
		}
		g.Expect(q.Len()).To(Equal(len(naive)))
	}
}

// Guards against a queue that grows without bound, and against urgent requests that are refused
// while others keep their place.
func TestFullQueueDoesNotRefuseUrgentRequestsBeforeOthers(t *testing.T) {
	g := NewWithT(t)
	var q Queue
	push := func(tier int, deadline time.Duration, bytes int) []*Item {
		return q.Push(&Item{Order: Order{Tier: tier, Deadline: epoch.Add(deadline)}, Bytes: bytes})
	}
	for i := range MaxWaiting {
		g.Expect(push(1+i%2, time.Duration(i), 0)).To(BeEmpty())
	}
	evicted := push(0, time.Hour, 0)
	g.Expect(evicted).To(HaveLen(1))
	g.Expect(evicted[0].Order).To(Equal(Order{Tier: 2, Deadline: epoch.Add(MaxWaiting - 1)}))
	own := push(2, time.Hour, 0)
	g.Expect(own[0].Order.Deadline).To(Equal(epoch.Add(time.Hour)), "itself")
	g.Expect(q.Len()).To(Equal(MaxWaiting))
	g.Expect(len(push(0, 0, MaxWaitingBytes))).To(Equal(1), "all bytes are in use")
	g.Expect(q.bytes).To(Equal(MaxWaitingBytes))
	own = push(0, 1, 1)
	g.Expect(own).To(HaveLen(1), "all bytes are in use by a request that goes before it")
	g.Expect(own[0].Order.Deadline).To(Equal(epoch.Add(1)), "itself")
	g.Expect(q.bytes).To(Equal(MaxWaitingBytes))
	g.Expect(q.Len()).To(Equal(MaxWaiting))
}

// Guards against a large request that empties the queue and then doesn't fit either, and against
// evicting requests that go before the new one.
func TestLargeRequestEvictsOnlyRequestsAfterItAndOnlyIfItThenFits(t *testing.T) {
	g := NewWithT(t)
	var q Queue
	item := func(tier, bytes int) *Item { return &Item{Order: Order{Tier: tier}, Bytes: bytes} }
	const half = MaxWaitingBytes / 2
	first, last := item(0, half), item(2, half)
	g.Expect(q.Push(first)).To(BeEmpty())
	g.Expect(q.Push(last)).To(BeEmpty())
	tooLarge := item(0, MaxWaitingBytes+1)
	g.Expect(q.Push(tooLarge)).To(Equal([]*Item{tooLarge}))
	g.Expect(q.Remove(tooLarge)).To(BeFalse())
	noRoom := item(1, half+1)
	g.Expect(q.Push(noRoom)).To(Equal([]*Item{noRoom}))
	g.Expect(q.Remove(noRoom)).To(BeFalse())
	g.Expect(q.Len()).To(Equal(2))
	fits := item(1, half)
	g.Expect(q.Push(fits)).To(Equal([]*Item{last}))
	g.Expect(q.items).To(Equal([]*Item{first, fits}))
	g.Expect(q.bytes).To(Equal(MaxWaitingBytes))
}
