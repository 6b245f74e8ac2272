package membership

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"

	"coveferry/internal/balance"
	"coveferry/internal/load"
	"coveferry/internal/memnet"
	"coveferry/internal/wire"
)

// proberFixture is a tracker with its prober and one agent that can be replaced.
type proberFixture struct {
	g       Gomega
	net     *memnet.Net
	tracker *Tracker
	pool    *balance.Pool
	reg     *prometheus.Registry
	mu      sync.Mutex
	probes  int
	agent   *http.Server
}

const agentAddress = "10.0.0.2:80"

func runWithProber(t *testing.T, test func(*proberFixture)) {
	synctest.Test(t, func(t *testing.T) {
		s := &proberFixture{g: NewWithT(t), net: memnet.New(), pool: balance.NewPool(balance.Config{}), reg: prometheus.NewRegistry()}
		s.tracker = NewTracker(Config{Pool: s.pool, Log: zerolog.Nop(), Metrics: s.reg})
		s.tracker.HandleEvent(BundleApplied{Endpoints: []EndpointSpec{{Endpoint: "e0", VM: "vm0", Address: agentAddress}}})
		client := &http.Client{Transport: &http.Transport{DialContext: s.net.Dialer("r"), DisableKeepAlives: true}}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { NewProber(s.tracker, client, "http").Run(ctx) })
		test(s)
		cancel()
		wg.Wait()
		s.stopAgent()
	})
}

// startAgent starts an agent that always responds with the given status.
func (s *proberFixture) startAgent(status wire.Status) {
	l, err := s.net.Listen(agentAddress)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.agent = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		s.probes++
		s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(status)
	})}
	go s.agent.Serve(l)
}

func (s *proberFixture) stopAgent() {
	if s.agent != nil {
		s.agent.Close()
	}
}

func statusOf(incarnation string, seq uint64, leaving bool) wire.Status {
	return wire.Status{
		Endpoint: "e0", Clock: wire.Clock{Incarnation: incarnation},
		Load: load.Report{Seq: seq, Leaving: leaving},
	}
}

func (s *proberFixture) expectState(state State) {
	s.g.ExpectWithOffset(1, s.tracker.Snapshot(time.Now()).Members[0].State).To(Equal(state))
}

func TestSuspectReturnsWithReducedWeightOnceItResponds(t *testing.T) {
	runWithProber(t, func(s *proberFixture) {
		s.tracker.Failed("e0", "", false)
		time.Sleep(time.Minute)
		s.expectState(Suspect)
		s.startAgent(statusOf("a", 1, false))
		for range 2 * DefaultTuning().ProbeMax / time.Second {
			if s.tracker.Snapshot(time.Now()).Members[0].State != Live {
				time.Sleep(time.Second)
			}
		}
		s.expectState(Live)
		s.g.Expect(s.probes).To(Equal(1))
		weight := s.pool.Views(time.Now(), endpointsOf("e0"))[0].Weight
		s.g.Expect(weight).To(And(BeNumerically(">", 0), BeNumerically("<", 1)))
	})
}

// Probes find the next incarnation of an endpoint that has left, without other events.
// An incarnation that still responds as leaving is not mistaken for it.
func TestLeavingEndpointIsProbedUntilItsNextIncarnation(t *testing.T) {
	runWithProber(t, func(s *proberFixture) {
		s.startAgent(statusOf("a", 2, true))
		s.g.Expect(s.tracker.Answered("e0", wire.Clock{Incarnation: "a"}, time.Time{}, load.Report{Seq: 1, Leaving: true})).To(BeTrue())
		time.Sleep(time.Minute)
		s.expectState(Leaving)
		s.g.Expect(s.probes).To(BeNumerically(">", 2))
		s.stopAgent()
		time.Sleep(time.Minute)
		s.expectState(Gone)
		s.startAgent(statusOf("b", 3, false))
		time.Sleep(DefaultTuning().ProbeMax + time.Second)
		s.expectState(Live)
		s.g.Expect(s.tracker.Answered("e0", wire.Clock{Incarnation: "a"}, time.Time{}, load.Report{Seq: 9, Leaving: true})).To(BeFalse())
	})
}

// A response is rejected if the address now belongs to another endpoint.
func TestProbeResponseOfAnotherEndpointIsRejected(t *testing.T) {
	runWithProber(t, func(s *proberFixture) {
		s.tracker.Failed("e0", "", false)
		other := statusOf("a", 1, false)
		other.Endpoint = "e9"
		s.startAgent(other)
		time.Sleep(time.Minute)
		s.expectState(Suspect)
	})
}

func TestSnapshotAndMetricsExportStatesAndListAge(t *testing.T) {
	runWithProber(t, func(s *proberFixture) {
		g := s.g
		g.Expect(testutil.GatherAndCount(s.reg, "coveferry_membership_list_age_seconds")).To(Equal(0))
		s.tracker.HandleEvent(ListRead{At: time.Now(), VMs: []VM{{Name: "vm0", Leaving: true}}})
		time.Sleep(2 * time.Second)
		g.Expect(testutil.GatherAndCount(s.reg, "coveferry_membership_list_age_seconds")).To(Equal(1))
		g.Expect(s.tracker.Snapshot(time.Now()).countState(Leaving)).To(Equal(1))
		snapshot := s.tracker.Snapshot(time.Now())
		g.Expect(snapshot.Members[0].Age.Std()).To(Equal(2 * time.Second))
		g.Expect(snapshot.ListAge.Std()).To(Equal(2 * time.Second))
	})
}
