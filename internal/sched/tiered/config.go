package tiered

import "time"

// Defaults of a Config.
const (
	DefaultReserveShare   = 0.02
	DefaultReserveAfter   = time.Second
	DefaultMaxPreemptions = 10
)

// Config holds the endpoint's concurrency, the limits of its queue and the
// policy's options.
type Config struct {
	// Slots is the number of jobs that run concurrently.
	Slots int
	// QueueEntries and QueueBytes limit the waiting jobs; 0 means unlimited.
	// Each class's oldest unstarted job and preempted jobs don't count.
	QueueEntries int
	QueueBytes   int
	// Preempt lets a job preempt a preemptible job of a lower tier.
	Preempt bool
	// MaxPreemptions limits how often one job is preempted; 0 means
	// DefaultMaxPreemptions.
	MaxPreemptions int
	// ReserveShare is the share of slot time, at most 1, reserved for jobs
	// started out of order to prevent starvation of a class. It is rounded to
	// thousandths, at least one; 0 means DefaultReserveShare.
	ReserveShare float64
	// ReserveAfter is how long a class must go without service before the
	// reserve may start its oldest job; 0 means DefaultReserveAfter.
	ReserveAfter time.Duration
	// RefuseLateFirstToken also refuses a job that is expected to miss its
	// first-token target but not its deadline.
	RefuseLateFirstToken bool
	// Disabled turns off single mechanisms. It is for tests only.
	Disabled Mechanisms
}

// Mechanisms lists mechanisms to turn off, so that tests can show that each of
// them is effective. Setting a field turns that mechanism off; the field's
// comment states the resulting behaviour. Don't set any in production.
type Mechanisms struct {
	Fairness           bool // charge no tokens
	CounterLift        bool // let an idle team save up service
	StartCharge        bool // charge nothing when a job starts
	Reserve            bool // never start a job out of order
	OldestProtection   bool // count each class's oldest job towards the queue's limits
	Displacement       bool // refuse a job instead of displacing a lower tier's
	EarlyRefusal       bool // admit jobs that can't be served in time
	LateDrop           bool // keep a job until its deadline has passed
	Expiry             bool // keep a job beyond its deadline, too
	PreemptionBenefit  bool // preempt even if that doesn't save a first-token target
	ReservedProtection bool // preempt jobs that the reserve started
	Earmark            bool // let the reserve use slots freed by preemption
	PreemptionLimit    bool // ignore MaxPreemptions
	SinglePreemption   bool // allow concurrent preemptions
}

// withDefaults replaces zero fields by their defaults.
func (c Config) withDefaults() Config {
	if c.ReserveShare == 0 {
		c.ReserveShare = DefaultReserveShare
	}
	if c.ReserveAfter == 0 {
		c.ReserveAfter = DefaultReserveAfter
	}
	if c.MaxPreemptions == 0 {
		c.MaxPreemptions = DefaultMaxPreemptions
	}
	return c
}
