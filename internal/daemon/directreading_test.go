package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTimesFollowTheOperatorsBounds(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds DirectBounds
		wait   time.Duration
		pace   time.Duration
	}{
		{"none", DirectBounds{}, defaultWait, defaultPace},
		{"keys", DirectBounds{RevokeWithin: 5 * time.Second}, time.Second, defaultPace},
		{"drains", DirectBounds{DrainWithin: 2 * time.Second}, 700 * time.Millisecond, 200 * time.Millisecond},
		{"configurations", DirectBounds{ConfigWithin: 3 * time.Second}, 1050 * time.Millisecond, defaultPace},
		{
			"all, the shortest counts",
			DirectBounds{RevokeWithin: 3 * time.Second, DrainWithin: 2 * time.Second, ConfigWithin: 6 * time.Second},
			600 * time.Millisecond, 200 * time.Millisecond,
		},
		{
			"a drain that leaves time", DirectBounds{RevokeWithin: 5 * time.Second, DrainWithin: 4 * time.Second, ConfigWithin: 4 * time.Second},
			time.Second, time.Second,
		},
		{"very short", DirectBounds{RevokeWithin: 1, DrainWithin: 1, ConfigWithin: 1}, minWait, minPace},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got := timing(c.bounds)
			g.Expect(got.Wait.Round(time.Microsecond)).To(Equal(c.wait))
			g.Expect(got.MinInterval).To(Equal(c.pace))
			// A router that asks another one sees knowledge that is two waits old
			// become fresh from one question to the next.
			g.Expect(got.OutageThreshold).To(BeNumerically(">", 2*got.Wait+peerEvery+got.Slack))
			// What a reader knows in calm times has to be good enough for others,
			// whichever bounds are in force.
			g.Expect(peerAge(c.bounds)).To(BeNumerically(">=", 2*got.Wait+peerEvery))
		})
	}
}

func TestALostCallLeavesTimeForAnotherOneWithinTheBound(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 3 * time.Second, 6 * time.Second} {
		for _, b := range []DirectBounds{{DrainWithin: within}, {ConfigWithin: within}, {DrainWithin: within, ConfigWithin: 2 * within}} {
			got := timing(b)
			NewWithT(t).Expect(got.Wait+got.Slack+readTimeout).To(BeNumerically("<", within), "%+v", b)
			if spare := got.Wait + got.Slack + readTimeout + got.MinInterval; b.DrainWithin >= 3*time.Second {
				NewWithT(t).Expect(spare).To(BeNumerically("<", within), "after a pause, %+v", b)
			}
		}
	}
}

func TestKeysAreTrustedLongerThanPeersAreBelieved(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 5 * time.Second, 20 * time.Second} {
		b := DirectBounds{RevokeWithin: within}
		trusted := time.Duration(trustShare * float64(within))
		NewWithT(t).Expect(peerAge(b)).To(BeNumerically("<", trusted-readTimeout), "%s", within)
	}
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
