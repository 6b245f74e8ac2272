package rollout

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/identity"
)

var t0 = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// fleetOf returns members spread round-robin over failure domains, and these
// over regions.
func fleetOf(n, domains, regions int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{
			Peer: identity.Peer{Role: identity.RoleAgent, Name: fmt.Sprintf("n%d", i)}, Address: fmt.Sprintf("10.0.0.1:%d", i+1),
			FailureDomain: fmt.Sprintf("d%d", i%domains), Region: fmt.Sprintf("r%d", i%domains%regions),
		}
	}
	return out
}

func summaryOf(version uint64) Summary {
	if version == 0 {
		return Summary{}
	}
	return Summary{Version: version, Digest: bundle.Digest{byte(version), byte(version >> 8)}}
}

func confirmedReport(id ID, version uint64) PeerReport {
	return PeerReport{ID: id, Version: version, DigestPrefix: summaryOf(version).DigestPrefix(), State: StateConfirmed}
}

// coreOf returns the core of one member with an active version.
func coreOf(members []Member, self int, version uint64) *Core {
	c := NewCore(members[self], Tuning{}, t0)
	c.SetMembers(members)
	c.SetActive(summaryOf(version))
	return c
}

func TestPartnersConnectTheFleetWithBoundedLinks(t *testing.T) {
	g := gomega.NewWithT(t)
	members := fleetOf(540, 27, 7)
	out := make(map[ID][]Member)
	degree := make(map[ID]int)
	for i, m := range members {
		c := coreOf(members, i, 1)
		out[m.ID()] = c.Partners(t0)
		g.Expect(out[m.ID()]).To(gomega.HaveLen(4))
		inside, regional := 0, 0
		domains := make(map[string]bool)
		for _, p := range out[m.ID()] {
			degree[p.ID()]++
			domains[p.FailureDomain] = true
			switch {
			case p.FailureDomain == m.FailureDomain:
				inside++
			case p.Region == m.Region:
				regional++
			}
		}
		g.Expect(inside).To(gomega.Equal(2))
		g.Expect(domains).To(gomega.HaveLen(3), "its own and two others")
		g.Expect(regional).To(gomega.BeNumerically(">=", 1))
	}
	for _, n := range degree {
		g.Expect(n).To(gomega.BeNumerically("<", 20))
	}
	g.Expect(maxHops(members, out)).To(gomega.BeNumerically("<=", 10))
}

// maxHops returns the number of links that a version crosses from the first
// member to the farthest one; it is huge if some aren't connected. Versions
// travel in both directions.
func maxHops(members []Member, out map[ID][]Member) int {
	links := make(map[ID][]ID)
	for from, partners := range out {
		for _, p := range partners {
			links[from] = append(links[from], p.ID())
			links[p.ID()] = append(links[p.ID()], from)
		}
	}
	reached := map[ID]bool{members[0].ID(): true}
	frontier := []ID{members[0].ID()}
	for hops := 0; ; hops++ {
		var next []ID
		for _, id := range frontier {
			for _, to := range links[id] {
				if !reached[to] {
					reached[to] = true
					next = append(next, to)
				}
			}
		}
		if len(next) == 0 {
			if len(reached) < len(members) {
				return 1 << 30
			}
			return hops
		}
		frontier = next
	}
}

func TestPartnersAreStableUnderMembershipChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	members := fleetOf(600, 6, 2)
	c := coreOf(members, 0, 1)
	before := c.Partners(t0)
	c.SetMembers(append(members[:300:300], members[301:]...))
	after := c.Partners(t0)
	kept := 0
	for _, p := range after {
		for _, q := range before {
			if p == q {
				kept++
			}
		}
	}
	g.Expect(kept).To(gomega.BeNumerically(">=", 3))
}

func TestFailedPartnerIsReplacedAndRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	c := coreOf(fleetOf(60, 3, 1), 0, 1)
	first := c.Partners(t0)[0]
	c.PartnerFailed(t0, first.ID())
	g.Expect(c.Partners(t0)).NotTo(gomega.ContainElement(first))
	g.Expect(c.Partners(t0)).To(gomega.HaveLen(4))
	g.Expect(c.Partners(t0.Add(time.Second))[0]).To(gomega.Equal(first))
	for range 10 {
		c.PartnerFailed(t0, first.ID())
	}
	g.Expect(c.Partners(t0.Add(4 * time.Second))).NotTo(gomega.ContainElement(first))
	g.Expect(c.Partners(t0.Add(5*time.Second))).To(gomega.ContainElement(first), "after the longest delay")
}

