package balance

import (
	"time"

	"coveferry/internal/endpointrate"
)

// Default values of Config fields.
const (
	defaultFirstTokenSmoothing  = 0.2
	defaultSeqHold              = 5 * time.Second
	defaultRefuseReportMaxAge   = 5 * time.Second
	defaultLateBindingThreshold = 0.7
)

// Config configures a Pool. Zero fields take their defaults.
type Config struct {
	// Policy selects endpoints; the default is LoadAware.
	Policy Policy
	// Seed initializes the random source: pools with the same seed make the same choices for the
	// same sequence of calls.
	Seed uint64
	// FirstTokenSmoothing is the weight, from 0 to 1, of a new sample in the moving average of
	// the time to first token.
	FirstTokenSmoothing float64
	// SeqHold is how long after a report those with a lower Seq are ignored. Later, a lower Seq
	// means that the agent restarted.
	SeqHold time.Duration
	// FullReportMaxAge is the maximum age of a report that can show an endpoint to be full.
	FullReportMaxAge time.Duration
	// LateBindingThreshold is the slot utilization from which ChoosePair returns a second
	// endpoint; negative means always.
	LateBindingThreshold float64
	// RateShare returns this router's share, in requests a second, of an endpoint's rate limit
	// over all routers. If nil, the router uses the whole limit.
	RateShare func(now time.Time, b endpointrate.Bound) float64
	// OnLimit is called for each change of the rate limit that an endpoint states. It must not
	// block. It may be nil.
	OnLimit func(LimitEvent)
	// OnBackoff is called when an endpoint asks this router to back off and when it accepts
	// requests again. It must not block. It may be nil.
	OnBackoff func(BackoffEvent)
	// OnRefusals is called when an endpoint begins or ends to be distrusted for refusals that
	// contradict its load. It must not block. It may be nil.
	OnRefusals func(RefusalEvent)
	// TrustStatedLoad ignores such refusals, for comparison.
	TrustStatedLoad bool
	// OnPace is called when an endpoint's pace changes from one class to another. It must not block.
	// It may be nil.
	OnPace func(PaceEvent)
	// OnDomainEvent is called when a failure domain becomes unresponsive or responsive again. It
	// must not block. It may be nil.
	OnDomainEvent func(DomainEvent)
	// Outlier configures outlier detection.
	Outlier Outlier
}

func (c Config) withDefaults() Config {
	if c.Policy == nil {
		c.Policy = LoadAware{}
	}
	if c.FirstTokenSmoothing <= 0 {
		c.FirstTokenSmoothing = defaultFirstTokenSmoothing
	}
	if c.SeqHold <= 0 {
		c.SeqHold = defaultSeqHold
	}
	if c.FullReportMaxAge <= 0 {
		c.FullReportMaxAge = defaultRefuseReportMaxAge
	}
	if c.LateBindingThreshold == 0 {
		c.LateBindingThreshold = defaultLateBindingThreshold
	}
	if c.RateShare == nil {
		c.RateShare = func(_ time.Time, b endpointrate.Bound) float64 { return b.PerSecond }
	}
	c.Outlier = c.Outlier.withDefaults()
	return c
}
