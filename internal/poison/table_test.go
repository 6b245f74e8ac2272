package poison

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// testFleet provides the tables of several routers with a common clock.
type testFleet struct {
	now      time.Time
	events   []Event
	requests int
}

func newTestFleet() *testFleet { return &testFleet{now: time.Unix(1000, 0)} }

func (f *testFleet) table(router string) *Table {
	return NewTable(Config{
		Router: router, Clock: func() time.Time { return f.now },
		OnEvent: func(e Event) { f.events = append(f.events, e) },
	})
}

// lose advances the clock by the given time and then records the loss of the endpoint.
func (f *testFleet) lose(t *Table, endpoint string, after time.Duration) {
	sent := f.now
	f.now = f.now.Add(after)
	t.RecordLoss(request(id), Loss{Endpoint: endpoint, Sent: sent, At: f.now, Early: true})
}

// request returns a request without prompt parts.
func request(id Identity) Request { return Request{Content: id} }

// digestOf returns the digest of the requests that a table quarantines.
func digestOf(t *Table) uint64 { return t.UpdateFor(0, 0).Digest() }

const (
	id = Identity(7)
	// maxChangeAge is the age up to which changes are sent.
	maxChangeAge = time.Second
	timeToLoss   = 300 * time.Millisecond
)

func TestRequestIsQuarantinedAfterThreeLosses(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for i, quarantined := range []bool{false, false, true} {
		w.lose(table, fmt.Sprint("e", i), timeToLoss)
		g.Expect(table.Check(request(id)).Refused).To(Equal(quarantined), "after %d", i+1)
	}
	g.Expect(table.Check(request(8)).Refused).To(BeFalse())
	g.Expect(table.Check(request(id)).RetryAfter).To(BeNumerically(">=", 3*time.Minute))
	g.Expect(w.events).To(Equal([]Event{{Identity: id, Quarantined: true, Endpoints: []string{"e0", "e1", "e2"}, Local: true}}))
	g.Expect(table.QuarantinedCounts()).To(Equal(Counts{Requests: 1}))
}

// Repeated connection failures at one endpoint that stays alive must not cause a
// quarantine.
func TestRepeatedLossesOfOneEndpointCountOnce(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for range 5 {
		w.lose(table, "e", timeToLoss)
	}
	g.Expect(table.Check(request(id)).Refused).To(BeFalse())
}

// Endpoints crash at random, and over time a repeated request is hit by three crashes.
// Since it gets responses in between, it must not be quarantined.
func TestCompletionClearsEarlierLosses(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for i := range 6 {
		w.lose(table, fmt.Sprint("e", i), timeToLoss)
		if i%2 == 1 {
			w.now = w.now.Add(time.Second)
			table.RecordCompletion(request(id))
		}
		g.Expect(table.Check(request(id)).Refused).To(BeFalse(), "after %d", i+1)
	}
}

// All endpoints of a service lose power while each runs the same status request. The
// request must be tried again after five seconds, when they are back.
func TestSimultaneousLossesCauseOnlyTheInitialHold(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for i := range 6 {
		table.RecordLoss(request(id), Loss{Endpoint: fmt.Sprint("e", i), Sent: w.now, At: w.now.Add(timeToLoss)})
	}
	w.now = w.now.Add(timeToLoss)
	g.Expect(table.Check(request(id)).Refused).To(BeTrue())
	w.now = w.now.Add(initialHold + initialHold/staggerDivisor)
	verdict := table.Check(request(id))
	g.Expect(verdict.Refused).To(BeFalse())
	g.Expect(verdict.Trial).To(BeTrue())
	g.Expect(verdict.Evidence.LossCount).To(Equal(6))
	g.Expect(table.Check(request(id)).Refused).To(BeTrue(), "one trial at a time")
	table.RecordCompletion(request(id))
	g.Expect(table.Check(request(id))).To(Equal(Verdict{}))
	g.Expect(w.events[1]).To(HaveField("Quarantined", BeFalse()))
}

