package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/streamversion"
)

// seenBy returns the routers that a router knows: all of its failure domain and a few of each other.
func seenBy(self Member, all map[string][]Member) map[string][]Member {
	known := make(map[string][]Member)
	for domain, routers := range all {
		if domain != self.FailureDomain {
			routers = reachable(routers)
		}
		known[domain] = routers
	}
	return known
}

// fleetOf returns routers by failure domain, in the order of rank.
func fleetOf(size, domains int) (list []Member, all map[string][]Member) {
	all = make(map[string][]Member)
	var seen []seenMember
	for i := range size {
		m := Member{VM: fmt.Sprint("vm", i), FailureDomain: fmt.Sprint("d", i%domains)}
		list = append(list, m)
		seen = append(seen, seenMember{member: m, rank: rank(m)})
	}
	for _, h := range sortByRank(seen) {
		all[h.member.FailureDomain] = append(all[h.member.FailureDomain], h.member)
	}
	return list, all
}

func without(all map[string][]Member, gone Member) map[string][]Member {
	rest := make(map[string][]Member)
	for domain, routers := range all {
		for _, m := range routers {
			if m != gone {
				rest[domain] = append(rest[domain], m)
			}
		}
	}
	return rest
}

func TestAnyRouterFindsAStreamWhoseRouterWasLost(t *testing.T) {
	for _, shape := range []struct{ routers, domains int }{{2, 1}, {2, 2}, {3, 1}, {3, 3}, {4, 3}, {12, 3}, {31, 3}, {31, 8}, {103, 9}, {357, 27}} {
		t.Run(fmt.Sprint(shape.routers, " in ", shape.domains), func(t *testing.T) {
			g := NewWithT(t)
			list, all := fleetOf(shape.routers, shape.domains)
			found, most := 0, 0
			const streams = 400
			for i := range streams {
				id := streamversion.IDOf(fmt.Sprint("stream", i))
				beganIt, resumesIt := list[i%len(list)], list[(i*7+1+i%len(list))%len(list)]
				if beganIt == resumesIt {
					resumesIt = list[(i+1)%len(list)]
				}
				holders := holdersOf(id, beganIt, seenBy(beganIt, all))
				g.Expect(holders).NotTo(ContainElement(beganIt))
				g.Expect(len(holders)).To(BeNumerically("<=", 2))
				known := seenBy(resumesIt, without(all, beganIt))
				asked := ownHoldersOf(id, resumesIt, known)
				most = max(most, len(asked))
				for _, m := range append(append(asked, otherHoldersOf(id, resumesIt, known)...), resumesIt) {
					if m == holders[0] || len(holders) > 1 && m == holders[1] {
						found++
						break
					}
				}
			}
			g.Expect(most).To(BeNumerically("<=", 3), "asked at first at any size")
			g.Expect(found).To(Equal(streams))
		})
	}
}

// fakeStreams stands in for the registry of a router.
type fakeStreams map[streamversion.StreamID]streamversion.ServiceVersion

func (f fakeStreams) Record(_ time.Time, s streamversion.Stream) { f[s.ID] = s.ServiceVersion }

func (f fakeStreams) Answer(_ context.Context, _ time.Time, q streamversion.Query) streamversion.Answer {
	o, known := f[q.ID]
	return streamversion.Answer{ServiceVersion: o, Known: known, Only: "v9", Single: q.Window == time.Second}
}

func TestStreamsAreToldAndFoundThroughRealCalls(t *testing.T) {
	for _, routers := range []int{2, 4, 12} {
		runFleet(t, routers, func(g *WithT, f *fleet) {
			for _, n := range f.nodes {
				n.source.ServeStreams(fakeStreams{})
			}
			var streams []streamversion.Stream
			for i := range 50 {
				streams = append(streams, streamversion.Stream{
					ID: streamversion.IDOf(fmt.Sprint(i)), ServiceVersion: streamversion.ServiceVersion{Service: "s", Version: fmt.Sprint("v", i%3)},
				})
			}
			f.nodes[0].source.TellStreams(context.Background(), streams)
			for i, s := range streams {
				for _, n := range f.nodes[1:] {
					own := (*n.source.streams.Load()).Answer(context.Background(), time.Now(), streamversion.Query{ID: s.ID})
					answers := append(n.source.AskStream(context.Background(), streamversion.Query{ID: s.ID, Service: "s", Window: time.Second}), own)
					known := 0
					for _, a := range answers {
						if a.Known {
							known++
							g.Expect(a.ServiceVersion).To(Equal(streams[i].ServiceVersion))
						}
					}
					g.Expect(known).To(BeNumerically(">", 0), "%d routers", routers)
				}
			}
			unknown := f.nodes[1].source.AskStream(context.Background(), streamversion.Query{Service: "s", Window: time.Second})
			g.Expect(unknown).NotTo(BeEmpty())
			g.Expect(unknown[0]).To(Equal(streamversion.Answer{Only: "v9", Single: true}))
		})
	}
}

// The router that a stream is told to has just been lost.
func TestStreamIsToldToTheRouterThatTakesTheLostOnesPlace(t *testing.T) {
	runFleet(t, 8, func(g *WithT, f *fleet) {
		for _, n := range f.nodes {
			n.source.ServeStreams(fakeStreams{})
		}
		s := streamversion.Stream{ID: streamversion.IDOf("x"), ServiceVersion: streamversion.ServiceVersion{Service: "s", Version: "v1"}}
		holders := holdersOf(s.ID, f.nodes[0].source.cfg.Self, f.nodes[0].source.members.byDomain(time.Now()))
		for _, n := range f.nodes {
			if n.vm == holders[0].VM {
				n.shutDown()
			}
		}
		f.nodes[0].source.TellStreams(context.Background(), []streamversion.Stream{s})
		copies := 0
		for _, n := range f.nodes {
			if (*n.source.streams.Load()).Answer(context.Background(), time.Now(), streamversion.Query{ID: s.ID}).Known {
				copies++
			}
		}
		g.Expect(copies).To(Equal(2))
	})
}

// A router of the size to design for begins 80 streams a second, and has 17 KB a second for all that
// routers tell each other.
func TestTellingOfStreamsTakesFewBytes(t *testing.T) {
	g := NewWithT(t)
	const perSecond, bound = 80, 17 << 10
	for _, shape := range []struct {
		routers, domains, tells int
	}{{3, 3, 20}, {31, 3, 4}, {103, 9, 4}, {357, 27, 4}, {880, 27, 4}} {
		list, all := fleetOf(shape.routers, shape.domains)
		sent, calls := 0, 0
		for tell := range shape.tells {
			byHolder := make(map[Member][]streamversion.Stream)
			for i := range perSecond / shape.tells {
				s := streamversion.Stream{ID: streamversion.IDOf(fmt.Sprint(tell, "-", i)), ServiceVersion: streamversion.ServiceVersion{Service: "lm-pool", Version: "v1.1"}}
				for _, h := range holdersOf(s.ID, list[0], seenBy(list[0], all)) {
					byHolder[h] = append(byHolder[h], s)
				}
			}
			for _, held := range byHolder {
				text, err := json.Marshal(tellStreamsRequest{Groups: groupByVersion(held)})
				g.Expect(err).NotTo(HaveOccurred())
				sent += len(text) + jsonRPCBytes
				calls++
			}
		}
		t.Logf("%d routers in %d failure domains: %d calls and %.1f KB a second", shape.routers, shape.domains, calls, float64(sent)/1024)
		g.Expect(sent).To(BeNumerically("<", bound))
	}
}

// jsonRPCBytes is the size of the envelopes of a call and its reply.
const jsonRPCBytes = 110