func TestPausedProcessWaitsForReportsBeforeReading(t *testing.T) {
	g := gomega.NewWithT(t)
	members := fleetOf(9, 1, 1)
	last := NewCore(members[0], Tuning{}, t0)
	last.SetMembers(members)
	self := last.membership.readerRanking[len(members)-1]
	c := NewCore(self, Tuning{}, t0)
	c.SetMembers(members)
	c.SetActive(summaryOf(3))
	recordAll := func(now time.Time) {
		for _, m := range members {
			if m != self {
				c.RecordReports(now, m.ID(), confirmedReport(m.ID(), 3), nil)
			}
		}
	}
	now := t0
	recordAll(now)
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		c.Tick(now)
		recordAll(now)
		g.Expect(c.ShouldRead(now)).To(gomega.BeFalse())
	}
	now = now.Add(20 * time.Second) // paused: all reports are out of date now
	c.Tick(now)
	g.Expect(c.ShouldRead(now)).To(gomega.BeFalse())
	recordAll(now.Add(time.Second))
	g.Expect(c.ShouldRead(now.Add(time.Second))).To(gomega.BeFalse())
	later := now.Add(time.Second)
	for range 40 {
		later = later.Add(500 * time.Millisecond)
		c.Tick(later)
	}
	g.Expect(c.ShouldRead(later)).To(gomega.BeTrue(), "after all others became unresponsive")
}

func TestForwardedReportsOnlyAge(t *testing.T) {
	g := gomega.NewWithT(t)
	members := fleetOf(6, 1, 1)
	c := coreOf(members, 0, 1)
	forwarded := confirmedReport(members[1].ID(), 2)
	forwarded.AgeMillis = 8000
	c.RecordReports(t0, members[2].ID(), confirmedReport(members[2].ID(), 2), []PeerReport{forwarded})
	forwarded.AgeMillis = 9000
	forwarded.Version = 9
	c.RecordReports(t0, members[3].ID(), confirmedReport(members[3].ID(), 2), []PeerReport{forwarded})
	known, _ := c.reports.withAge(t0.Add(time.Second), members[1].ID())
	g.Expect(known.AgeMillis).To(gomega.BeEquivalentTo(9000))
	g.Expect(known.Version).To(gomega.BeEquivalentTo(2), "the older report is dropped")
	ownReport := confirmedReport(members[0].ID(), 9)
	unlisted := confirmedReport("agent/unknown", 9)
	c.RecordReports(t0, members[2].ID(), confirmedReport("agent/forged", 2), []PeerReport{ownReport, unlisted})
	g.Expect(c.reports.byID).To(gomega.HaveLen(3))
	g.Expect(c.reports.byID).NotTo(gomega.HaveKey(ID("agent/forged")), "the certificate names the sender")
}

func TestEvaluateOffer(t *testing.T) {
	g := gomega.NewWithT(t)
	c := coreOf(fleetOf(6, 1, 1), 0, 5)
	other := summaryOf(5)
	other.Digest[9] = 1
	g.Expect(c.EvaluateOffer(t0, "a", summaryOf(4)).Action).To(gomega.Equal(PeerBehind))
	g.Expect(c.EvaluateOffer(t0, "a", summaryOf(5)).Action).To(gomega.Equal(NoAction))
	g.Expect(c.EvaluateOffer(t0, "a", other).Action).To(gomega.Equal(Conflict))
	g.Expect(c.EvaluateOffer(t0, "a", summaryOf(6)).Action).To(gomega.Equal(Pull))
	c.BeginTransfer(t0, 6)
	g.Expect(c.EvaluateOffer(t0, "b", summaryOf(6))).To(gomega.Equal(Decision{Action: Wait, Wait: 300 * time.Millisecond}))
	g.Expect(c.EvaluateOffer(t0, "b", summaryOf(7)).Action).To(gomega.Equal(Pull), "a higher version doesn't wait")
	g.Expect(c.EvaluateOffer(t0.Add(300*time.Millisecond), "b", summaryOf(6)).Action).To(gomega.Equal(Pull), "a stalled transfer blocks no other")
	c.EndTransfer(t0, "a", 6, false)
	g.Expect(c.EvaluateOffer(t0, "b", summaryOf(6)).Action).To(gomega.Equal(Pull))
	g.Expect(c.EvaluateOffer(t0, "a", summaryOf(9)).Action).To(gomega.Equal(NoAction), "it failed to prove its last claim")
	g.Expect(c.EvaluateOffer(t0.Add(30*time.Second), "a", summaryOf(9)).Action).To(gomega.Equal(Pull))
}

