package pace

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func classOf(factor float64) Class {
	var c classifier
	c.update(0, factor)
	return c.current
}

func usualOf(factors ...float64) Usual {
	classes := make([]Class, len(factors))
	for i, f := range factors {
		if f > 0 {
			classes[i] = classOf(f)
		}
	}
	return UsualOf(slices.Values(classes))
}

// Guards against slow endpoints that get a share of work which exceeds their relative speed.
// Guards against slow endpoints that get a share of work which exceeds their relative speed.
// Guards against slow endpoints that get a share of work which exceeds their relative speed.
func TestWeightIsTheRelativeSpeed(t *testing.T) {
	g := NewWithT(t)
	u := usualOf(0.7, 0.7, 1.7, 0.7, 0.7, 1.7)
	g.Expect(u.Uneven).To(BeTrue())
	g.Expect(u.Weight(classOf(0.7))).To(Equal(1.0))
	g.Expect(u.Weight(classOf(1.7))).To(BeNumerically("~", 0.7/1.7, 0.05))
	g.Expect(u.Weight(Unknown)).To(Equal(1.0))
}

// Guards against preferences that change while all endpoints are slow at once, or are alike.
func TestAlikeEndpointsHaveEqualWeights(t *testing.T) {
	for _, factors := range [][]float64{{}, {0, 0}, {1, 1, 1}, {2.5, 2.5, 2.5}, {0.89, 0.91, 0.9}, {1, 0, 1.1}} {
		g := NewWithT(t)
		u := usualOf(factors...)
		g.Expect(u.Uneven).To(BeFalse(), "%v", factors)
		for _, f := range factors {
			if f > 0 {
				g.Expect(u.Weight(classOf(f))).To(Equal(1.0), "%v", factors)
			}
		}
	}
}

// Guards against weights of fast endpoints, and of those whose pace is unknown, that change while paces
// become known, and against slow endpoints that keep the weight of fast ones when most are known.
func TestFastEndpointsKeepTheirWeightWhileSlowOnesLoseTheirs(t *testing.T) {
	g := NewWithT(t)
	factors := []float64{1.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 0.7}
	for known := range len(factors) + 1 {
		u := usualOf(factors[:known]...)
		g.Expect(u.Weight(classOf(0.7))).To(Equal(1.0))
		g.Expect(u.Weight(Unknown)).To(Equal(1.0))
		if known >= minForQuartile {
			g.Expect(u.Weight(classOf(1.7))).To(BeNumerically("~", 0.7/1.7, 0.05), "%d known", known)
		}
	}
}

// Guards against one endpoint with a wrong low pace that makes all others of a small group slow.
func TestOneWrongPaceOfFewChangesLittle(t *testing.T) {
	for n := 2; n <= 5; n++ {
		g := NewWithT(t)
		u := usualOf([]float64{0.1, 1, 1, 1, 1}[:n]...)
		if n > 2 {
			g.Expect(u.Uneven).To(BeFalse(), "%d endpoints", n)
		}
		g.Expect(u.Weight(classOf(1))).To(BeNumerically(">=", 0.25), "%d endpoints", n)
		g.Expect(usualOf([]float64{1.7, 0.7, 0.7, 0.7, 0.7}[:n]...).Slow(classOf(1.7))).To(BeTrue(), "%d endpoints", n)
	}
	g := NewWithT(t)
	g.Expect(usualOf(0.1, 0.1, 0.1, 20).Weight(classOf(20))).To(Equal(0.25))
}

// Guards against one wrong low pace that makes all other endpoints slow.
// Guards against one wrong low pace that makes all other endpoints slow.
// Guards against one wrong low pace that makes all other endpoints slow.
func TestOneWrongPaceDoesNotChangeTheUsualPace(t *testing.T) {
	g := NewWithT(t)
	u := usualOf(0.1, 1, 1, 1, 1)
	g.Expect(u.Uneven).To(BeFalse())
}

// Guards against a factor near the boundary of two classes that changes the class with each reading.
func TestClassHasHysteresis(t *testing.T) {
	g := NewWithT(t)
	var c classifier
	c.update(0, 1.1)
	changes := 0
	for i := 1; i < 100; i++ {
		if c.update(time.Duration(i)*100*time.Millisecond, 1.1+0.04*float64(i%2)) {
			changes++
		}
	}
	g.Expect(changes).To(BeZero())
}

// Guards against routers whose classes differ for good because their earlier readings did.
func TestClassDoesNotDependOnEarlierPacesForLong(t *testing.T) {
	g := NewWithT(t)
	var c classifier
	c.update(0, 1.75)
	for i := range 50 {
		c.update(time.Duration(i)*100*time.Millisecond, 1.7)
	}
	g.Expect(c.current).To(Equal(classOf(1.7)))
}
