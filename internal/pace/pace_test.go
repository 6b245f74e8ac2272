package pace

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// spanLength and spanShare are the length of the spans in which other work slows an endpoint, and the
// share of time that they take.
const (
	spanLength = 600
	spanShare  = 0.15
	spanFactor = 2.5
)

// stated returns what an endpoint states over time, by the base value that it has then.
func stated(seed uint64, base func(ms int) float64) func(ms int) float64 {
	return func(ms int) float64 {
		rnd := rand.New(rand.NewPCG(seed, uint64(ms/spanLength)))
		if rnd.Float64() < spanShare {
			return spanFactor * base(ms)
		}
		return base(ms)
	}
}

func constant(percent float64) func(int) float64 { return func(int) float64 { return percent } }

// Guards against an estimate that follows spans of slower work, or takes longer than 3 s for a change.
func TestPaceIsRecognizedWithin3sAndIgnoresShortSpans(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after float64
	}{{"slower", 70, 170}, {"faster", 170, 70}} {
		for _, interval := range []int{20, 100, 250, 700} {
			t.Run(c.name, func(t *testing.T) {
				g := NewWithT(t)
				late := 0
				for seed := range uint64(200) {
					percent := stated(seed, func(ms int) float64 {
						if ms < 10_000 {
							return c.before
						}
						return c.after
					})
					var e Estimator
					for ms := 0; ms <= 13_000; ms += interval {
						e.Add(at(ms), percent(ms))
					}
					if e.At(at(13_000)).Factor != c.after/100 {
						late++
					}
				}
				g.Expect(late).To(BeNumerically("<=", 4), "of 200 at an interval of %d ms", interval)
			})
		}
	}
}

// Guards against an endpoint that differs from others of its pace because of short spans of slower work.
// Guards against an endpoint that differs from others of its pace because of short spans of slower work.
// Guards against an endpoint that differs from others of its pace because of short spans of slower work.
func TestShortSpansDoNotMakeAlikeEndpointsDiffer(t *testing.T) {
	for _, interval := range []int{50, 200, 700} {
		g := NewWithT(t)
		wrong, all := 0, 0
		for seed := range uint64(50) {
			percent := stated(seed, constant(70))
			var e Estimator
			for ms := 0; ms < 60_000; ms += interval {
				e.Add(at(ms), percent(ms))
				if factor := e.At(at(ms)).Factor; factor > 0 {
					all++
					if factor > 0.77 {
						wrong++
					}
				}
			}
		}
		t.Log(interval, wrong, all)
		g.Expect(float64(wrong) / float64(all)).To(BeNumerically("<", 0.01))
	}
}

// Guards against an estimate from a single moment: 175 may be a fast endpoint in a slow span.
func TestFewReadingsGiveNoEstimate(t *testing.T) {
	g := NewWithT(t)
	var e Estimator
	e.Add(at(0), 175)
	e.Add(at(20), 175) // the same moment, received by another router
	e.Add(at(200), 175)
	e.Add(at(400), 175)
	g.Expect(e.At(at(400))).To(Equal(Estimate{}))
	e.Add(at(1100), 70)
	g.Expect(e.At(at(1100))).To(Equal(Estimate{}))
	e.Add(at(1300), 175)
	g.Expect(e.At(at(1300)).Factor).To(BeNumerically("~", 0.7, 1e-6))
}

// Guards against malformed readings that change the estimate.
// Guards against malformed readings that change the estimate.
// Guards against malformed readings that change the estimate.
func TestMalformedReadingsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	var e Estimator
	for ms := 0; ms < 3000; ms += 200 {
		e.Add(at(ms), 100)
		for _, percent := range []float64{0, -5, 1, 1e9} {
			e.Add(at(ms+160), percent)
		}
	}
	g.Expect(e.At(at(3000)).Factor).To(Equal(1.0))
}

// Guards against the pace of an endpoint without work that holds for an unbounded time.
func TestPaceIsUnknownWithoutRecentReadings(t *testing.T) {
	g := NewWithT(t)
	var e Estimator
	for ms := 0; ms <= 1400; ms += 200 {
		e.Add(at(ms), 170)
	}
	g.Expect(e.At(at(30_000)).Factor).To(BeNumerically("~", 1.7, 1e-6))
	g.Expect(e.At(at(31_500))).To(Equal(Estimate{}))
}

