package peers

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
	"coveferry/internal/fairshare"
)

// teamWorkAt returns the work of a team as a router knows it from others.
func teamWorkAt(n *node, team string) float64 {
	work, _ := n.source.PeerTeamWork()
	if len(work) == 0 {
		return 0
	}
	return work[0].Teams[team]
}

// Guards against work of a team that is counted twice or not at all, depending on which failure domains
// its requests reach, and against work of a router that has stopped.
func TestWorkOfTeamsIsAddedUpOverTheFleet(t *testing.T) {
	for _, routers := range []int{3, 9} {
		runFleet(t, routers, func(g *WithT, f *fleet) {
			for _, n := range f.nodes {
				n.source.ShareTeamWork(func(time.Time) fairshare.Sums {
					return fairshare.Sums{{Service: "s", Rank: 1, Short: true, Routers: 1, Teams: map[string]float64{"all": 1, n.vm: 2}}}
				})
			}
			time.Sleep(2 * time.Second)
			for _, n := range f.nodes {
				g.Expect(teamWorkAt(n, "all")).To(BeNumerically("~", routers-1, 1e-9), n.vm)
				g.Expect(teamWorkAt(n, n.vm)).To(BeZero(), "a router's own work isn't reported to itself")
				for _, o := range f.nodes {
					if o != n {
						g.Expect(teamWorkAt(n, o.vm)).To(BeNumerically("~", 2, 1e-9), "%s at %s", o.vm, n.vm)
					}
				}
			}
			stopped := f.nodes[routers-1]
			stopped.shutDown()
			// Its report expires at its reader, which may have reported it to another domain's reader
			// just before, and that one to a router in turn.
			time.Sleep(demandTTL + demandTTL + time.Second)
			g.Expect(teamWorkAt(f.nodes[0], stopped.vm)).To(BeZero())
			g.Expect(teamWorkAt(f.nodes[1], stopped.vm)).To(BeZero())
		})
	}
}

// Guards against work of routers that are silent, from whose last reports a router would refuse requests.
func TestWorkOfSilentRoutersExpires(t *testing.T) {
	runFleet(t, 4, func(g *WithT, f *fleet) {
		for _, n := range f.nodes {
			n.source.ShareTeamWork(func(time.Time) fairshare.Sums {
				return fairshare.Sums{{Service: "s", Short: true, Routers: 1, Teams: map[string]float64{"a": 1}}}
			})
		}
		time.Sleep(2 * time.Second)
		g.Expect(teamWorkAt(f.nodes[3], "a")).To(BeNumerically("~", 3, 1e-9))
		for _, n := range f.nodes[:3] {
			n.shutDown()
		}
		time.Sleep(demandTTL + 100*time.Millisecond)
		work, known := f.nodes[3].source.PeerTeamWork()
		g.Expect(work).To(BeEmpty())
		g.Expect(known).To(Equal(3), "it may be cut off")
	})
}

// Guards against a router that doesn't understand messages of routers of the previous version, and against
// messages that those don't understand while nothing is short.
func TestMessagesWithoutWorkOfTeamsAreThoseOfThePreviousVersion(t *testing.T) {
	g := NewWithT(t)
	for _, message := range []any{updateRequest{}, updateReply{}, helloRequest{}, helloReply{}, domainDemand{}} {
		text, err := json.Marshal(message)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(text)).NotTo(ContainSubstring(`"teams"`))
	}
	var d demandTable
	s := &Source{}
	now := time.Now()
	d.record(Member{VM: "old"}, balance.Demand{{Service: "s", Requests: 3}}, now)
	s.recordPollWork("old", nil, now)
	g.Expect(s.work.others(now, "")).To(BeEmpty())
	g.Expect(d.sum(now, "").Routers).To(Equal(1))
}

