package balance

import (
	"time"

	"coveferry/internal/endpointrate"
)

// Defaults of a Config.
const (
	defaultFirstTokenShare = 0.2
	defaultSeqHold         = 5 * time.Second
	defaultRefuseAge       = 5 * time.Second
	defaultSecondAbove     = 0.7
)

// Config sets up a Pool. The zero value is usable: every field that is zero
// takes its default.
type Config struct {
	// Policy chooses among the views; the default is LoadAware.
	Policy Policy
	// Seed starts the random source: pools with the same seed that are asked
	// the same questions give the same answers.
	Seed uint64
	// FirstTokenShare is the weight, from 0 to 1, of a new sample in the
	// smoothed time to the first token.
	FirstTokenShare float64
	// SeqHold is how long a report keeps out those with a lower Seq. After
	// it a lower Seq means that the agent was restarted.
	SeqHold time.Duration
	// RefuseAge is the age up to which a report can prove that an endpoint
	// has no room.
	RefuseAge time.Duration
	// SecondAbove is the part of an endpoint's slots from which ChoosePair
	// names a second endpoint; negative means always.
	SecondAbove float64
	// Part is this router's part, in requests a second, of what an endpoint takes from all
	// routers; nil is all of it.
	Part func(now time.Time, b endpointrate.Bound) float64
	// OnLimit takes each change of a limit that an endpoint names; nil for nobody. It must
	// not wait.
	OnLimit func(LimitEvent)
	// OnSilentDomain takes each failure domain that falls silent or no longer is; nil for
	// nobody. It must not wait.
	OnSilentDomain func(SilentDomain)
	// Outlier sets up the shedding of slow and failing endpoints.
	Outlier Outlier
}

func (c Config) withDefaults() Config {
	if c.Policy == nil {
		c.Policy = LoadAware{}
	}
	if c.FirstTokenShare <= 0 {
		c.FirstTokenShare = defaultFirstTokenShare
	}
	if c.SeqHold <= 0 {
		c.SeqHold = defaultSeqHold
	}
	if c.RefuseAge <= 0 {
		c.RefuseAge = defaultRefuseAge
	}
	if c.SecondAbove == 0 {
		c.SecondAbove = defaultSecondAbove
	}
	if c.Part == nil {
		c.Part = func(_ time.Time, b endpointrate.Bound) float64 { return b.PerSecond }
	}
	c.Outlier = c.Outlier.withDefaults()
	return c
}
