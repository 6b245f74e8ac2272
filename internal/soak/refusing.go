package soak

import (
	"math/rand/v2"
	"time"
)

// HasRefusingEndpoints reports whether endpoints refuse requests against their stated load in the runs
// of a seed: every second block of 2048000 seeds.
func HasRefusingEndpoints(seed uint64) bool { return seed/2048000%2 == 1 }

// EndpointRefusing has an endpoint refuse requests as not run while it states free slots. Only seeds
// with refusing endpoints have it.
const EndpointRefusing Kind = "endpoint_refusing"

// FailRefusing refuses a request before it is run, with a load that leaves room.
const FailRefusing FailHow = "refuse"

// RefusalBackoff is recorded for such a refusal, which counts as an arrival but asks for no time
// without requests.
const RefusalBackoff = time.Nanosecond

// refusingModes are the shares of requests that are refused.
var refusingModes = []Failing{
	{Share: 1, How: FailRefusing},
	{Share: 0.5, How: FailRefusing},
}

// refusing uses its own random source, like growth.
func refusing(seed uint64, end time.Duration) []Fault {
	return failures(EndpointRefusing, rand.New(rand.NewPCG(seed, 11)), end)
}
