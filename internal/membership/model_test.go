package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed, so that each run checks the same cases; pass
// -rapid.seed for others.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// simulation holds the true state of the processes, of which the core receives
// delayed and incomplete information.
type simulation struct {
	now       time.Time
	core      *Core
	processes []process
	statuses  []AgentStatus // all that were created, delivered or not
	allLists  []ListRead
	// lastRead is the last list that was read while the platform was available.
	lastRead ListRead
}

type process struct {
	number    int
	leaving   bool // by its own status
	vmLeaving bool // by the platform's list
	// delivered means that its own status has reached the core.
	delivered bool
}

const simulatedEndpoints = 6

func newSimulation() *simulation {
	s := &simulation{now: epoch, core: NewCore(Tuning{}), processes: make([]process, simulatedEndpoints)}
	s.core.Apply(s.now, bundleOf(simulatedEndpoints))
	return s
}

// tick gives each status and each list a different time.
func (s *simulation) tick() { s.now = s.now.Add(time.Millisecond) }

func (s *simulation) newStatus(i int) AgentStatus {
	s.tick()
	p := s.processes[i]
	status := AgentStatus{
		Endpoint: fmt.Sprint("e", i), Incarnation: fmt.Sprint(p.number),
		Seq: uint64(s.now.Sub(epoch)), Leaving: p.leaving, Via: ReasonReport,
	}
	s.statuses = append(s.statuses, status)
	return status
}

func (s *simulation) newList() ListRead {
	s.tick()
	read := ListRead{At: s.now}
	for i, p := range s.processes {
		read.VMs = append(read.VMs, VM{Name: fmt.Sprint("vm", i), Leaving: p.vmLeaving})
	}
	s.allLists = append(s.allLists, read)
	return read
}

func (s *simulation) restart(i int) { s.processes[i] = process{number: s.processes[i].number + 1} }

func (s *simulation) deliverStatus(i int) {
	s.core.Apply(s.now, s.newStatus(i))
	s.processes[i].delivered = true
}

func (s *simulation) readList() {
	s.lastRead = s.newList()
	s.core.Apply(s.now, s.lastRead)
}

// checkInvariant checks that an endpoint that is known to be leaving, from its own status
// or a list that isn't stale, accepts no requests, whatever other events there were.
func (s *simulation) checkInvariant(t *rapid.T) {
	fresh := len(s.lastRead.VMs) > 0 && s.now.Sub(s.lastRead.At) <= DefaultTuning().ListStaleAfter
	for i, m := range s.core.Members() {
		p := s.processes[i]
		knownLeaving := p.leaving && p.delivered || fresh && s.lastRead.VMs[i].Leaving
		if knownLeaving && m.State.acceptsRequests() {
			t.Fatalf("%s is %s (%s) although it is known to be leaving", m.Endpoint, m.State, m.Reason)
		}
	}
}

// checkRecovery restarts all processes and checks that all endpoints become live.
func (s *simulation) checkRecovery(t *rapid.T) {
	for i := range s.processes {
		s.now = s.now.Add(time.Second)
		s.restart(i)
	}
	for range 2 {
		s.now = s.now.Add(time.Second)
		s.readList()
	}
	for i := range s.processes {
		s.deliverStatus(i)
	}
	for _, m := range s.core.Members() {
		if m.State != Live {
			t.Fatalf("%s stays %s (%s) after all sources recovered", m.Endpoint, m.State, m.Reason)
		}
	}
}

func TestLeavingEndpointsGetNoRequestsAndAllRecover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		any := rapid.IntRange(0, simulatedEndpoints-1)
		s.readList()
		t.Repeat(map[string]func(*rapid.T){
			"agent leaves": func(t *rapid.T) {
				p := &s.processes[any.Draw(t, "i")]
				p.leaving, p.delivered = true, p.delivered && p.leaving
			},
			"platform marks VM as leaving": func(t *rapid.T) { s.processes[any.Draw(t, "i")].vmLeaving = true },
			"VM is replaced":               func(t *rapid.T) { s.restart(any.Draw(t, "i")) },
			"agent restarts": func(t *rapid.T) {
				i := any.Draw(t, "i")
				vmLeaving := s.processes[i].vmLeaving
				s.restart(i)
				s.processes[i].vmLeaving = vmLeaving
			},
			"fresh status arrives": func(t *rapid.T) { s.deliverStatus(any.Draw(t, "i")) },
			"status is created":    func(t *rapid.T) { s.newStatus(any.Draw(t, "i")) }, // not delivered yet
			"read list":            func(*rapid.T) { s.readList() },
			"make list":            func(*rapid.T) { s.newList() },
			"late status arrives": func(t *rapid.T) {
				if len(s.statuses) > 0 {
					s.core.Apply(s.now, rapid.SampledFrom(s.statuses).Draw(t, "status"))
				}
			},
			"read late list": func(t *rapid.T) {
				late := rapid.SampledFrom(s.allLists).Draw(t, "list")
				if s.now.Sub(s.lastRead.At) > DefaultTuning().ListStaleAfter {
					return // the core accepts any list once the last one is stale
				}
				s.core.Apply(s.now, late)
				if late.At.After(s.lastRead.At) {
					s.lastRead = late
				}
			},
			"empty list": func(*rapid.T) { s.core.Apply(s.now, ListRead{At: s.now}) },
			"connection fails": func(t *rapid.T) {
				kind := rapid.SampledFrom([]FailureKind{Refused, Broken}).Draw(t, "result")
				s.core.Apply(s.now, ConnectionFailure{Endpoint: fmt.Sprint("e", any.Draw(t, "i")), Kind: kind})
			},
			"time passes": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
				s.core.Tick(s.now)
			},
			"": s.checkInvariant,
		})
		s.checkRecovery(t)
	})
}

// For any sequence of lists, the endpoints that are gone by removal from the list alone
// stay within Tuning.MaxRemovedShare.
func TestListAloneRemovesAtMostMaxRemovedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		s.readList()
		for range rapid.IntRange(1, 10).Draw(t, "lists") {
			s.now = s.now.Add(time.Second)
			read := ListRead{At: s.now}
			for _, i := range rapid.SliceOfDistinct(rapid.IntRange(0, simulatedEndpoints-1), rapid.ID).Draw(t, "vms") {
				read.VMs = append(read.VMs, VM{Name: fmt.Sprint("vm", i)})
			}
			s.core.Apply(s.now, read)
			gone := 0
			for _, m := range s.core.Members() {
				if m.State == Gone {
					gone++
				}
			}
			if gone > 1 { // a quarter of six
				t.Fatalf("%d endpoints are gone because of the list alone", gone)
			}
		}
	})
}
