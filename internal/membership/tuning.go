package membership

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tuning holds Core's parameters. A zero field stands for its value in
// DefaultTuning.
type Tuning struct {
	// MaxRemovedShare is the share of the endpoints whose VM has ever been listed that
	// may become gone by removal from the list alone; at least one always may.
	MaxRemovedShare float64
	// ListStaleAfter is the age beyond which a list is stale: a new incarnation then
	// overrides its entry for a leaving VM.
	ListStaleAfter time.Duration
	// BrokenLimit is the number of consecutive broken connections that make an
	// endpoint suspect. A single refused connection does so too.
	BrokenLimit int
	// UnresponsiveHold is how long an endpoint stays suspect after the last
	// Unresponsive event. It must be longer than the time between two of these events.
	UnresponsiveHold time.Duration
	// ProbeMin and ProbeMax bound the time between two probes of an endpoint, which
	// doubles after each probe. ProbeLeavingDelay is the first interval for a leaving
	// endpoint.
	ProbeMin, ProbeMax, ProbeLeavingDelay time.Duration
	// ProbeMaxUnresponsive replaces ProbeMax for an unresponsive endpoint.
	ProbeMaxUnresponsive time.Duration
	// ProbeBatch bounds the probes that Core.Probes returns at once.
	ProbeBatch int
	// Seed varies the jitter of probes between routers.
	Seed uint64
}

// DefaultTuning returns the defaults.
func DefaultTuning() Tuning {
	return Tuning{
		MaxRemovedShare:      0.25,
		ListStaleAfter:       30 * time.Second,
		BrokenLimit:          2,
		UnresponsiveHold:     time.Second,
		ProbeMin:             500 * time.Millisecond,
		ProbeMax:             30 * time.Second,
		ProbeLeavingDelay:    5 * time.Second,
		ProbeMaxUnresponsive: time.Second,
		ProbeBatch:           2,
	}
}

func (t Tuning) withDefaults() Tuning {
	d := DefaultTuning()
	return Tuning{
		MaxRemovedShare:      cmp.Or(t.MaxRemovedShare, d.MaxRemovedShare),
		ListStaleAfter:       cmp.Or(t.ListStaleAfter, d.ListStaleAfter),
		BrokenLimit:          cmp.Or(t.BrokenLimit, d.BrokenLimit),
		UnresponsiveHold:     cmp.Or(t.UnresponsiveHold, d.UnresponsiveHold),
		ProbeMin:             cmp.Or(t.ProbeMin, d.ProbeMin),
		ProbeMax:             cmp.Or(t.ProbeMax, d.ProbeMax),
		ProbeLeavingDelay:    cmp.Or(t.ProbeLeavingDelay, d.ProbeLeavingDelay),
		ProbeMaxUnresponsive: cmp.Or(t.ProbeMaxUnresponsive, d.ProbeMaxUnresponsive),
		ProbeBatch:           cmp.Or(t.ProbeBatch, d.ProbeBatch),
		Seed:                 t.Seed,
	}
}

// SeedOf returns a Seed derived from a router's name.
func SeedOf(router string) uint64 { return xxhash.Sum64String(router) }
