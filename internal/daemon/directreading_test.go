package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestSourceTimingFollowsBounds(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds DirectBounds
		wait   time.Duration
		pace   time.Duration
	}{
		{"none", DirectBounds{}, defaultWait, defaultMinInterval},
		{"keys", DirectBounds{RevokeWithin: 5 * time.Second}, time.Second, defaultMinInterval},
		{"drains", DirectBounds{DrainWithin: 2 * time.Second}, 700 * time.Millisecond, 200 * time.Millisecond},
		{"configurations", DirectBounds{ConfigWithin: 3 * time.Second}, 1050 * time.Millisecond, defaultMinInterval},
		{
			"all, the shortest counts",
			DirectBounds{RevokeWithin: 3 * time.Second, DrainWithin: 2 * time.Second, ConfigWithin: 6 * time.Second},
			600 * time.Millisecond, 200 * time.Millisecond,
		},
		{
			"a drain that leaves time", DirectBounds{RevokeWithin: 5 * time.Second, DrainWithin: 4 * time.Second, ConfigWithin: 4 * time.Second},
			time.Second, time.Second,
		},
		{"very short", DirectBounds{RevokeWithin: 1, DrainWithin: 1, ConfigWithin: 1}, minWait, shortestInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got := sourceTiming(c.bounds)
			g.Expect(got.Wait.Round(time.Microsecond)).To(Equal(c.wait))
			g.Expect(got.MinInterval).To(Equal(c.pace))
			// Data from another router may be two waits old until the next poll refreshes it.
			g.Expect(got.OutageThreshold).To(BeNumerically(">", 2*got.Wait+peerPollInterval+got.Slack))
			// The data of a reader must be fresh enough for other routers without changes,
			// whichever bounds are set.
			g.Expect(maxPeerAge(c.bounds)).To(BeNumerically(">=", 2*got.Wait+peerPollInterval))
		})
	}
}

func TestFailedCallLeavesTimeForRetryWithinBound(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 3 * time.Second, 6 * time.Second} {
		for _, b := range []DirectBounds{{DrainWithin: within}, {ConfigWithin: within}, {DrainWithin: within, ConfigWithin: 2 * within}} {
			got := sourceTiming(b)
			NewWithT(t).Expect(got.Wait+got.Slack+readTimeout).To(BeNumerically("<", within), "%+v", b)
			if total := got.Wait + got.Slack + readTimeout + got.MinInterval; b.DrainWithin >= 3*time.Second {
				NewWithT(t).Expect(total).To(BeNumerically("<", within), "after a pause, %+v", b)
			}
		}
	}
}

func TestMaxKeyAgeExceedsMaxPeerAge(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 5 * time.Second, 20 * time.Second} {
		b := DirectBounds{RevokeWithin: within}
		trusted := time.Duration(keyAgeShare * float64(within))
		NewWithT(t).Expect(maxPeerAge(b)).To(BeNumerically("<", trusted-readTimeout), "%s", within)
	}
}

func TestStopPlanLeavesTimeToExit(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 8 * time.Second, time.Minute} {
		g := NewWithT(t)
		p := stopPlan(within)
		g.Expect(p.DrainTime).To(BeNumerically("<=", directDrainTime))
		g.Expect(p.DrainTime + p.Grace).To(BeNumerically("<", within))
		g.Expect(p.DrainTime + p.HandoverAt()).To(BeNumerically("<", within-directHandoverMargin))
		g.Expect(p.Grace).To(BeNumerically(">", within/2-directHandoverMargin))
	}
}
