package retry

import "time"

// Charge is a retry that was charged to a Budget. It counts as under way until one of its methods
// tells whether it arrived; later calls have no effect. A nil Charge is one of a retry that needs no
// budget. It is safe for concurrent use.
type Charge struct {
	target       *target
	tier         int
	abandonedFor time.Duration
	settled      bool // guarded by target.mu
}

// Arrived settles a retry that has arrived, or of which nothing can arrive any more.
func (c *Charge) Arrived() { c.settle((*bucket).settle) }

// NotSent settles a retry of which nothing was sent. It costs nothing.
func (c *Charge) NotSent(now time.Time) {
	c.settle(func(b *bucket) { b.refund(now, c.tier) })
}

// Abandoned settles a retry for whose answer nobody waits any more, and which may still arrive.
func (c *Charge) Abandoned(now time.Time) {
	c.settle(func(b *bucket) { b.abandon(now.Add(c.abandonedFor)) })
}

func (c *Charge) settle(how func(b *bucket)) {
	if c == nil {
		return
	}
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	if !c.settled {
		c.settled = true
		how(&c.target.bucket)
	}
}
