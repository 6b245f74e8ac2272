package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTimesFollowTheOperatorsBounds(t *testing.T) {
	g := NewWithT(t)
	b := DirectBounds{RevokeWithin: 5 * time.Second, DrainWithin: 2 * time.Second}
	g.Expect(timing(b).Wait).To(Equal(time.Second))
	g.Expect(timing(b).ListEvery).To(Equal(500 * time.Millisecond))
	g.Expect(timing(DirectBounds{}).Wait).To(Equal(defaultWait))
	g.Expect(timing(DirectBounds{}).ListEvery).To(Equal(defaultList))
}

func TestAStopLeavesTimeForItsEnd(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 8 * time.Second, time.Minute} {
		g := NewWithT(t)
		p := stopPlan(within)
		g.Expect(p.Notice).To(BeNumerically("<=", directNotice))
		g.Expect(p.Notice + p.Grace).To(BeNumerically("<", within))
		g.Expect(p.Notice + p.LastCall()).To(BeNumerically("<", within-directMargin))
		g.Expect(p.Grace).To(BeNumerically(">", within/2-directMargin))
	}
}