// Guards against a trial that is spent on a request which only begins to wait for capacity.
func TestCheckBeforeWaitingRecordsNoTrial(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for i := range 6 {
		table.RecordLoss(request(id), Loss{Endpoint: fmt.Sprint("e", i), Sent: w.now, At: w.now.Add(timeToLoss)})
	}
	g.Expect(table.CheckBeforeWaiting(request(id)).Refused).To(BeTrue())
	w.now = w.now.Add(timeToLoss + initialHold + initialHold/staggerDivisor)
	g.Expect(table.CheckBeforeWaiting(request(id))).To(Equal(Verdict{}))
	g.Expect(table.Check(request(id)).Trial).To(BeTrue())
	g.Expect(table.CheckBeforeWaiting(request(id)).Refused).To(BeTrue(), "one trial at a time")
}

// Counts the endpoints lost in a day to a request that crashes every endpoint and is sent
// twice a second. Without trials, a request that is harmless by now would never be served
// again; with one trial a minute it would cost 1,440 endpoints.
func TestEndpointsLostToAPersistentRequestPerDay(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	lost := 0
	for end := w.now.Add(24 * time.Hour); w.now.Before(end); w.now = w.now.Add(500 * time.Millisecond) {
		if !table.Check(request(id)).Refused {
			lost++
			w.lose(table, fmt.Sprint("e", lost), timeToLoss)
		}
	}
	g.Expect(lost).To(BeNumerically("<=", 30))
}

// Routers hold the same request for the same time and learn of each other's trials within two
// seconds.
func TestRoutersStaggerTrials(t *testing.T) {
	for _, c := range []struct {
		routers      int
		knowFleet    bool
		below, atMin int
	}{
		{880, false, 60, 1}, // about 40 over a stagger of 45 s
		{880, true, 8, 1}, {103, true, 8, 1}, {4, true, 4, 1},
	} {
		tried := trialsWithin(c.routers, c.knowFleet, 2*time.Second)
		t.Logf("%d routers, knowing their number %v: %d trials in 2 s", c.routers, c.knowFleet, tried)
		g := NewWithT(t)
		g.Expect(tried).To(BeNumerically("<", c.below))
		g.Expect(tried).To(BeNumerically(">=", c.atMin))
	}
}

// trialsWithin returns how many routers try a quarantined request within a time of the first
// trial. knowFleet is set if they know how many they are.
func trialsWithin(routers int, knowFleet bool, propagation time.Duration) int {
	w := newTestFleet()
	first := w.table("a")
	for i := range lossThreshold {
		w.lose(first, fmt.Sprint("e", i), timeToLoss)
	}
	var tables []*Table
	for i := range routers {
		table := w.table(fmt.Sprint("r", i))
		if knowFleet {
			table.cfg.FleetSize = func() int { return routers }
		}
		table.Apply(w.now, first.UpdateFor(0, maxChangeAge))
		tables = append(tables, table)
	}
	tried := 0
	var triedAt time.Time
	for end := w.now.Add(10 * time.Minute); w.now.Before(end); w.now = w.now.Add(250 * time.Millisecond) {
		if tried > 0 && w.now.Sub(triedAt) > propagation {
			break
		}
		for _, table := range tables {
			if !table.Check(request(id)).Refused {
				tried++
				if tried == 1 {
					triedAt = w.now
				}
			}
		}
	}
	return tried
}

func TestExpiredRecordsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for i := range 2 {
		w.lose(table, fmt.Sprint("e", i), timeToLoss)
	}
	w.now = w.now.Add(lossRetention + time.Minute)
	w.lose(table, "e2", timeToLoss)
	g.Expect(table.Check(request(id)).Refused).To(BeFalse())
	for i := range lossThreshold {
		w.lose(table, fmt.Sprint("f", i), timeToLoss)
	}
	g.Expect(table.Check(request(id)).Refused).To(BeTrue())
	w.now = w.now.Add(maxHold + quarantineRetention + time.Minute)
	g.Expect(table.Check(request(id))).To(Equal(Verdict{}))
	g.Expect(table.Empty()).To(BeTrue())
}