// Guards against an expired pace that applies again after a single new reading.
func TestExpiredPaceDoesNotReturnWithOneReading(t *testing.T) {
	for _, ms := range []int{31_500, 29_000, 3_600_000} {
		g := NewWithT(t)
		var e Estimator
		for _, earlier := range []int{-2000, -1000, 0} {
			e.Add(at(earlier), 170)
		}
		g.Expect(e.At(at(0)).Factor).To(BeNumerically("~", 1.7, 1e-6))
		e.Add(at(ms), 70)
		if ms > 30_000 {
			g.Expect(e.At(at(ms))).To(Equal(Estimate{}))
		}
		e.Add(at(ms+1000), 70)
		e.Add(at(ms+2000), 70)
		g.Expect(e.At(at(ms + 2000)).Factor).To(BeNumerically("~", 0.7, 1e-6))
		g.Expect(e.At(at(ms + 2000)).Class).To(Equal(classOf(0.7)))
	}
}

// Guards against an estimate that holds although most readings behind it are older than the retention.
func TestTooFewReadingsWithinTheRetentionClearThePace(t *testing.T) {
	g := NewWithT(t)
	var e Estimator
	for _, ms := range []int{0, 5000, 10_000} {
		e.Add(at(ms), 170)
	}
	e.Add(at(39_000), 70)
	g.Expect(e.At(at(39_000))).To(Equal(Estimate{}))
}

// Guards against an idle endpoint, which is asked every 5 s, whose pace stays unknown.
func TestSparseReadingsGiveAnEstimate(t *testing.T) {
	g := NewWithT(t)
	var e Estimator
	for _, ms := range []int{0, 5000, 10_000} {
		e.Add(at(ms), 170)
	}
	g.Expect(e.At(at(10_000)).Factor).To(BeNumerically("~", 1.7, 1e-6))
}

// Guards against estimates that differ between routers because readings of peers arrive in another order.
func TestOrderOfArrivalDoesNotMatter(t *testing.T) {
	g := NewWithT(t)
	percent := stated(3, constant(70))
	var inOrder, shuffled Estimator
	times := make([]int, 16)
	for i := range times {
		times[i] = 200 * i
	}
	for _, ms := range times {
		inOrder.Add(at(ms), percent(ms))
	}
	for chunk := range slices.Chunk(times, 4) {
		slices.Reverse(chunk)
		for _, ms := range chunk {
			shuffled.Add(at(ms), percent(ms))
		}
	}
	g.Expect(shuffled.At(at(3200)).Factor).To(Equal(inOrder.At(at(3200)).Factor))
}

// Guards against a peer that sets the pace by low readings, which are valid but wrong.
func TestLowReadingsOfOnePeerDoNotSetThePace(t *testing.T) {
	for _, interval := range []int{100, 250, 500, 1000} {
		for _, offset := range []int{0, 20, 75, 125, 160} {
			for _, low := range []float64{10, 70, 2000} {
				g := NewWithT(t)
				var e Estimator
				wrong, known := 0, 0
				for ms := 0; ms < 20_000; ms += 5 {
					if ms%interval == 0 {
						e.Add(at(ms), 170)
					}
					if ms%250 == offset {
						e.AddFromPeer(at(ms), at(ms-1), low)
					}
					if ms < 3000 {
						continue // own readings are too few until then
					}
					known++
					if math.Abs(e.At(at(ms)).Factor-1.7) > 0.01 {
						wrong++
					}
				}
				g.Expect(wrong).To(BeZero(), "of %d; own readings every %d ms, peer's of %v at %d ms", known, interval, low, offset)
			}
		}
	}
}

// Guards against an estimate from the readings of peers that follows single wrong ones: a low value
// needs the agreement of a quarter.
func TestAQuarterOfPeersReadingsAgreesOnALowPace(t *testing.T) {
	for _, c := range []struct{ wrongOfTen, factor float64 }{{1, 1.7}, {2, 1.7}, {4, 0.1}} {
		g := NewWithT(t)
		var e Estimator
		for n := range 10 {
			percent := 170.0
			if float64(n) < c.wrongOfTen {
				percent = 10
			}
			e.AddFromPeer(at(n*200), at(n*200), percent)
		}
		g.Expect(e.At(at(2000)).Factor).To(BeNumerically("~", c.factor, 1e-6))
	}
}

// Guards against a peer's reading that hides the own one of the same moment.
func TestOwnReadingsReplaceThoseOfPeers(t *testing.T) {
	g := NewWithT(t)
	var e Estimator
	for ms := 0; ms < 1800; ms += 600 {
		e.AddFromPeer(at(ms), at(ms), 10)
		e.AddFromPeer(at(ms+160), at(ms+160), 10)
		e.Add(at(ms+80), 170)
	}
	g.Expect(e.readings).To(HaveLen(3))
	g.Expect(e.At(at(1800))).To(Equal(Estimate{Factor: e.percent / usualPercent, Class: classOf(1.7)}))
	g.Expect(e.percent).To(Equal(170.0))
}

// Guards against memory that grows with the number of readings.
func TestReadingsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var e Estimator
	for ms := range 20_000 {
		e.Add(at(ms), 70)
	}
	g.Expect(len(e.readings)).To(BeNumerically("<=", maxReadings))
}
