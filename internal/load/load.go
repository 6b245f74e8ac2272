// Package load holds the load report that an agent attaches to its answers.
// Routers learn load only from these reports: a separate probe for each
// request would cost a router twice its whole allowance for control traffic.
package load

// MaxTiers is the most tiers a bundle may define. Reports carry one counter a
// tier, so it also bounds the size of a report.
const MaxTiers = 8

// Report is what one agent knows of its endpoint at one moment.
// Tier ranks index the arrays; rank 0 is the highest tier.
type Report struct {
	// Seq orders the reports of one incarnation of an agent.
	Seq uint64 `json:"s"`
	// Slots is how many requests the endpoint runs at once.
	Slots int `json:"c"`
	// Queued counts the waiting requests of each tier.
	Queued [MaxTiers]int `json:"q"`
	// Running counts the running requests of each tier.
	Running [MaxTiers]int `json:"r"`
	// DrainPerSecond is the measured rate at which requests finish.
	DrainPerSecond float64 `json:"d"`
	// WorkPercent is how long work takes on the endpoint's VM at the moment of the report,
	// 100 as usual; 0 if that isn't told. It changes within fractions of a second.
	WorkPercent float64 `json:"w,omitempty"`
	// Leaving says that the agent accepts no new work.
	Leaving bool `json:"l,omitempty"`
}

// TotalQueued is the number of waiting requests of all tiers.
func (r Report) TotalQueued() int { return sum(r.Queued[:]) }

// TotalRunning is the number of running requests of all tiers.
func (r Report) TotalRunning() int { return sum(r.Running[:]) }

// QueuedAhead counts the waiting requests that are served before a new one of
// the given tier: those of its own and of all higher tiers.
func (r Report) QueuedAhead(tier int) int { return sum(r.Queued[:tier+1]) }

// Below counts the requests, waiting and running, of tiers lower than tier.
func (r Report) Below(tier int) int {
	return sum(r.Queued[tier+1:]) + sum(r.Running[tier+1:])
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
