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
	g.Expect(timing(b).Pace).To(Equal(200 * time.Millisecond))
	// A router that asks another one sees knowledge that is two waits old become
	// fresh from one question to the next.
	g.Expect(timing(b).Outage).To(BeNumerically(">", 2*timing(b).Wait+peerEvery+timing(b).Slack))
	g.Expect(timing(DirectBounds{}).Wait).To(Equal(defaultWait))
	g.Expect(timing(DirectBounds{}).Pace).To(Equal(defaultPace))
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
