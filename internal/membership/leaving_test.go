package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// oneProcess is a bundle with the endpoint e0 that runs the process, and another one.
func oneProcess(process string) BundleApplied {
	return BundleApplied{Endpoints: []EndpointSpec{
		{Endpoint: "e0", VM: "vm0", Address: "10.0.0.1:80", Incarnation: process}, {Endpoint: "e1", VM: "vm1"},
	}}
}

func without(endpoint string, b BundleApplied) BundleApplied {
	var rest BundleApplied
	for _, spec := range b.Endpoints {
		if spec.Endpoint != endpoint {
			rest.Endpoints = append(rest.Endpoints, spec)
		}
	}
	return rest
}

// An entry of the list that lapses during an outage comes back as it was written before.
func TestProcessThatReportedLeavingIsNotUsedAgainAfterItsEntryWasGone(t *testing.T) {
	g := NewWithT(t)
	s := &coreFixture{g: g, core: NewCore(Tuning{}), now: epoch}
	stateOf := func() State { return s.core.Members()[0].State }
	s.apply(oneProcess("p1"))
	s.apply(AgentStatus{Endpoint: "e0", Incarnation: "p1", Seq: 1, Leaving: true, Via: ReasonReport})
	g.Expect(stateOf()).To(Equal(Leaving))
	s.now = s.now.Add(10 * time.Second)
	s.apply(without("e0", oneProcess("p1")))
	s.now = s.now.Add(10 * time.Second)
	s.apply(oneProcess("p1"))
	g.Expect(stateOf()).To(Equal(Leaving), "the same process")
	s.apply(AgentStatus{Endpoint: "e0", Incarnation: "p1", Seq: 2, Via: ReasonReport, Sent: epoch})
	g.Expect(stateOf()).To(Equal(Leaving), "an answer to a request sent before it said so")
	s.apply(oneProcess("p2"))
	g.Expect(stateOf()).To(Equal(Live), "another process of the same name")
}

func TestProcessesThatReportedLeavingAreRememberedForABoundedTime(t *testing.T) {
	g := NewWithT(t)
	s := &coreFixture{g: g, core: NewCore(Tuning{}), now: epoch}
	for i := range 2 * maxDeparting {
		process := fmt.Sprint("p", i)
		s.apply(oneProcess(process))
		s.apply(AgentStatus{Endpoint: "e0", Incarnation: process, Seq: 1, Leaving: true, Via: ReasonReport})
		s.apply(without("e0", oneProcess(process)))
	}
	g.Expect(len(s.core.departing)).To(BeNumerically("<=", maxDeparting))
	s.now = s.now.Add(departingTTL)
	s.apply(oneProcess("p1"))
	g.Expect(s.core.Members()[0].State).To(Equal(Live), "too long ago")
}

// No value may lose an endpoint for good: a leaving one fails its health checks.
func TestPassedHealthCheckEndsWhatAnAnswerSaid(t *testing.T) {
	g := NewWithT(t)
	s := &coreFixture{g: g, core: NewCore(Tuning{}), now: epoch}
	stateOf := func() State { return s.core.Members()[0].State }
	passed := func(sent time.Time) {
		s.apply(AgentStatus{Endpoint: "e0", Incarnation: "p1", Accepting: true, Via: ReasonCheck, Sent: sent})
	}
	s.apply(oneProcess("p1"))
	s.apply(AgentStatus{Endpoint: "e0", Incarnation: "p1", Seq: 1, Leaving: true, Via: ReasonReport})
	s.now = s.now.Add(5 * time.Second)
	passed(epoch.Add(-time.Millisecond))
	g.Expect(stateOf()).To(Equal(Leaving), "a check sent before the answer")
	passed(s.now)
	g.Expect(stateOf()).To(Equal(Live))
	s.apply(AgentStatus{Endpoint: "e0", Incarnation: "p1", Seq: 2, Leaving: true, Via: ReasonReport})
	g.Expect(stateOf()).To(Equal(Leaving), "it says so again")
	s.now = s.now.Add(5 * time.Second)
	passed(s.now)
	s.readList("0s", []string{"!0", "1"})
	passed(s.now)
	g.Expect(stateOf()).To(Equal(Leaving), "the list says so")
}
