package soak

import (
	"math/rand/v2"
	"time"
)

// HasEndlessAnswers reports whether endpoints answer some requests without an end in the runs of a
// seed: every second block of 1024000 seeds.
func HasEndlessAnswers(seed uint64) bool { return seed/1024000%2 == 1 }

// The ways to answer without an end, until the caller closes.
const (
	// FailEndlessHead sends header lines.
	FailEndlessHead FailHow = "endless_head"
	// FailEndlessInterim sends interim answers.
	FailEndlessInterim FailHow = "endless_interim"
	// FailEndlessComments sends the comments of a stream, and FailEndlessEvent one event, behind the
	// head of an answer.
	FailEndlessComments FailHow = "endless_comments"
	FailEndlessEvent    FailHow = "endless_event"
)

// endlessModes are the ways to answer without an end at full speed, and one slowly.
var endlessModes = []Failing{
	{Share: 0.5, How: FailEndlessHead},
	{Share: 0.5, How: FailEndlessInterim},
	{Share: 0.5, How: FailEndlessComments},
	{Share: 0.5, How: FailEndlessEvent},
	{Share: 0.5, How: FailEndlessComments, Pause: 100 * time.Millisecond},
	{Share: 0.5, How: FailEndlessHead, Pause: 100 * time.Millisecond},
}

// endless uses its own random source, like growth.
func endless(seed uint64, end time.Duration) []Fault {
	return failures(EndpointEndless, rand.New(rand.NewPCG(seed, 10)), end)
}
