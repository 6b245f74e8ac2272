package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coveferry/internal/bundle"
)

// A fixed seed makes every run check the same clusters and give the same
// result; -rapid.seed selects another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	model           = "m"
	simSteps        = 400
	clustersPerSeed = 30
)

// simAgent is a simulated agent with its engine.
type simAgent struct {
	name       string
	version    int // index of its bundle
	holds      bool
	state      State
	reports    map[string]TimedReport
	pending    Order
	lateUnload bool // an unload whose response was lost may still take effect
}

// simCluster runs the decision logic of several agents with delayed messages
// and orders, and different bundle versions.
type simCluster struct {
	*rapid.T
	rng          *rand.Rand // uniform, unlike rapid's own choices
	now          time.Time
	lastCrash    time.Time
	minReady     int
	maxReportAge time.Duration
	plans        [][]*Plan // by version and agent
	agents       []*simAgent
}

func newSimCluster(t *rapid.T, rng *rand.Rand, minReady int, maxReportAge time.Duration) *simCluster {
	w := &simCluster{T: t, rng: rng, now: time.Unix(1_800_000_000, 0), minReady: minReady, maxReportAge: maxReportAge}
	for i := range 1 + minReady + rng.IntN(3) {
		m := &simAgent{name: fmt.Sprintf("e%d", i), holds: true, reports: make(map[string]TimedReport)}
		m.state.Role, m.state.Loaded = "r", []string{model}
		w.agents = append(w.agents, m)
	}
	for version := range 5 {
		w.plans = append(w.plans, w.newPlans(version))
	}
	return w
}

func choose[T any](w *simCluster, from ...T) T { return from[w.rng.IntN(len(from))] }

func (w *simCluster) newPlans(version int) []*Plan {
	b := &bundle.Bundle{Version: uint64(version + 1), Models: []bundle.Model{{Name: model}, {Name: "other"}}}
	b.Limits = bundle.Limits{WeightFetchesPerSecond: 1, MinReadyReplicas: w.minReady}
	for _, m := range w.agents {
		want := choose(w, model, "other")
		b.Endpoints = append(b.Endpoints, bundle.Endpoint{Name: m.name, Placement: bundle.Placement{Models: []string{want}, Role: "r"}})
	}
	plans := make([]*Plan, len(w.agents))
	for i, m := range w.agents {
		plans[i] = NewPlan(b, m.name)
		plans[i].FetchSlots = TimeSlots{Interval: 2, Count: 1} // slots have their own tests
		plans[i].UnloadSlots = plans[i].FetchSlots
	}
	return plans
}

func (w *simCluster) planOf(m *simAgent) *Plan { return w.plans[m.version][slices.Index(w.agents, m)] }

// observe makes the agent learn what its engine holds, unless an order is
// pending.
func (w *simCluster) observe(m *simAgent) bool {
	if m.pending.Kind != "" {
		return false
	}
	names := remove(m.state.Loaded, model)
	if m.holds {
		names = append(names, model)
	}
	m.state.updateLoaded(names)
	m.state.Role = "r"
	return true
}

func (w *simCluster) queryPeer(m *simAgent) {
	peer := choose(w, w.agents...)
	w.observe(peer)
	m.reports[peer.name] = TimedReport{Report: newReport(w.planOf(peer), &peer.state), RequestedAt: w.now}
}

func (w *simCluster) decide(m *simAgent) {
	if !w.observe(m) {
		return
	}
	step := NextStep(w.now, w.planOf(m), &m.state, m.reports, w.maxReportAge)
	if step.Order.Kind != "" {
		m.pending = step.Order
		m.state.recordDecided(step.Order)
	}
}

// deliver carries out the pending order. It may lose the response, or leave an
// unload in flight.
func (w *simCluster) deliver(m *simAgent) {
	o := m.pending
	if o.Kind == "" {
		return
	}
	m.pending = Order{}
	if o.Target != model {
		m.state.recordDone(o)
		return
	}
	result := choose(w, "done", "lost", "late")
	if o.Kind == UnloadModel && result != "done" {
		m.state.recordFailed(w.now, o, fmt.Errorf("lost"), 0, 0)
		m.lateUnload = result == "late"
		if result == "lost" {
			w.unload(m)
		}
		return
	}
	m.lateUnload = m.lateUnload && o.Kind != LoadModel // the load has a higher token, so a fenced engine refuses the late unload
	if o.Kind == UnloadModel {
		w.unload(m)
	} else {
		m.holds = true
	}
	m.state.recordDone(o)
}

func (w *simCluster) deliverLateUnload(m *simAgent) {
	if m.lateUnload {
		m.lateUnload = false
		w.unload(m)
	}
}

func (w *simCluster) unload(m *simAgent) {
	m.holds = false
	if !slices.ContainsFunc(w.agents, func(m *simAgent) bool { return m.holds }) {
		w.Fatalf("%s unloaded the last ready replica", m.name)
	}
}

func (w *simCluster) run(crashes bool) {
	for range simSteps {
		m := choose(w, w.agents...)
		switch choose(w, "ask", "ask", "ask", "ask", "decide", "decide", "deliver", "deliver", "arrive", "tick", "crash", "adopt") {
		case "ask":
			w.queryPeer(m)
		case "decide":
			w.decide(m)
			if crashes {
				w.deliver(m) // a crash after the decision can't be detected
			}
		case "deliver":
			w.deliver(m)
		case "arrive":
			w.deliverLateUnload(m)
		case "adopt":
			if w.rng.IntN(5) > 0 {
				continue // leaves time to act on each bundle
			}
			m.version = min(m.version+1, len(w.plans)-1)
		case "tick":
			w.now = w.now.Add(time.Second)
		case "crash":
			w.crash(m, crashes)
		}
	}
}

// crash makes an engine lose everything. Crashes are far enough apart that at
// most one falls within the ages of the reports used in a chain of unloads.
func (w *simCluster) crash(m *simAgent, crashes bool) {
	if crashes && w.now.Sub(w.lastCrash) > 4*w.maxReportAge {
		w.lastCrash, m.holds, m.lateUnload = w.now, false, false
	}
}

// checkSimulation runs many clusters per seed, since few reach a dangerous
// order of events.
func checkSimulation(t *testing.T, minReady int, maxReportAge time.Duration, crashes bool) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range clustersPerSeed {
			newSimCluster(t, rng, minReady, maxReportAge).run(crashes)
		}
	})
}

// Without crashes the age of reports doesn't matter.
func TestLastReadyReplicaIsNeverUnloaded(t *testing.T) { checkSimulation(t, 1, time.Hour, false) }

// With one spare replica the guarantee also holds if an engine crashes after
// its agent's report, since reports are used for a limited time.
func TestLastReadyReplicaSurvivesACrash(t *testing.T) { checkSimulation(t, 2, 3*time.Second, true) }
