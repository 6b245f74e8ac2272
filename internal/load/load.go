// Package load defines the load report that agents attach to their answers. Routers learn the
// load only from these reports: a separate probe per request would cost a router twice its
// budget for control traffic.
package load

// MaxTiers is the maximum number of tiers in a bundle. Reports contain one counter per tier, so
// it also bounds their size.
const MaxTiers = 8

// Report is the load of an agent's endpoint at one moment. The arrays are indexed by tier; 0 is
// the highest.
type Report struct {
	// Seq orders the reports of one incarnation of an agent.
	Seq uint64 `json:"s"`
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int `json:"c"`
	// Queued counts the waiting requests of each tier.
	Queued [MaxTiers]int `json:"q"`
	// Running counts the running requests of each tier.
	Running [MaxTiers]int `json:"r"`
	// DrainPerSecond is the measured rate at which requests finish.
	DrainPerSecond float64 `json:"d"`
	// WorkPercent is how long work takes on the endpoint's VM now, in percent of the usual
	// time; 0 if unknown. It changes within fractions of a second.
	WorkPercent float64 `json:"w,omitempty"`
	// Leaving says that the agent accepts no new work.
	Leaving bool `json:"l,omitempty"`
}

// TotalQueued returns the number of waiting requests of all tiers.
func (r Report) TotalQueued() int { return sum(r.Queued[:]) }

// TotalRunning returns the number of running requests of all tiers.
func (r Report) TotalRunning() int { return sum(r.Running[:]) }

// QueuedAhead counts the waiting requests that are served before a new one of the given tier:
// those of its own and of all higher tiers.
func (r Report) QueuedAhead(tier int) int { return sum(r.Queued[:tier+1]) }

// CountBelow counts the waiting and running requests of tiers lower than the given one.
func (r Report) CountBelow(tier int) int {
	return sum(r.Queued[tier+1:]) + sum(r.Running[tier+1:])
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
