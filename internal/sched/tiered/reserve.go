package tiered

import (
	"math"
	"time"
)

// perMille is the scale of reserve.share.
const perMille = 1000

// reserve accounts for the slot time of jobs started out of order to prevent
// starvation. It earns a share of all busy slot time, spends what its own jobs
// use, and doesn't accumulate a positive balance. Over any time it therefore
// uses at most its share plus one run for each of its slots.
type reserve struct {
	share int64 // per mille of slot time
	// slots is the number of reserve jobs that may run concurrently.
	slots   int
	running int
	// balance is in per mille of slot microseconds and never positive.
	balance int64
	last    int64 // Unix microseconds
}

func newReserve(share float64, slots int) reserve {
	thousandths := max(1, int64(math.Round(share*perMille)))
	return reserve{
		share: thousandths,
		slots: max(1, int(thousandths)*slots/perMille),
	}
}

// advance accounts for the time since the previous call; busy is the number of
// slots in use during that time.
func (r *reserve) advance(now time.Time, busy int) {
	micros := now.UnixMicro()
	elapsed := micros - r.last
	if elapsed <= 0 {
		return
	}
	first := r.last == 0
	r.last = micros
	if first {
		return
	}
	earned := r.share * int64(busy) * elapsed
	spent := perMille * int64(r.running) * elapsed
	r.balance = min(0, r.balance+earned-spent)
}

// available reports whether the reserve may start a job.
func (r *reserve) available() bool { return r.balance >= 0 && r.running < r.slots }

// nextReserved returns the oldest job of the class that has waited longest for
// service, or nil if the reserve may not start one. Slots freed by preemption
// are earmarked for the tier that preempted and not used by the reserve.
func (s *Scheduler) nextReserved(now time.Time, free int) *item {
	if s.cfg.Disabled.Earmark {
		free += s.earmarked
	}
	if s.cfg.Disabled.Reserve || free <= s.earmarked || !s.reserve.available() {
		return nil
	}
	var longestUnserved *class
	var oldest *item
	for _, c := range s.classList {
		if !c.unserved || now.Sub(c.unservedSince) < s.cfg.ReserveAfter {
			continue
		}
		if longestUnserved != nil && longestUnserved.serviceOrder < c.serviceOrder {
			continue
		}
		if it := s.oldest(c); it != nil {
			longestUnserved, oldest = c, it
		}
	}
	return oldest
}
