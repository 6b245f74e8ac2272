package peers

// A greeting told all routers that were known, 120 bytes each: at 880 routers 105 KB a
// second at each of them, six times what control may cost, and 31 MB a second at a seed.

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAGreetingStaysSmallInALargeFleet(t *testing.T) {
	g := NewWithT(t)
	const routers, inDomain = 880, 33
	now := time.Now()
	of := func(i int) Member {
		return Member{VM: fmt.Sprintf("front-domain-%d-%d", i/inDomain, i), FailureDomain: fmt.Sprint("domain-", i/inDomain), Address: "10.0.0.1:8000"}
	}
	seed := newMembers(of(0))
	for i := range routers {
		seed.recordSeen(of(i), now)
	}
	asker := of(500)
	told := seed.membersFor(asker, now)
	text, err := json.Marshal(told)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(text)).To(BeNumerically("<", 16<<10))

	// It suffices to know whom to ask and how many there are.
	m := newMembers(asker)
	m.recordSeen(of(0), now)
	m.recordCount("seed", seed.countSeen(now), now)
	for _, h := range told {
		m.recordSeen(h.Member, now)
	}
	g.Expect(m.count(now)).To(Equal(routers - 1))
	for d := range routers / inDomain {
		domain := fmt.Sprint("domain-", d)
		g.Expect(m.readers(now, domain)).To(Equal(seed.readers(now, domain)), domain)
	}
	g.Expect(m.count(now.Add(memberTTL + time.Second))).To(BeZero())
}