// Guards against values of another router that are negative or too large.
func TestWorkOfTeamsFromAnotherRouterIsChecked(t *testing.T) {
	g := NewWithT(t)
	bad := fairshare.Sums{{Service: "s", Routers: 1, Teams: map[string]float64{"negative": -1, "huge": 1e300, "ok": 1}}}
	self := Member{VM: "self", FailureDomain: "d"}
	s := &Source{cfg: Config{Self: self}, members: newMembers(self)}
	w := &s.work
	now := time.Now()
	s.recordPollWork("a", bad, now)
	s.recordHelloWork(&helloRequest{From: Member{VM: "b", FailureDomain: "e"}, TeamWork: bad}, now)
	g.Expect(w.others(now, "")[0].Teams).To(Equal(map[string]float64{"ok": 2}))
	s.recordReplyWork(bad, now)
	g.Expect(w.reply.work[0].Teams).To(Equal(map[string]float64{"ok": 1}))
}

// Guards against a router that is counted twice where its failure domain has several readers, because it
// polls one and sends a hello to another, and against one that is lost because only some readers learn of it.
func TestRouterCountsOnceWhereADomainHasSeveralReaders(t *testing.T) {
	const routers, domains, mbps = 14, 2, 5
	runFleetShape(t, routers, domains, mbps, func(g *WithT, f *fleet) {
		g.Expect(len(f.readers())).To(Equal(2*domains), "two readers of each domain")
		for _, n := range f.nodes {
			n.source.ShareTeamWork(func(time.Time) fairshare.Sums {
				return fairshare.Sums{{Service: "s", Rank: 1, Short: true, Routers: 1, Teams: map[string]float64{"all": 1}}}
			})
		}
		time.Sleep(3 * time.Second)
		for range 20 {
			time.Sleep(170 * time.Millisecond)
			for _, n := range f.nodes {
				work, known := n.source.PeerTeamWork()
				g.Expect(known).To(Equal(routers - 1))
				g.Expect(work).To(HaveLen(1))
				g.Expect(work[0].Routers).To(Equal(routers-1), n.vm)
				g.Expect(work[0].Teams["all"]).To(BeNumerically("~", routers-1, 1e-9), n.vm)
			}
		}
	})
}

// Guards against messages whose size grows with the number of teams, against work in each poll, and against
// work in messages while nothing is short.
func TestTeamWorkInMessagesIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := &Source{cfg: Config{Self: Member{VM: "self", FailureDomain: "d"}, PollInterval: 250 * time.Millisecond}}
	now := time.Now()
	peer := Member{VM: "peer", FailureDomain: "d"}
	g.Expect(s.pollWork(peer, now)).To(BeNil())
	g.Expect(s.replyWork(peer, now)).To(BeNil())
	size := func(work fairshare.Sums) int {
		text, err := json.Marshal(work)
		g.Expect(err).NotTo(HaveOccurred())
		return len(text)
	}
	for _, teams := range []int{24, 290, 1000} {
		s.ShareTeamWork(func(time.Time) fairshare.Sums {
			var sums fairshare.Sums
			for rank := range 3 {
				group := fairshare.Group{Service: "service-name", Rank: rank, Short: true, Routers: 27, Teams: make(map[string]float64)}
				for i := range teams {
					group.Teams[fmt.Sprintf("team-%04d", i)] = 10 + float64(i)/7
				}
				sums = append(sums, group)
			}
			return sums
		})
		now = now.Add(time.Minute)
		poll, reply := s.pollWork(peer, now), s.replyWork(peer, now)
		s.work.first = false
		hello := s.work.ownRouters(now).Trim(maxHelloWorkBytes)
		t.Logf("%d teams at 3 ranks: poll %d, reply %d, hello %d bytes", teams, size(poll), size(reply), size(hello))
		g.Expect(size(poll)).To(BeNumerically("<=", maxPollWorkBytes))
		g.Expect(size(reply)).To(BeNumerically("<=", maxReplyWorkBytes))
		g.Expect(size(hello)).To(BeNumerically("<=", maxHelloWorkBytes))
		g.Expect(reply[0].Teams).NotTo(BeEmpty())
		if teams == 24 {
			g.Expect(poll[2].Teams).To(HaveLen(24), "all fit")
		}
		g.Expect(s.pollWork(peer, now.Add(250*time.Millisecond))).To(BeNil(), "at every second poll")
		g.Expect(s.replyWork(peer, now.Add(250*time.Millisecond))).To(BeNil(), "at every second poll")
		g.Expect(s.pollWork(peer, now.Add(500*time.Millisecond))).NotTo(BeNil())
	}
}
