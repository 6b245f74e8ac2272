package membership

// A new process under an endpoint's name must not inherit the leaving status, the broken
// connections or the delayed messages of the process before it. Without the incarnations that the
// source of the endpoints provides, an endpoint that reported leaving and then restarts would stay
// out of use until its entry changes, and all statuses of a new process at another address would be
// rejected as outdated.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func bundleWithIncarnation(incarnation string) BundleApplied {
	return BundleApplied{Endpoints: []EndpointSpec{{Endpoint: "e0", VM: "vm0", Address: "10.0.0.1:1", Incarnation: incarnation}}}
}

func TestNewProcessUnderTheSameNameStartsLive(t *testing.T) {
	for name, before := range map[string]func(*coreFixture){
		"leaving by the list": func(s *coreFixture) { s.readList("0s", []string{"!0"}) },
		"leaving by its status": func(s *coreFixture) {
			s.apply(AgentStatus{Endpoint: "e0", Incarnation: "100", Leaving: true, Via: ReasonReport})
		},
		"suspect": func(s *coreFixture) { s.apply(ConnectionFailure{Endpoint: "e0", Incarnation: "100", Kind: Refused}) },
		"live":    func(*coreFixture) {},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCoreFixture(NewWithT(t), 0)
			s.apply(bundleWithIncarnation("100"))
			s.readList("0s", []string{"0"})
			s.advanceTime("1s")
			before(s)
			changes := s.apply(bundleWithIncarnation("200"))
			s.g.Expect(changes).To(HaveLen(1))
			s.g.Expect(changes[0].Reason).To(Equal(ReasonRestarted))
			s.g.Expect(changes[0].To).To(Equal(Live))
			s.readList("1s", []string{"0"})
			s.g.Expect(s.core.Members()[0].State).To(Equal(Live))

			// A delayed failure of the previous process is ignored.
			s.apply(ConnectionFailure{Endpoint: "e0", Incarnation: "100", Kind: Refused})
			s.g.Expect(s.core.Members()[0].State).To(Equal(Live))
			s.g.Expect(s.core.Accepts(AgentStatus{Endpoint: "e0", Incarnation: "200"})).To(BeTrue())
			// The new process's own failures count.
			s.apply(ConnectionFailure{Endpoint: "e0", Incarnation: "200", Kind: Refused})
			s.g.Expect(s.core.Members()[0].State).To(Equal(Suspect))
		})
	}
}

func TestSameProcessKeepsItsState(t *testing.T) {
	s := newCoreFixture(NewWithT(t), 0)
	s.apply(bundleWithIncarnation("100"))
	s.readList("0s", []string{"!0"})
	s.g.Expect(s.apply(bundleWithIncarnation("100"))).To(BeEmpty())
	s.g.Expect(s.core.Members()[0].State).To(Equal(Leaving))
}

func TestStatusOfReplacedProcessIsOutdated(t *testing.T) {
	s := newCoreFixture(NewWithT(t), 0)
	s.apply(bundleWithIncarnation("100")) // its first status arrives after it has ended
	s.apply(bundleWithIncarnation("200"))
	s.now = s.now.Add(time.Second)
	s.g.Expect(s.core.Accepts(AgentStatus{Endpoint: "e0", Incarnation: "100"})).To(BeFalse())
}