func TestReadinessNeedsPeersOfSeveralDomains(t *testing.T) {
	g := gomega.NewWithT(t)
	members := fleetOf(12, 3, 1)
	c := coreOf(members, 0, 5)
	record := func(i int, s PeerReport) { c.RecordReports(t0, members[i].ID(), s, nil) }
	for _, i := range []int{3, 6, 9} {
		record(i, confirmedReport(members[i].ID(), 5))
	}
	g.Expect(c.Readiness(t0).Ready).To(gomega.BeFalse(), "all are of its own failure domain")
	record(1, PeerReport{Version: 5, State: StateStarting})
	record(2, PeerReport{Version: 5, State: StateUnconfirmed})
	g.Expect(c.Readiness(t0).Ready).To(gomega.BeFalse(), "unconfirmed peers do not count")
	record(1, confirmedReport(members[1].ID(), 6))
	g.Expect(c.Readiness(t0).Ready).To(gomega.BeFalse(), "the peer may have a higher version")
	c.SetActive(summaryOf(6))
	g.Expect(c.Readiness(t0)).To(gomega.Equal(Readiness{Ready: true, Confirmed: true, Peers: 4, Domains: 2, WantPeers: 3, WantDomains: 2}))
	g.Expect(c.SelfReport(t0).State).To(gomega.Equal(StateConfirmed))

	alone := coreOf(members[:1], 0, 5)
	g.Expect(alone.Readiness(t0.Add(5*time.Second - 1)).Ready).To(gomega.BeFalse())
	g.Expect(alone.Readiness(t0.Add(5 * time.Second))).To(gomega.Equal(Readiness{Ready: true}))
	alone.SetActive(Summary{})
	g.Expect(alone.Readiness(t0.Add(time.Hour)).Ready).To(gomega.BeFalse(), "there is no version to serve")
}

func TestRevisionIsResetAfterServerRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &reader{revision: 9}
	g.Expect(r.handleUnchanged(9)).To(gomega.BeZero())
	g.Expect(r.revision).To(gomega.Equal(Revision(9)))
	g.Expect(r.handleUnchanged(3)).To(gomega.Equal(minReadInterval))
	g.Expect(r.revision).To(gomega.Equal(Revision(0)))
}

func TestExchangeWaitsIfPeerAnnouncedTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		members := fleetOf(2, 1, 1)
		n := &Node{core: coreOf(members, 0, 3), announcedVersions: make(map[ID]uint64), changed: make(chan struct{})}
		ask := func() time.Duration {
			began := time.Now()
			_, err := n.serveExchange(t.Context(), members[1].Peer, Exchange{Held: summaryOf(2), From: confirmedReport(members[1].ID(), 2), WaitMillis: 1000})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return time.Since(began)
		}
		g.Expect(ask()).To(gomega.BeZero(), "there is a higher version")
		n.recordAnnouncedVersion(members[1].ID(), 3)
		g.Expect(ask()).To(gomega.Equal(time.Second), "the peer announced this version")
		n.recordAnnouncedVersion("agent/stranger", 3)
		g.Expect(n.announcedVersions).To(gomega.HaveLen(1))
	})
}

func TestUnconfirmedPeersConfirmAfterTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	members := fleetOf(12, 3, 1)
	c := coreOf(members, 0, 5)
	for i := range 8 {
		c.RecordReports(t0, members[i+1].ID(), PeerReport{Version: 5, State: StateUnconfirmed}, nil)
	}
	g.Expect(c.Readiness(t0.Add(35*time.Second - 1)).Confirmed).To(gomega.BeFalse())
	g.Expect(c.Readiness(t0.Add(35 * time.Second)).Confirmed).To(gomega.BeTrue())
}
