package placement

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"coveferry/internal/bundle"
)

// receivedOrders lists the orders that an engine received, and checks that
// their fencing tokens increase.
func (s *testCluster) receivedOrders(i int) []string {
	var out []string
	var fence uint64
	for _, o := range s.engines[i].State().Orders {
		s.Expect(o.Fence).To(gomega.BeNumerically(">", fence))
		fence = o.Fence
		out = append(out, fmt.Sprintf("%s %s %v", o.Kind, o.Target, o.Accepted))
	}
	return out
}

func TestLoadsPrecedeUnloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t, 3)
		s.startAll()
		s.setPlacement(1, func(i int) bundle.Placement {
			if i > 0 {
				return placementOf("old")
			}
			return bundle.Placement{Models: []string{"new"}, Adapters: []string{"adapter"}, Version: "v2", Role: "decode"}
		})
		time.Sleep(time.Minute)
		s.Expect(s.receivedOrders(0)).To(gomega.Equal([]string{
			"set_version v2 true", "set_role decode true", "load_model new true", "load_adapter adapter true", "unload_model old true",
		}))
		s.Expect(s.receivedOrders(1)).To(gomega.Equal([]string{"set_role decode true"}))
		s.Expect(s.runners[0].Status()).To(gomega.And(
			gomega.HaveField("Reason", ReasonPlaced), gomega.HaveField("Loaded", gomega.ConsistOf("new", "adapter"))))

		s.engines[0].Crash() // loses all that was ordered
		s.engines[0].Restart()
		time.Sleep(time.Minute)
		s.Expect(s.engines[0].State()).To(gomega.And(
			gomega.HaveField("Models", []string{"new"}), gomega.HaveField("Role", "decode"), gomega.HaveField("Version", "v2")))
	})
}

func TestModelIsUnloadedOnlyWhileAnotherKeepsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t, 8)
		s.startAll()
		s.setPlacement(1, func(int) bundle.Placement { return placementOf("new") })
		time.Sleep(5 * time.Minute)
		s.Expect(s.countHolders("new")).To(gomega.Equal(8))
		s.Expect(s.countHolders("old")).To(gomega.Equal(8))
		s.Expect(s.runners[0].Status().Reason).To(gomega.Equal(ReasonNeeded))

		s.engines[7].Crash() // the planned keeper can't report
		keep := func(i int) bundle.Placement {
			if i == 7 {
				return placementOf("new", "old")
			}
			return placementOf("new")
		}
		s.setPlacement(2, keep)
		time.Sleep(5 * time.Minute)
		s.Expect(s.countHolders("old")).To(gomega.Equal(8))
		s.engines[7].Restart()
		s.runners[7].Leave()
		time.Sleep(5 * time.Minute) // a model on a leaving endpoint doesn't count
		s.Expect(s.countHolders("old")).To(gomega.Equal(8))
		s.t.Cleanup(s.restart(7))
		s.setPlacement(3, keep)
		s.waitFor(time.Minute, func() bool { return s.countHolders("old") == 1 })
		var at []time.Time
		for i := range 7 {
			orders := s.engines[i].State().Orders
			at = append(at, orders[len(orders)-1].At)
		}
		slices.SortFunc(at, time.Time.Compare)
		for i := range at[1:] {
			s.Expect(at[i+1].Sub(at[i])).To(gomega.BeNumerically(">=", unloadSlotInterval)) // one unload per slot
		}
	})
}

func TestOlderAgentIsFencedAndStopsSendingOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t, 1)
		older := New(Config{Endpoint: endpointName(0), EngineURL: "http://" + engineAddress(0), Engine: s.client("older")})
		time.Sleep(time.Millisecond)
		s.startAll()
		s.setPlacement(1, func(int) bundle.Placement { return placementOf("old") })
		time.Sleep(time.Second)
		s.runners = append(s.runners, older)
		s.setPlacement(2, func(int) bundle.Placement { return placementOf("old") })
		for range 5 {
			older.reconcile(context.Background())
		}
		s.Expect(older.Status().Reason).To(gomega.Equal(ReasonFenced))
		var refused int
		for _, o := range s.engines[0].State().Orders {
			if !o.Accepted {
				refused++
			}
		}
		s.Expect(refused).To(gomega.Equal(1))
		_, hasReport := older.report()
		s.Expect(hasReport).To(gomega.BeFalse())
	})
}

func TestFencingTokensIncreaseAcrossIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.UnixMilli(rapid.Int64Range(1_700_000_000_000, 4_000_000_000_000).Draw(t, "start"))
		var last uint64
		for range rapid.IntRange(1, 5).Draw(t, "incarnations") {
			tokens := NewTokenSource(start)
			for range rapid.IntRange(1, 1000).Draw(t, "orders") {
				n := tokens.Next()
				if n <= last || n >= 1<<53 {
					t.Fatalf("%d after %d", n, last)
				}
				last = n
			}
			start = start.Add(time.Duration(rapid.IntRange(1, 1e6).Draw(t, "later")) * time.Millisecond)
		}
	})
}

func TestOrderIsDroppedAfterMissedSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := New(Config{})
		g.Expect(r.waitUntil(t.Context(), time.Now().Add(time.Second))).To(gomega.BeTrue())
		g.Expect(r.waitUntil(t.Context(), time.Now().Add(-2*time.Second))).To(gomega.BeFalse())
	})
}

// roundTripFunc responds to each request with the text that it returns.
type roundTripFunc func() string

func (f roundTripFunc) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(f()))}, nil
}

func TestModelListIsDiscardedIfAnOrderEndsDuringTheQuery(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(Config{EngineURL: "http://engine"})
	r.engine.http = &http.Client{Transport: roundTripFunc(func() string {
		r.recordOutcome(Order{Kind: UnloadModel, Target: "old"}, nil)
		return `{"data":[{"id":"old"}]}`
	})}
	g.Expect(r.observe(t.Context())).To(gomega.MatchError(errChangedDuringQuery))
	g.Expect(r.Status().Loaded).To(gomega.BeEmpty())
}

// loadAll makes n agents load the model "new" at once, and returns how long
// that took and how many requests the store refused.
func loadAll(t *testing.T, n int) (took time.Duration, limited int) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t, n)
		s.startAll()
		time.Sleep(2345 * time.Millisecond) // within a round of slots
		s.setPlacement(1, func(int) bundle.Placement { return placementOf("old", "new") })
		took = s.waitFor(time.Minute, func() bool { return s.countHolders("new") == n })
		limited = s.store.Stats().Limited
	})
	return took, limited
}

// retryPause stands for the time until a refusal arrives.
const retryPause = 50 * time.Millisecond

// loadAllWithoutSlots sends the order to all engines at once, and again shortly
// after each refusal.
func loadAllWithoutSlots(t *testing.T, n int) (took time.Duration, limited int) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t, n)
		for i := range n {
			c := engineClient{url: "http://" + engineAddress(i), http: s.client("naive")}
			go func() {
				for c.sendOrder(t.Context(), Order{Kind: LoadModel, Target: "new"}) != nil {
					time.Sleep(retryPause)
				}
			}()
		}
		took = s.waitFor(time.Minute, func() bool { return s.countHolders("new") == n })
		limited = s.store.Stats().Limited
	})
	return took, limited
}

func TestAgentsKeepToTheStoreRateWithoutCoordination(t *testing.T) {
	for _, n := range []int{8, 64} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := gomega.NewWithT(t)
			ideal := time.Duration(float64(n) / storeRate * float64(time.Second))
			took, limited := loadAll(t, n)
			withoutSlots, refused := loadAllWithoutSlots(t, n)
			t.Logf("%d agents: %v and %d refused; without slots %v and %d refused", n, took, limited, withoutSlots, refused)
			g.Expect(limited).To(gomega.BeZero())
			g.Expect(took).To(gomega.BeNumerically("<", ideal*5/4+time.Second))
			g.Expect(refused).To(gomega.BeNumerically(">", n)) // else the test could not detect missing slots
		})
	}
}

