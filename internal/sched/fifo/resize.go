package fifo

import (
	"time"

	"coveferry/internal/sched"
)

var _ sched.Resizer = (*Scheduler)(nil)

// Resize changes the bounds. Jobs that already run or wait beyond the new
// bounds are kept.
func (s *Scheduler) Resize(now time.Time, b sched.Bounds) {
	s.meter.Advance(now, s.running)
	s.cfg.Slots, s.cfg.QueueEntries, s.cfg.QueueBytes = b.Slots, b.QueueEntries, b.QueueBytes
}
