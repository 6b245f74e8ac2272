package peers

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/age"
	"coveferry/internal/age/agetest"
	"coveferry/internal/bundle"
	"coveferry/internal/directory"
	"coveferry/internal/memnet"
	"coveferry/internal/route"
)

// maxReadyAge is the age at which a router reports that it isn't ready, with the bound on keys that
// maxAge comes from.
const maxReadyAge = 2820 * time.Millisecond

// Guards against a router that reads its first state from one that has not confirmed its own yet.
func TestAgeOfTheStateIsTrueAfterRoutersStartTogether(t *testing.T) {
	for _, routers := range []int{3, 12, 60, 103} {
		for _, inSeries := range []time.Duration{0, 500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d routers within %s", routers, inSeries), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := &fleet{net: memnet.New(), origin: &fakeOrigin{version: 1, refused: make(map[string]bool)}, onConfigTime: 60 * time.Millisecond}
					defer f.stopAll()
					f.refuseAll(routers)
					f.startNodes(g, routers, inSeries)
					time.Sleep(time.Second)
					f.refuseNone()
					time.Sleep(4 * time.Second)
					for _, n := range f.nodes {
						g.Expect(n.follower.Routes().Age.Exceeds(maxReadyAge)).To(BeFalse(), "%s at %s while the origin answers", n.vm, n.follower.Routes().Age)
					}
					f.refuseAll(routers)
					time.Sleep(2 * maxReadyAge)
					for _, n := range f.nodes {
						age, known := n.follower.Routes().Age.Get()
						g.Expect(known).To(BeTrue(), n.vm)
						g.Expect(age).To(BeNumerically(">", maxReadyAge), "%s while the origin refuses", n.vm)
					}
				})
			})
		}
	}
}

func (f *fleet) refuseAll(routers int) {
	for i := range routers {
		f.refuse(fmt.Sprint("vm", i))
	}
}

func (f *fleet) refuseNone() {
	f.origin.mu.Lock()
	defer f.origin.mu.Unlock()
	clear(f.origin.refused)
}

// Guards against an unknown age that overflows at the receiver.
func TestStateThatWasNeverConfirmedIsNotSent(t *testing.T) {
	g := NewWithT(t)
	n := newServingSource()
	n.SetState(fixedState{config: &route.Config{Version: 1}, list: listOf("e")})
	_, err := n.serveUpdate(context.Background(), testPeer, updateRequest{})
	g.Expect(err).To(MatchError(errNoState))
	_, err = n.servePage(context.Background(), testPeer, pageRequest{})
	g.Expect(err).To(MatchError(errNoState))
	n.SetState(fixedState{config: &route.Config{Version: 1}, list: listOf("e"), age: age.Of(1500 * time.Microsecond)})
	reply, err := n.serveUpdate(context.Background(), testPeer, updateRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(*reply.AgeMillis).To(Equal(int64(2)), "rounded up")
}

// Guards against a peer that makes its state look new by an age that can't be.
func TestAgesThatNoStateCanHaveAreNotBelieved(t *testing.T) {
	g := NewWithT(t)
	s := newServingSource()
	for _, millis := range append([]int64{maxAge.Milliseconds() + 1}, agetest.ImpossibleMillis...) {
		_, err := s.checkAge(Member{VM: "peer"}, &millis)
		g.Expect(err).To(HaveOccurred(), "%d", millis)
	}
	_, err := s.checkAge(Member{VM: "peer"}, nil)
	g.Expect(err).To(MatchError(ContainSubstring("unknown")))
	millis := maxAge.Milliseconds()
	g.Expect(s.checkAge(Member{VM: "peer"}, &millis)).To(Equal(maxAge))
}

func newServingSource() *Source {
	return New(Config{Self: Member{VM: "reader", FailureDomain: "d"}, MaxAge: maxAge, PollInterval: 250 * time.Millisecond, Clock: time.Now})
}

func listOf(names ...string) *directory.Directory {
	reading := directory.Reading{Full: true, Revision: directory.Revision{Number: 1}}
	for _, name := range names {
		reading.Entries = append(reading.Entries, directory.Entry{Endpoint: bundle.Endpoint{Name: name, Address: name, Services: []string{"s"}}})
	}
	list, _ := directory.Empty().Merge(reading, time.Now(), time.Time{})
	return list
}
