package retry

import (
	"fmt"
	"testing"
	"time"
)

// failuresBegin is when requests begin to fail in the simulations of this file. The calm before it
// is longer than a window, so that all of what it earns is unspent.
const failuresBegin = 15 * time.Second

func failsFromThenOn(now time.Duration) bool { return now >= failuresBegin }

// Guards against earning the retries of one window again after the process that had made them was
// killed.
func TestRoutersKilledAfterABurstOfRetriesDoNotExceedTheLimit(t *testing.T) {
	for _, after := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			for _, perSecond := range []float64{20, 500} {
				checkRetryBound(t, perSecond, func(p *fleetSimulation) {
					p.fails = failsFromThenOn
					p.restarts = func(_, step int) bool { return step == stepCount(failuresBegin+after) }
				})
			}
		})
	}
}

// Guards against pulses of requests that pay for one rush of retries together although no window of
// the operator holds both.
func TestPulsesOfRequestsDoNotExceedTheLimit(t *testing.T) {
	const length = 1500 * time.Millisecond
	for _, interval := range []time.Duration{6 * time.Second, 8 * time.Second, 9 * time.Second} {
		t.Run(interval.String(), func(t *testing.T) {
			for _, perSecond := range []float64{20, 500} {
				checkRetryBound(t, perSecond, func(p *fleetSimulation) {
					p.fails = failsFromThenOn
					p.load = func(now time.Duration) float64 {
						if (now-failuresBegin+2*interval)%interval < length {
							return 6
						}
						return 0.1
					}
				})
			}
		})
	}
}

// Guards against routers to which the requests of others move, and which earn retries for them that
// the others have made already.
func TestRequestsThatMoveToFewRoutersDoNotExceedTheLimit(t *testing.T) {
	const inUse = 0.1
	for _, after := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			for _, perSecond := range []float64{20, 500} {
				checkRetryBound(t, perSecond, func(p *fleetSimulation) {
					p.fails = failsFromThenOn
					p.routersInUse = func(now time.Duration) int {
						if now < failuresBegin+after {
							return p.routers
						}
						return int(inUse * float64(p.routers))
					}
				})
			}
		})
	}
}

// Guards against counting a retry only when it is decided on, although it may arrive much later,
// together with those of the time between.
func TestRetriesHeldUpOnTheirWayDoNotExceedTheLimit(t *testing.T) {
	for _, held := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(held.String(), func(t *testing.T) {
			for _, perSecond := range []float64{20, 500} {
				checkRetryBound(t, perSecond, func(p *fleetSimulation) {
					p.fails = failsFromThenOn
					p.arrivesAt = func(decided time.Duration) time.Duration {
						return max(decided, failuresBegin+simulationWindow+held)
					}
				})
				checkRetryBound(t, perSecond, func(p *fleetSimulation) {
					p.arrivesAt = func(decided time.Duration) time.Duration {
						release := failuresBegin + held
						if decided >= failuresBegin && decided < release {
							return release
						}
						return decided
					}
				})
			}
		})
	}
}

// Guards against bounds that only hold at the usual ratio, slack and window.
func TestUnusualBoundsAreNotExceeded(t *testing.T) {
	for _, bounds := range []operatorBounds{
		{ratio: 1, slack: 52, window: 10 * time.Second},
		{ratio: 0, slack: 52, window: 10 * time.Second},
		{ratio: 0.2, slack: 0, window: 10 * time.Second},
		{ratio: 0.02, slack: 1000, window: 10 * time.Second},
		{ratio: 0.2, slack: 52, window: time.Second},
		{ratio: 0.2, slack: 52, window: 60 * time.Second},
	} {
		t.Run(fmt.Sprintf("%g, %g, %s", bounds.ratio, bounds.slack, bounds.window), func(t *testing.T) {
			begin := bounds.window + bounds.window/2
			checkRetryBound(t, 200, func(p *fleetSimulation) {
				p.bounds, p.duration = bounds, begin+2*bounds.window
				p.fails = func(now time.Duration) bool { return now >= begin }
				p.restarts = func(_, step int) bool { return step == stepCount(begin+bounds.window/5) }
			})
		})
	}
}
