package tiered

import (
	"time"

	"coveferry/internal/sched"
)

var _ sched.Resizer = (*Scheduler)(nil)

// Resize changes the bounds. Running jobs beyond the new number of slots
// continue; waiting jobs beyond the new limits stay until they start or are
// displaced.
func (s *Scheduler) Resize(now time.Time, b sched.Bounds) {
	s.advance(now)
	s.cfg.Slots, s.cfg.QueueEntries, s.cfg.QueueBytes = b.Slots, b.QueueEntries, b.QueueBytes
	s.reserve.slots = newReserve(s.cfg.ReserveShare, b.Slots).slots
}
