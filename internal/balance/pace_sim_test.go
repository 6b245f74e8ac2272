package balance

// These simulations guard against endpoints that are sent the same work whatever their pace. With one
// endpoint in three 2.4 times as slow as the others, slow ones stay backlogged, and prompts and
// streams there are late. Other work slows the engines in spans: by a factor of 1.225 on average, so
// that a utilization of 0.82 is the most that they can serve.

import (
	"hash/fnv"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
)

const (
	unequalSpan       = 600 * time.Millisecond
	unequalSpanFactor = 2.5
	unequalSpanShare  = 15 // percent of the spans
)

// slowdownOf returns the factor on all durations of an engine at a time.
func (u *unequal) slowdownOf(now time.Time, e *unequalEngine) float64 {
	if u.spans && inSlowSpan(e.Name, now) {
		return e.slowdown * unequalSpanFactor
	}
	return e.slowdown
}

// inSlowSpan reports whether other work slows an endpoint at a time.
func inSlowSpan(endpoint string, now time.Time) bool {
	h := fnv.New64a()
	h.Write([]byte(endpoint))
	return mix(h.Sum64()^uint64(now.Sub(epoch)/unequalSpan))%100 < unequalSpanShare
}

// Guards against urgent streams at slow endpoints: a prefill beside an urgent stream exceeds its maximum
// gap there. The other kinds share the slow endpoints then: how many of their requests are in time is
// logged and depends on the expected wait by which requests are refused.
func TestUrgentStreamsAreServedByFastEndpoints(t *testing.T) {
	const minGain = 0.08 // of the urgent streams, in time
	for _, routers := range []int{3, 27, 103} {
		for _, utilization := range []float64{0.5, 0.75, 1} {
			off := simulateUnequal(routers, utilization, unequalOptions{spans: true, statesWaiting: true})
			on := simulateUnequal(routers, utilization, unequalOptions{spans: true, statesWaiting: true, statesPace: true})
			for n, k := range on.kinds {
				o := off.kinds[n]
				t.Logf("%d routers, utilization %.2f, tier %d: in time %.2f (off %.2f), late %.2f (%.2f), rejected %.2f (%.2f), timed out %.2f (%.2f)",
					routers, utilization, k.tier, k.fraction(k.inTime), o.fraction(o.inTime), k.fraction(k.late), o.fraction(o.late),
					k.fraction(k.rejected), o.fraction(o.rejected), k.fraction(k.timedOut), o.fraction(o.timedOut))
				if k.tier == 0 {
					NewWithT(t).Expect(k.fraction(k.inTime)).To(BeNumerically(">", o.fraction(o.inTime)+minGain), "%d routers, utilization %.2f", routers, utilization)
				}
			}
		}
	}
}

// countPaces counts the paces that routers know at a time, and those that are off by over a tenth.
func (u *unequal) countPaces(now time.Time) (known, wrong int) {
	for _, p := range u.pools {
		for _, e := range u.engines {
			v := p.Views(now, []*bundle.Endpoint{&e.Endpoint})[0]
			if v.Pace == 0 {
				continue
			}
			known++
			if math.Abs(v.Pace/e.slowdown-1) > 0.1 {
				wrong++
			}
		}
	}
	return known, wrong
}

// Guards against a change of 2.4 times, in either direction, that takes longer than 3 s to be accepted.
func TestChangedPaceIsAcceptedWithin3s(t *testing.T) {
	const changeAt = 8 * time.Second
	for _, routers := range []int{3, 27, 103} {
		for _, utilization := range []float64{0.25, 0.5, 1} {
			known, wrong, atOnce := 0, 0, 0
			simulateUnequal(routers, utilization, unequalOptions{spans: true, statesPace: true, prepare: func(u *unequal) {
				u.runAt(epoch.Add(changeAt), func(now time.Time) {
					for _, e := range u.engines {
						e.slowdown = unequalFastFactor + unequalSlowFactor - e.slowdown
					}
					_, atOnce = u.countPaces(now)
				})
				u.runAt(epoch.Add(changeAt+3*time.Second), func(now time.Time) { known, wrong = u.countPaces(now) })
			}})
			t.Logf("%d routers, utilization %.2f: known %d, wrong %d, %d before", routers, utilization, known, wrong, atOnce)
			if all := routers * unequalEngines; known < all*98/100 {
				t.Errorf("%d routers, utilization %.2f: %d of %d known after 3 s", routers, utilization, known, all)
			}
			if wrong > known*3/100 {
				t.Errorf("%d routers, utilization %.2f: %d of %d wrong after 3 s", routers, utilization, wrong, known)
			}
		}
	}
}

// Guards against routers that don't learn the paces of endpoints at which they have few requests, and
// against busy endpoints that are taken for slow ones.
func TestPaceDoesNotDependOnLoad(t *testing.T) {
	const settled = unequalDuration - time.Second
	for _, routers := range []int{3, 27, 103} {
		for _, utilization := range []float64{0.25, 0.5, 1} {
			u := simulateUnequal(routers, utilization, unequalOptions{spans: true, statesPace: true})
			known, wrong := u.countPaces(epoch.Add(settled))
			all := routers * len(u.engines)
			t.Logf("%d routers, utilization %.2f: known %d, wrong %d of %d", routers, utilization, known, wrong, all)
			g := NewWithT(t)
			g.Expect(known).To(BeNumerically(">=", all*98/100), "%d routers, utilization %.2f", routers, utilization)
			g.Expect(wrong).To(BeNumerically("<=", all/100), "%d routers, utilization %.2f", routers, utilization)
		}
	}
}