// An endpoint with hundreds of requests crashes repeatedly. The request that causes it
// must be kept, rather than those that only ran there.
func TestFullTableKeepsRecordsWithMostLosses(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for crash := range lossThreshold {
		endpoint := fmt.Sprint("e", crash)
		w.lose(table, endpoint, timeToLoss)
		for other := range maxRecords {
			table.RecordLoss(request(Identity(100+crash*maxRecords+other)), Loss{Endpoint: endpoint, Sent: w.now, At: w.now})
		}
	}
	g.Expect(len(table.records)).To(Equal(maxRecords))
	g.Expect(table.Check(request(id)).Refused).To(BeTrue())
	// It is the first entry sent to others, ahead of the requests that only ran there.
	entries := table.UpdateFor(0, maxChangeAge).Entries
	g.Expect(entries).To(HaveLen(maxEntries))
	g.Expect(entries[0].Identity).To(Equal(id))
}

func TestEarlyLossesAreSentFirst(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	w.lose(table, "e", timeToLoss)
	for other := range 200 {
		table.RecordLoss(request(Identity(100+other)), Loss{Endpoint: "e", Sent: w.now, At: w.now})
	}
	g.Expect(table.UpdateFor(0, maxChangeAge).Entries[0].Identity).To(Equal(id))
}

// Messages may be lost, delayed, duplicated and reordered. Once all tables have exchanged
// messages, they must quarantine the same requests.
func TestExchangedTablesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newTestFleet()
		tables := []*Table{w.table("a"), w.table("b"), w.table("c")}
		pick := rapid.SampledFrom(tables)
		requests := rapid.SampledFrom([]Request{
			request(1), request(2), {Content: 3, Parts: []uint64{7}}, {Content: 4, Parts: []uint64{8, 7}},
		})
		rt.Repeat(map[string]func(*rapid.T){
			"lose": func(rt *rapid.T) {
				w.now = w.now.Add(timeToLoss)
				e := fmt.Sprint("e", rapid.IntRange(0, 20).Draw(rt, "endpoint"))
				pick.Draw(rt, "table").RecordLoss(requests.Draw(rt, "request"), Loss{Endpoint: e, Sent: w.now.Add(-timeToLoss), At: w.now})
			},
			"complete": func(rt *rapid.T) {
				w.now = w.now.Add(time.Second)
				pick.Draw(rt, "table").RecordCompletion(requests.Draw(rt, "request"))
			},
			"tell": func(rt *rapid.T) {
				from, to := pick.Draw(rt, "from"), pick.Draw(rt, "to")
				to.Apply(w.now, from.UpdateFor(digestOf(to), maxChangeAge))
			},
			"wait": func(*rapid.T) { w.now = w.now.Add(maxChangeAge) },
		})
		for range 3 {
			for _, from := range tables {
				for _, to := range tables {
					to.Apply(w.now, from.UpdateFor(digestOf(to), maxChangeAge))
				}
			}
		}
		for _, other := range tables[1:] {
			if digestOf(other) != digestOf(tables[0]) {
				rt.Fatalf("digests %x and %x", digestOf(tables[0]), digestOf(other))
			}
		}
	})
}

// Measures the largest message, as exchanged after an endpoint with 220 streams was lost.
func BenchmarkMessage(b *testing.B) {
	w := newTestFleet()
	table := w.table("a")
	for other := range 220 {
		table.RecordLoss(request(Identity(1<<62+other)), Loss{Endpoint: "i-0123456789/1796262279150", Sent: w.now, At: w.now})
	}
	other := w.table("b")
	var text []byte
	for b.Loop() {
		var err error
		if text, err = json.Marshal(table.UpdateFor(0, maxChangeAge)); err != nil {
			b.Fatal(err)
		}
		var message Message
		if err = json.Unmarshal(text, &message); err != nil {
			b.Fatal(err)
		}
		other.Apply(w.now, message)
	}
	b.ReportMetric(float64(len(text)), "bytes/word")
}

// Measures what a request costs while the table is full: the check before it is sent, its
// response and its completion.
func BenchmarkRequestWithFullTable(b *testing.B) {
	w := newTestFleet()
	table := w.table("a")
	for other := range maxRecords / 2 {
		table.RecordLoss(Request{Content: Identity(100 + other), Parts: []uint64{uint64(1 + other)}},
			Loss{Endpoint: fmt.Sprint("e", other%20), Sent: w.now, At: w.now})
	}
	req := Request{Service: "s", Content: 7, Parts: []uint64{5000, 5001, 5002}}
	for b.Loop() {
		table.Check(req)
		table.RecordResponse("e5000", w.now)
		table.RecordCompletion(req)
	}
}
