package router

import (
	"io"

	"golang.org/x/sync/semaphore"
)

// answerShare is the part of the memory for bodies that buffered answers may take.
const answerShare = 0.5

// capacity bounds the open requests and the memory of their bodies. bodyBytes includes answerBytes,
// the memory of long answers that are buffered.
type capacity struct {
	requests    *semaphore.Weighted
	bodyBytes   *semaphore.Weighted
	answerBytes *semaphore.Weighted
}

func newCapacity(maxOpen, maxBytes int64) *capacity {
	return &capacity{
		requests: semaphore.NewWeighted(maxOpen), bodyBytes: semaphore.NewWeighted(maxBytes),
		answerBytes: semaphore.NewWeighted(int64(answerShare * float64(maxBytes))),
	}
}

func (c *capacity) acquire() error {
	if !c.requests.TryAcquire(1) {
		return capacityExceeded("requests")
	}
	return nil
}

func (c *capacity) release() { c.requests.Release(1) }

// answerBudget is the part of capacity.answerBytes that one request's answer holds.
type answerBudget struct {
	capacity *capacity
	reserved int64
}

// reserve grows the budget to the given total and reports whether there is room.
func (b *answerBudget) reserve(total int64) bool {
	additional := total - b.reserved
	if additional <= 0 {
		return true
	}
	if !b.capacity.answerBytes.TryAcquire(additional) {
		return false
	}
	if !b.capacity.bodyBytes.TryAcquire(additional) {
		b.capacity.answerBytes.Release(additional)
		return false
	}
	b.reserved = total
	return true
}

func (b *answerBudget) release() {
	b.capacity.answerBytes.Release(b.reserved)
	b.capacity.bodyBytes.Release(b.reserved)
	b.reserved = 0
}

// bodyBudget is the part of capacity.bodyBytes that one request's body holds.
type bodyBudget struct {
	capacity *capacity
	reserved int64
}

// reserve grows the budget to the given total.
func (b *bodyBudget) reserve(total int64) error {
	additional := total - b.reserved
	if additional <= 0 {
		return nil
	}
	if !b.capacity.bodyBytes.TryAcquire(additional) {
		return capacityExceeded("bodies")
	}
	b.reserved = total
	return nil
}

func (b *bodyBudget) release() {
	b.capacity.bodyBytes.Release(b.reserved)
	b.reserved = 0
}

// reader grows the budget as the body arrives: a slow caller's body occupies
// memory long before it is complete.
func (b *bodyBudget) reader(body io.Reader) io.Reader { return &countedBody{budget: b, body: body} }

type countedBody struct {
	budget *bodyBudget
	body   io.Reader
	read   int64
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	c.read += int64(n)
	if capacityErr := c.budget.reserve(c.read); capacityErr != nil {
		return n, capacityErr
	}
	return n, err
}
