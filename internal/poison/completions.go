package poison

import "time"

const (
	// completionRetention is how long completions are remembered at least, unless there are
	// many: other routers' reports of losses before them arrive within it.
	completionRetention = 5 * time.Second
	// maxCompletions limits the completions remembered, in each of two generations, at about 40
	// bytes each.
	maxCompletions = 2048
)

// completions remembers when requests with a part last completed, for parts without a record.
// The zero value is ready to use.
type completions struct {
	recent, older map[Identity]time.Time
	begunAt       time.Time // of recent
}

// add records that a request completed.
func (c *completions) add(id Identity, now time.Time) {
	if c.recent == nil || now.Sub(c.begunAt) >= completionRetention || len(c.recent) >= maxCompletions {
		c.recent, c.older, c.begunAt = make(map[Identity]time.Time), c.recent, now
	}
	c.recent[id] = now
}

// latest returns when a request with the part last completed; zero if that isn't known.
func (c *completions) latest(id Identity) time.Time {
	if at, ok := c.recent[id]; ok {
		return at
	}
	return c.older[id]
}
