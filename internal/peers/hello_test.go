package peers

// Guards against hello replies that list all known routers, at 120 bytes each: with 880 routers
// they took 105 KB a second at each, six times the limit for control traffic, and 31 MB a second
// at a seed.

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestHelloReplyStaysSmallInLargeFleet(t *testing.T) {
	g := NewWithT(t)
	const routers, inDomain = 880, 33
	now := time.Now()
	member := func(i int) Member {
		return Member{VM: fmt.Sprintf("front-domain-%d-%d", i/inDomain, i), FailureDomain: fmt.Sprint("domain-", i/inDomain), Address: "10.0.0.1:8000"}
	}
	seed := newMembers(member(0))
	for i := range routers {
		seed.recordSeen(member(i), now)
	}
	requester := member(500)
	listed := seed.membersFor(requester, now)
	text, err := json.Marshal(listed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(text)).To(BeNumerically("<", 16<<10))

	// The readers to query and the number of routers are sufficient.
	m := newMembers(requester)
	m.recordSeen(member(0), now)
	m.recordCount("seed", seed.countSeen(now), now)
	for _, h := range listed {
		m.recordSeen(h.Member, now)
	}
	g.Expect(m.count(now)).To(Equal(routers - 1))
	for d := range routers / inDomain {
		domain := fmt.Sprint("domain-", d)
		g.Expect(m.readers(now, domain)).To(Equal(seed.readers(now, domain)), domain)
	}
	g.Expect(m.count(now.Add(memberTTL + time.Second))).To(BeZero())
}
