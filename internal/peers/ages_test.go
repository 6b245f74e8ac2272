package peers

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/age/agetest"
	"coveferry/internal/follow"
)

// Guards against a router that counts as alive for good after one wrong message.
func TestMemberSeenAheadOfTimeIsNotRecorded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	for _, millis := range agetest.ImpossibleMillis {
		m := newMembers(Member{VM: "self", FailureDomain: "d"})
		m.recordListed([]listedMember{{Member: Member{VM: "other", FailureDomain: "d"}, AgoMillis: millis}}, now)
		g.Expect(m.count(now)).To(BeZero(), "%d", millis)
		m.recordListed([]listedMember{{Member: Member{VM: "other", FailureDomain: "d"}, AgoMillis: 10}}, now)
		g.Expect(m.count(now)).To(Equal(1), "%d", millis)
		g.Expect(m.count(now.Add(memberTTL))).To(BeZero(), "%d", millis)
	}
}

// Guards against a span ahead of time that no later one replaces.
func TestUptimeAheadOfTimeIsNotRecorded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	for _, millis := range agetest.ImpossibleMillis {
		for _, report := range []uptimeReport{{ForMillis: 1000, AgoMillis: millis}, {ForMillis: millis, AgoMillis: 10}} {
			u := originUptime{maxGap: outage}
			u.apply(now, report)
			g.Expect(u.span()).To(Equal(follow.Span{}), "%v", report)
		}
	}
}

// Guards against a window so short that a service seems to have had one version in it.
func TestImpossibleWindowOfAStreamIsTheLongest(t *testing.T) {
	g := NewWithT(t)
	for _, millis := range agetest.ImpossibleMillis {
		g.Expect(askStreamRequest{WindowMillis: millis}.window()).To(Equal(time.Duration(math.MaxInt64)))
	}
	g.Expect(askStreamRequest{WindowMillis: 1500}.window()).To(Equal(1500 * time.Millisecond))
}
