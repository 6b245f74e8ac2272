package pace

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an endpoint without work that is never asked, and against checks of one that states its
// pace in answers.
func TestChecksAreDueWithoutRecentReadings(t *testing.T) {
	g := NewWithT(t)
	var e Estimator
	g.Expect(e.CheckDue(at(0), time.Time{})).To(BeTrue(), "no reading yet")
	g.Expect(e.CheckDue(at(4000), at(0))).To(BeFalse(), "just asked")
	e.Add(at(0), 170)
	g.Expect(e.CheckDue(at(900), time.Time{})).To(BeFalse())
	g.Expect(e.CheckDue(at(1100), time.Time{})).To(BeTrue(), "one reading is no estimate")
	e.Add(at(1100), 170)
	e.Add(at(2200), 170)
	g.Expect(e.CheckDue(at(7000), time.Time{})).To(BeFalse())
	g.Expect(e.CheckDue(at(7300), time.Time{})).To(BeTrue())
	g.Expect(e.CheckDue(at(7300), at(4000))).To(BeFalse())
}

// Guards against a change at an idle endpoint that takes three checks of 5 s each.
func TestChangeAtAnIdleEndpointIsFoundBySoonerChecks(t *testing.T) {
	for _, c := range []struct{ before, after float64 }{{70, 170}, {170, 70}} {
		for changeAt := 20_000; changeAt < 25_000; changeAt += 500 {
			g := NewWithT(t)
			var e Estimator
			var checkedAt time.Time
			found, checks := 0, 0
			for ms := 0; ms < 60_000 && found == 0; ms += 500 {
				percent := c.before
				if ms >= changeAt {
					percent = c.after
				}
				if e.CheckDue(at(ms), checkedAt) {
					checkedAt = at(ms)
					checks++
					e.Add(at(ms), percent)
				}
				if ms >= changeAt && e.At(at(ms)).Class == classOf(c.after/100) {
					found = ms
				}
			}
			g.Expect(found-changeAt).To(BeNumerically("<=", 9000), "%v to %v", c.before, c.after)
			g.Expect(checks).To(BeNumerically("<=", 12), "a check is rare while nothing changes")
		}
	}
}

// Guards against endpoints that all routers ask, or none.
func TestOneRouterOwnsAnEndpoint(t *testing.T) {
	for _, n := range []int{1, 3, 27, 103} {
		g := NewWithT(t)
		var routers []string
		for i := range n {
			routers = append(routers, fmt.Sprint("r", i))
		}
		for i := range 50 {
			owners := 0
			for _, r := range routers {
				if Owns(fmt.Sprint("e", i), r, routers) {
					owners++
				}
			}
			g.Expect(owners).To(Equal(1))
		}
	}
}
