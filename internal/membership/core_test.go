package membership

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// coreFixture runs the steps of a scenario on a core. Agent statuses and
// expectations refer to the endpoint e0.
type coreFixture struct {
	g    Gomega
	core *Core
	now  time.Time
}

func newCoreFixture(g Gomega, endpoints int) *coreFixture {
	s := &coreFixture{g: g, core: NewCore(Tuning{}), now: epoch}
	s.apply(bundleOf(endpoints))
	return s
}

func bundleOf(n int) BundleApplied {
	var b BundleApplied
	for i := range n {
		b.Endpoints = append(b.Endpoints, EndpointSpec{Endpoint: fmt.Sprint("e", i), VM: fmt.Sprint("vm", i)})
	}
	return b
}

func (s *coreFixture) apply(ev Event) []Change { return s.core.Apply(s.now, ev) }

// readList applies a list as of now plus the given offset that holds the VMs with
// these numbers; a "!" before the number marks a leaving VM.
func (s *coreFixture) readList(offset string, vms []string) {
	at, err := time.ParseDuration(offset)
	s.g.Expect(err).NotTo(HaveOccurred())
	read := ListRead{At: s.now.Add(at)}
	for _, vm := range vms {
		number, leaving := strings.CutPrefix(vm, "!")
		read.VMs = append(read.VMs, VM{Name: "vm" + number, Leaving: leaving})
	}
	s.apply(read)
}

func (s *coreFixture) applyStatus(via Reason, incarnation, seq string, leaving bool) {
	n, err := strconv.ParseUint(seq, 10, 64)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.apply(AgentStatus{Endpoint: "e0", Incarnation: incarnation, Seq: n, Leaving: leaving, Via: via})
}

func (s *coreFixture) advanceTime(d string) {
	passed, err := time.ParseDuration(d)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.now = s.now.Add(passed)
	s.core.Tick(s.now)
}

// runStep runs one step: a verb and its arguments.
func (s *coreFixture) runStep(verb string, args ...string) {
	m := s.core.Members()[0]
	age, _ := s.core.ListAge(s.now)
	switch verb {
	case "list":
		s.readList(args[0], args[1:])
	case "report", "notice":
		s.applyStatus(Reason(verb), args[0], args[1], slices.Contains(args, "leaving"))
	case "refused":
		s.apply(ConnectionFailure{Endpoint: "e0", Kind: Refused})
	case "broken":
		s.apply(ConnectionFailure{Endpoint: "e0", Kind: Broken})
	case "wait":
		s.advanceTime(args[0])
	case "bundle":
		s.apply(bundleOf(len(args)))
	case "moved":
		s.apply(BundleApplied{Endpoints: []EndpointSpec{{Endpoint: "e0", VM: "vm9", Address: "10.0.0.9:1"}}})
	case "is":
		s.g.Expect([]string{string(m.State), string(m.Reason)}).To(Equal(args))
	case "probed":
		s.g.Expect(s.core.Probes(s.now)).To(HaveExactElements(args))
	case "unprobed":
		s.g.Expect(s.core.Probes(s.now)).To(BeEmpty())
	case "age":
		s.g.Expect(age.String()).To(Equal(args[0]))
	case "late":
		s.g.Expect(s.core.Accepts(AgentStatus{Endpoint: "e0", Incarnation: args[0]})).To(BeFalse())
	default:
		panic(verb)
	}
}

// Each scenario starts with eight endpoints whose VMs are listed as live.
var scenarios = map[string]string{
	"report alone":                     "report a 1 leaving; is leaving report; refused; is gone report",
	"notice alone":                     "notice a 1 leaving; is leaving notice; refused; is gone notice",
	"list alone":                       "list 0s !0 1 2 3 4 5 6 7; is leaving list; refused; is gone list",
	"broken twice in a row is suspect": "broken; report a 1; broken; is live bundle; broken; is suspect connection; report a 2; is live returned",
	"refused is suspect at once":       "refused; is suspect connection",

	"a lagging or flapping list doesn't return an endpoint that reported leaving, but triggers a probe": "report a 1 leaving; report a 2; list 0s 1 2 3 4 5 6 7; " +
		"unprobed; list 1s 0 1 2 3 4 5 6 7; is leaving report; probed e0",
	"a new incarnation returns the endpoint and previous ones are ignored": "report a 1; report a 2 leaving; report b 10; is live returned; " +
		"report a 3 leaving; report unheard 4 leaving; is live returned; late a; report c 20 leaving; is leaving report",
	"leaving in the list persists through responses and restarts until the list is stale": "report a 1; list 0s !0 1 2 3 4 5 6 7; wait 1s; report a 2; " +
		"report b 3; is leaving list; wait 30s; is live returned",
	"leaving in a stale list persists for the same incarnation": "report a 1; list 0s !0 1 2 3 4 5 6 7; wait 1h; report a 2; is leaving list",

	"empty and older lists don't replace the last valid one": "list 0s !0 1 2 3 4 5 6 7; list 1s; is leaving list; list -1s 0 1 2 3 4 5 6 7; is leaving list; " +
		"wait 1m; age 1m0s; list -61s 0 1 2 3 4 5 6 7; is live returned",
	"a list that does not advance ages": "wait 1m; list -1m1s 0 1 2 3 4 5 6 7; age 1m1s",
	"removal of many VMs from the list needs a failure from another source": "list 0s 3 4 5 6 7; is live bundle; refused; is gone list; " +
		"list 1s 0 3 4 5 6 7; is suspect connection",
	"an endpoint that was removed from the list returns if it responds": "report a 1; list 0s 1 2 3 4 5 6 7; is gone list; wait 1s; report a 2; is live returned",
	"an endpoint that was removed from the list while leaving stays gone although it still responds": "report a 1; list 0s !0 1 2 3 4 5 6 7; wait 1s; list 0s 1 2 3 4 5 6 7; " +
		"wait 1s; report a 2; is gone list; report b 3; is live returned",

	"a bundle that doesn't change the endpoint keeps its state": "report a 1 leaving; bundle 0 1; is leaving report",
	"a bundle that moves an endpoint returns it":                "report a 1 leaving; moved; is live returned; report a 2 leaving; is live returned",
}

