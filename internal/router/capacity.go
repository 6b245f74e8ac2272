package router

import (
	"io"

	"golang.org/x/sync/semaphore"
)

// answerShare is the part of the memory for bodies that buffered answers may take.
const answerShare = 0.5

// capacity bounds the open requests and the memory of their bodies.
type capacity struct {
	requests *semaphore.Weighted
	// bodies is the memory for bodies, and answers that for long answers that are buffered, which is
	// a part of it.
	bodies, answers []*semaphore.Weighted
}

func newCapacity(maxOpen, maxBytes int64) *capacity {
	bodyBytes := semaphore.NewWeighted(maxBytes)
	answerBytes := semaphore.NewWeighted(int64(answerShare * float64(maxBytes)))
	return &capacity{
		requests: semaphore.NewWeighted(maxOpen),
		bodies:   []*semaphore.Weighted{bodyBytes}, answers: []*semaphore.Weighted{answerBytes, bodyBytes},
	}
}

func (c *capacity) acquire() error {
	if !c.requests.TryAcquire(1) {
		return capacityExceeded("requests")
	}
	return nil
}

func (c *capacity) release() { c.requests.Release(1) }

// budget is the memory that a request's body or answer holds, which counts in each of the pools.
type budget struct {
	pools    []*semaphore.Weighted
	reserved int64
}

// reserve grows the budget to the given total and reports whether there is room.
func (b *budget) reserve(total int64) bool {
	additional := total - b.reserved
	if additional <= 0 {
		return true
	}
	for i, pool := range b.pools {
		if !pool.TryAcquire(additional) {
			releaseAll(b.pools[:i], additional)
			return false
		}
	}
	b.reserved = total
	return true
}

func (b *budget) release() {
	releaseAll(b.pools, b.reserved)
	b.reserved = 0
}

func releaseAll(pools []*semaphore.Weighted, n int64) {
	for _, pool := range pools {
		pool.Release(n)
	}
}

// reader grows the budget as the body arrives: a slow caller's body occupies
// memory long before it is complete.
func (b *budget) reader(body io.Reader) io.Reader { return &countedBody{budget: b, body: body} }

type countedBody struct {
	budget *budget
	body   io.Reader
	read   int64
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	c.read += int64(n)
	if !c.budget.reserve(c.read) {
		return n, capacityExceeded("bodies")
	}
	return n, err
}
