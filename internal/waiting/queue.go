package waiting

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxWaiting bounds the requests in one queue.
	MaxWaiting = 5000
	// MaxWaitingBytes bounds the bodies of the requests in one queue. The smallest routers have
	// 144 MB for everything.
	MaxWaitingBytes = 16 << 20
)

// Order determines which request is sent first. A lower tier number, then a lower kind, then a
// returned request, then an earlier deadline goes first.
type Order struct {
	Tier int
	// Kind is the rank of the route among those of the tier.
	Kind int
	// Returned says that the request was refused before and came back when it was told to.
	Returned bool
	Deadline time.Time
}

// Compare is negative if the request goes before the other one.
func (o Order) Compare(p Order) int {
	return cmp.Or(cmp.Compare(o.Tier, p.Tier), cmp.Compare(o.Kind, p.Kind),
		cmp.Compare(rankReturned(o), rankReturned(p)), o.Deadline.Compare(p.Deadline))
}

func rankReturned(o Order) int {
	if o.Returned {
		return 0
	}
	return 1
}

// Item is a request in a queue.
type Item struct {
	Order Order
	// LatestStart is when the request must be sent to be answered before its deadline.
	LatestStart time.Time
	// Bytes is the size of the request's body.
	Bytes int
	// Value belongs to the caller of this package.
	Value any

	seq uint64 // number of arrival; 0 while the item isn't in a queue
}

func (i *Item) compare(o *Item) int {
	return cmp.Or(i.Order.Compare(o.Order), cmp.Compare(i.seq, o.seq))
}

// Queue is an ordered, bounded queue. It isn't safe for concurrent use.
type Queue struct {
	items []*Item // first to be sent first
	bytes int
	seq   uint64
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Position returns how many of the waiting requests would go before a new one.
func (q *Queue) Position(o Order) int {
	at, _ := slices.BinarySearchFunc(q.items, o, func(i *Item, o Order) int {
		return cmp.Or(i.Order.Compare(o), -1) // equal ones that came earlier go first
	})
	return at
}

// Push adds an item and returns those that it evicts, the last in order first. It evicts only items
// that come after the new one. If that isn't enough, it returns the new item alone.
func (q *Queue) Push(i *Item) (evicted []*Item) {
	at := q.Position(i.Order)
	kept, bytes := len(q.items), q.bytes+i.Bytes
	for kept > at && (kept >= MaxWaiting || bytes > MaxWaitingBytes) {
		kept--
		bytes -= q.items[kept].Bytes
	}
	if kept >= MaxWaiting || bytes > MaxWaitingBytes {
		return []*Item{i}
	}
	for len(q.items) > kept {
		last := q.items[len(q.items)-1]
		q.Remove(last)
		evicted = append(evicted, last)
	}
	q.seq++
	i.seq = q.seq
	q.items = slices.Insert(q.items, at, i)
	q.bytes += i.Bytes
	return evicted
}

// Pop removes and returns the first item, or nil.
func (q *Queue) Pop() *Item {
	if len(q.items) == 0 {
		return nil
	}
	first := q.items[0]
	q.Remove(first)
	return first
}

// Remove removes an item and reports whether it was in the queue.
func (q *Queue) Remove(i *Item) bool {
	if i.seq == 0 {
		return false
	}
	at, found := slices.BinarySearchFunc(q.items, i, (*Item).compare)
	if !found {
		return false
	}
	q.bytes -= i.Bytes
	i.seq = 0
	if at == 0 {
		q.items[0] = nil
		q.items = q.items[1:]
	} else {
		q.items = slices.Delete(q.items, at, at+1)
	}
	if len(q.items) == 0 {
		q.items = nil // frees the memory of a long queue
	}
	return true
}
