package once

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var printTable = flag.Bool("table", false, "print the measurements of docs/design/0006")

// Parameters of the simulation.
const (
	fleetSize                  = 40
	rolloutDuration            = 6 * time.Second // until the last process has the new list
	timeBefore, timeAfter      = 60 * time.Second, 240 * time.Second
	keysPerSecond              = 20
	replacementsPerEndpointDay = 1000.0 / 3700
)

// simulateReplacement replaces one endpoint of a list. Processes receive the new list at random
// times during the rollout. It returns, by reason, how many seconds' worth
// of fresh keys was refused.
func simulateReplacement(seed uint64, planned bool) map[Reason]float64 {
	m := newSimulation(seed, nil)
	m.hosts, m.lists, m.lastHost = nil, nil, 0
	for range fleetSize + 1 {
		m.addHost()
	}
	m.publish(m.hosts[:fleetSize])
	for _, h := range m.hosts {
		m.start(h, 0)
		h.registry = New(DefaultConfig(h.self), m.clock(h))
		h.registry.SetView(m.clock(h), m.lists[0].view)
	}
	adoptAt := make(map[*host]time.Duration)
	for _, h := range m.hosts {
		adoptAt[h] = timeBefore + time.Duration(m.rnd.Int64N(int64(rolloutDuration)))
	}
	routerAdoptAt := timeBefore + time.Duration(m.rnd.Int64N(int64(rolloutDuration)))
	start := m.now.Add(3 * time.Minute)
	refused := make(map[Reason]float64)
	for m.now.Before(start.Add(timeBefore + timeAfter)) {
		m.now = m.now.Add(time.Second)
		since := m.now.Sub(start)
		if since == timeBefore {
			m.publish(m.hosts[1:])
			m.hosts[0].dead = !planned
		}
		for _, h := range m.hosts {
			if since >= adoptAt[h] && h.version == 0 && !h.dead {
				h.version = 1
				h.registry.SetView(m.clock(h), m.lists[1].view)
			}
			if !h.dead {
				h.registry.Tick(m.clock(h))
				m.runQueries(h)
			}
		}
		if since >= 0 {
			m.sendFreshKeys(since >= routerAdoptAt, refused)
		}
	}
	return refused
}

func (m *simulation) runQueries(h *host) {
	for _, q := range h.registry.PendingQueries(m.clock(h)) {
		if peer := m.find(q.To); peer != nil {
			h.registry.HandleReply(m.clock(h), q, peer.registry.HandleQuery(m.clock(peer), q.ListQuery))
		}
	}
}

// sendFreshKeys sends one second's worth of fresh keys.
func (m *simulation) sendFreshKeys(changed bool, refused map[Reason]float64) {
	version := 0
	if changed {
		version = 1
	}
	for range keysPerSecond {
		m.lastID++
		u := newAttempt(fmt.Sprint(m.lastID), fmt.Sprint(m.lastID), m.now)
		u.Target = simTarget
		reason := Reason("unreachable")
		if h := m.find(Member{Name: m.lists[version].view.Lists[simTarget].Home(u.Team, u.Key.Text), VM: "vm"}); h != nil {
			reason = h.registry.Admit(m.clock(h), u).Refused
		}
		if reason != "" {
			refused[reason] += 1.0 / keysPerSecond
		}
	}
}

// With 1,000 replacements a day at 3,700 endpoints, fewer than one keyed request in a thousand
// is refused, both for planned removals and for crashes.
func TestShareOfKeysRefusedByReplacements(t *testing.T) {
	runs := 1
	if *printTable {
		runs = 40
	}
	for _, planned := range []bool{true, false} {
		total := 0.0
		byReason := make(map[Reason]float64)
		for seed := range runs {
			for reason, seconds := range simulateReplacement(uint64(seed), planned) {
				daily := seconds * fleetSize * replacementsPerEndpointDay / (24 * 60 * 60) / float64(runs)
				byReason[reason] += daily
				total += daily
			}
		}
		if *printTable {
			t.Logf("planned %t: share of a day's keyed requests refused: %.6f, by reason %v", planned, total, byReason)
		}
		NewWithT(t).Expect(total).To(And(BeNumerically(">", 0), BeNumerically("<", 0.001)))
	}
}

func BenchmarkRegistry(b *testing.B) {
	var m0, m1 runtime.MemStats
	k, now := newSettled(DefaultConfig(Member{Name: "e"}))
	runtime.GC()
	runtime.ReadMemStats(&m0)
	const rate = 19
	for i := range rate * 15 * 60 {
		at := now.Add(time.Duration(i) * time.Second / rate)
		k.Tick(at)
		id := fmt.Sprintf("%032x-%d", rand.Uint64(), i)
		k.Admit(at, newAttempt(id, id, at))
	}
	runtime.GC()
	runtime.ReadMemStats(&m1)
	now = now.Add(15 * time.Minute)
	keys := float64(k.Len())
	for i := 0; b.Loop(); i++ {
		u := newAttempt("r", fmt.Sprint("again", i%1000), now)
		if k.Admit(now, u).Refused == "" {
			k.Begin(now, u)
			k.End(u, StateComplete)
		}
	}
	b.ReportMetric(keys, "keys")
	b.ReportMetric(float64(m1.HeapAlloc-m0.HeapAlloc)/keys, "heapB/key")
}
