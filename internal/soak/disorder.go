package soak

import (
	"math/rand/v2"
	"time"
)

// HasDisorder reports whether endpoints send the events of some streams out of order, and end others
// early, in the runs of a seed: every second block of 4096000 seeds. Half of the answers then end with
// their connections, which the kernel closes in order when an endpoint is killed, and callers resume
// streams.
func HasDisorder(seed uint64) bool { return seed/4096000%2 == 1 }

// EndpointDisorder has an endpoint send the events of a share of its streams out of order. Only seeds
// with disorder have it.
const EndpointDisorder Kind = "endpoint_disorder"

// The ways to send the events of a stream out of order.
const (
	// FailBeginAgain begins with the first event whatever the caller has.
	FailBeginAgain FailHow = "begin_again"
	// FailRepeat begins with the last event that the caller has, or sends an event twice.
	FailRepeat FailHow = "repeat"
	// FailSkip leaves out the event after the last that the caller has. Gaps within a run are faults only
	// for routers that know the service, and an event left out at the end is one for none.
	FailSkip FailHow = "skip"
	// FailGoBack goes some events back in the middle.
	FailGoBack FailHow = "go_back"
	// FailBreakOff breaks the stream off after some events, so that it goes on elsewhere.
	FailBreakOff FailHow = "break_off"
)

var disorderModes = []Failing{
	{Share: 1, How: FailBeginAgain},
	{Share: 0.5, How: FailBreakOff},
	{Share: 0.5, How: FailRepeat},
	{Share: 0.7, How: FailSkip},
	{Share: 0.5, How: FailGoBack},
	{Share: 0.7, How: FailBreakOff},
}

// disorder uses its own random source, like growth.
func disorder(seed uint64, end time.Duration) []Fault {
	return failures(EndpointDisorder, rand.New(rand.NewPCG(seed, 12)), end)
}