func TestScenarios(t *testing.T) {
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			s := newCoreFixture(NewWithT(t), 8)
			s.runStep("list", "0s", "0", "1", "2", "3", "4", "5", "6", "7")
			s.runStep("wait", "1s")
			for step := range strings.SplitSeq(scenario, "; ") {
				fields := strings.Fields(step)
				s.runStep(fields[0], fields[1:]...)
			}
		})
	}
}

func TestOnlyEndpointsOfTheBundleAreUsed(t *testing.T) {
	s := newCoreFixture(NewWithT(t), 1)
	s.readList("0s", []string{"0", "4"})
	s.apply(AgentStatus{Endpoint: "e4", Incarnation: "a"})
	s.g.Expect(s.core.Members()).To(HaveLen(1))
	changes := s.apply(BundleApplied{Endpoints: []EndpointSpec{{Endpoint: "e1", VM: "vm1"}}})
	s.g.Expect(changes).To(Equal([]Change{{Endpoint: "e0", From: Live, To: Gone, Reason: ReasonBundle}}))
}

func TestProbesAreBoundedAndSpread(t *testing.T) {
	s := newCoreFixture(NewWithT(t), 100)
	for i := range 100 {
		s.apply(ConnectionFailure{Endpoint: fmt.Sprint("e", i), Kind: Refused})
	}
	s.runStep("unprobed")
	probes := make(map[string]int)
	for range 10 * 60 {
		s.advanceTime("1s")
		due := s.core.Probes(s.now)
		s.g.Expect(len(due)).To(BeNumerically("<=", DefaultTuning().ProbeBatch))
		for _, name := range due {
			probes[name]++
		}
	}
	s.g.Expect(probes).To(HaveLen(100), "the longest overdue endpoint is probed first")

	s = newCoreFixture(NewWithT(t), 1)
	s.runStep("refused")
	total := 0
	for range 10 * 60 {
		s.advanceTime("1s")
		total += len(s.core.Probes(s.now))
	}
	s.g.Expect(total).To(BeNumerically("<", 6+600/22))
	s.runStep("report", "a", "1")
	s.advanceTime("1h")
	s.runStep("unprobed")
}

func TestUnresponsiveEndpointIsSuspectUntilItResponds(t *testing.T) {
	g := NewWithT(t)
	s := newCoreFixture(g, 2)
	s.apply(Unresponsive{Endpoint: "e0"})
	g.Expect(s.core.Members()[0].State).To(Equal(Suspect))
	s.advanceTime("600ms")
	g.Expect(s.core.Probes(s.now)).To(Equal([]string{"e0"}))
	s.applyStatus(ReasonReport, "a", "1", false)
	g.Expect(s.core.Members()[0].State).To(Equal(Live))
}

func TestUnresponsiveEndpointStaysSuspectDespitePassingHealthChecks(t *testing.T) {
	g := NewWithT(t)
	s := newCoreFixture(g, 2)
	for range 5 {
		s.apply(Unresponsive{Endpoint: "e0"})
		s.advanceTime("200ms")
		s.applyStatus(ReasonCheck, "a", "0", false)
		s.core.Tick(s.now)
		g.Expect(s.core.Members()[0].State).To(Equal(Suspect))
	}
	s.advanceTime("1100ms") // its requests have ended, with or without a response
	s.core.Tick(s.now)
	g.Expect(s.core.Members()[0].State).To(Equal(Live))
}

// An unresponsive endpoint may recover at any time, and only a probe finds out.
func TestUnresponsiveEndpointIsProbedEachSecondUntilItResponds(t *testing.T) {
	g := NewWithT(t)
	s := newCoreFixture(g, 2)
	s.apply(Unresponsive{Endpoint: "e0"})
	checks := 0
	for range 40 {
		s.advanceTime("250ms")
		checks += len(s.core.Probes(s.now))
		s.core.Tick(s.now)
	}
	g.Expect(checks).To(BeNumerically("~", 10, 2), "in ten seconds")
	g.Expect(s.core.Members()[0].State).To(Equal(Suspect), "it has not responded")
	s.applyStatus(ReasonCheck, "a", "0", false)
	s.core.Tick(s.now)
	g.Expect(s.core.Members()[0].State).To(Equal(Live))
}