// If the bundle's rate is too high, the store refuses requests and agents
// spread out.
func TestAgentsBackOffWhenTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t, 8)
		s.startAll()
		b := &bundle.Bundle{Version: 1, Models: []bundle.Model{{Name: "old"}, {Name: "new"}}}
		b.Limits.WeightFetchesPerSecond = 1000 * storeRate
		for i := range s.engines {
			b.Endpoints = append(b.Endpoints, bundle.Endpoint{Name: endpointName(i), Placement: placementOf("old", "new")})
		}
		for _, r := range s.runners {
			r.SetBundle(b)
		}
		took := s.waitFor(time.Minute, func() bool { return s.countHolders("new") == 8 })
		t.Logf("%v and %d refused", took, s.store.Stats().Limited)
		s.Expect(s.store.Stats().Limited).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 16)))
	})
}

func TestNextStep(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	slot := TimeSlots{Interval: 2, Count: 1}
	plan := &Plan{Version: 3, Self: "a", Want: placementOf("new"), Managed: []string{"old", "new"}, MinReady: 1, FetchSlots: slot, UnloadSlots: slot}
	reportOf := func(age time.Duration, version uint64) map[string]TimedReport {
		return map[string]TimedReport{"b": {Report: Report{Bundle: version, Keeps: []string{"old"}}, RequestedAt: now.Add(-age)}}
	}
	placed := State{Loaded: []string{"old", "new", "unknown"}, Role: "decode"}
	missing := State{Loaded: []string{"old"}, Role: "decode"}
	full := missing
	full.OutOfMemory = true
	refused := missing
	refused.NotBefore = now.Add(time.Second)
	maybeUnloaded := placed
	maybeUnloaded.MaybeUnloaded = []string{"new"}
	for _, c := range []struct {
		name    string
		state   State
		reports map[string]TimedReport
		kind    Kind
		reason  Reason
	}{
		{"kept by another", placed, reportOf(4*time.Second, 3), UnloadModel, ReasonSurplus},
		{"outdated report", placed, reportOf(6*time.Second, 3), "", ReasonNeeded},
		{"report of an older bundle", placed, reportOf(0, 2), "", ReasonNeeded},
		{"kept by nobody", placed, nil, "", ReasonNeeded},
		{"missing", missing, reportOf(0, 3), LoadModel, ReasonMissing},
		{"out of memory", full, reportOf(0, 3), UnloadModel, ReasonSurplus},
		{"refused", refused, reportOf(0, 3), "", ReasonBackoff},
		{"maybe unloaded", maybeUnloaded, reportOf(0, 3), LoadModel, ReasonMissing},
		{"restarted engine", State{Loaded: []string{"old"}}, nil, SetRole, ReasonSet},
	} {
		g := gomega.NewWithT(t)
		step := NextStep(now, plan, &c.state, c.reports, 5*time.Second)
		g.Expect(step.Order.Kind).To(gomega.Equal(c.kind), c.name)
		g.Expect(step.Reason).To(gomega.Equal(c.reason), c.name)
	}
}

func TestHadNoEffect(t *testing.T) {
	g := gomega.NewWithT(t)
	for status, want := range map[int]bool{
		http.StatusTooManyRequests: true, http.StatusConflict: true, http.StatusServiceUnavailable: true,
		http.StatusInsufficientStorage: true, http.StatusInternalServerError: false, http.StatusGatewayTimeout: false,
	} {
		g.Expect(hadNoEffect(&RefusedError{Status: status})).To(gomega.Equal(want), "%d", status)
	}
	g.Expect(hadNoEffect(context.DeadlineExceeded)).To(gomega.BeFalse())
}
