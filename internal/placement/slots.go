package placement

import "time"

// TimeSlots divides time among agents without communication: slots rotate
// through all agents, and each agent acts only in the middle of its own slot.
// This holds no matter when an agent received the bundle and how often it
// retries. Two agents stay apart as long as their clocks differ by less than
// half an interval.
type TimeSlots struct {
	Interval time.Duration // must be positive
	Rank     int           // of this agent, from 0
	Count    int           // number of agents, at least 1
}

// Next returns the middle of the agent's next slot, not before now.
func (t TimeSlots) Next(now time.Time) time.Time {
	round := t.Interval * time.Duration(t.Count)
	at := now.Truncate(round).Add(t.Interval*time.Duration(t.Rank) + t.Interval/2)
	if at.Before(now) {
		at = at.Add(round)
	}
	return at
}
