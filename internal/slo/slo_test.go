package slo_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"coveferry/internal/slo"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// event is one entry of the naive recorder, which is a list of events.
type event struct {
	at  time.Time
	key slo.Key
	res slo.Result
}

// naiveCounts counts the events of one key and window.
func naiveCounts(events []event, key slo.Key, w slo.Window, now time.Time) slo.Counts {
	bucket := func(t time.Time) int64 { return t.Unix() / int64(slo.Bucket/time.Second) }
	var c slo.Counts
	for _, e := range events {
		age := bucket(now) - bucket(e.at)
		if e.key != key || age < 0 || age >= int64(w.Span()/slo.Bucket) {
			continue
		}
		*[]*uint64{&c.Good, &c.Late, &c.Failed, &c.Refused, &c.Canceled}[e.res]++
	}
	return c
}

// For any sequence of results, the windows must have the counts computed from a
// list of all events.
func TestRecorderAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rec := slo.NewRecorder()
		now := start
		var events []event
		keys := []slo.Key{{Class: "a", Tier: "gold"}, {Class: "a", Tier: "base"}, {Class: "b", Tier: "gold"}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3*3600).Draw(t, "pass")) * time.Second)
			for range rapid.IntRange(0, 5).Draw(t, "events") {
				e := event{
					at:  now.Add(-time.Duration(rapid.IntRange(0, 7*3600).Draw(t, "lag")) * time.Second),
					key: rapid.SampledFrom(keys).Draw(t, "key"),
					res: slo.Result(rapid.IntRange(int(slo.Good), int(slo.Canceled)).Draw(t, "result")),
				}
				events = append(events, e)
				rec.Record(e.at, e.key, e.res)
			}
			compare(t, rec, events, keys, now)
		}
	})
}

func compare(t *rapid.T, rec *slo.Recorder, events []event, keys []slo.Key, now time.Time) {
	rows := make(map[slo.Key]slo.Row)
	for _, row := range rec.Rows(now, slo.Objectives{}) {
		rows[slo.Key{Class: row.Class, Tier: row.Tier}] = row
	}
	for _, key := range keys {
		for _, w := range slo.Windows() {
			want := naiveCounts(events, key, w, now)
			var got slo.Counts
			if row, ok := rows[key]; ok {
				got = row.Windows[w].Counts
			}
			if got != want {
				t.Fatalf("%v over %s: got %+v, want %+v", key, w, got, want)
			}
		}
	}
}

func TestRecorderBoundsKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	rec := slo.NewRecorder()
	const names = 5000
	for i := range names {
		rec.Record(start, slo.Key{Class: fmt.Sprint("c", i), Tier: "t"}, slo.Good)
	}
	rows := rec.Rows(start, slo.Objectives{})
	g.Expect(len(rows)).To(gomega.BeNumerically("<=", 257))
	total := uint64(0)
	for _, row := range rows {
		total += row.Windows[slo.Window6h].Good
	}
	g.Expect(total).To(gomega.BeEquivalentTo(names))

	// After the longest window, a new key replaces an idle one.
	later := start.Add(7 * time.Hour)
	key := slo.Key{Class: "new", Tier: "t"}
	g.Expect(rec.Record(later, key, slo.Good)).To(gomega.Equal(key))
	g.Expect(rec.Rows(later, slo.Objectives{})).To(gomega.HaveLen(1))
}

func TestClassify(t *testing.T) {
	const target = time.Second
	for _, c := range []struct {
		o    slo.Outcome
		want slo.Result
	}{
		{slo.Outcome{FirstToken: target, Target: target, Complete: true}, slo.Good},
		{slo.Outcome{FirstToken: target + 1, Target: target, Complete: true}, slo.Late},
		{slo.Outcome{FirstToken: 1, Target: target}, slo.Failed},
		{slo.Outcome{Target: target, Refused: true}, slo.Refused},
		{slo.Outcome{FirstToken: 1, Target: target, Canceled: true}, slo.Canceled},
		{slo.Outcome{FirstToken: 1, Target: target, Complete: true, Canceled: true}, slo.Good},
		{slo.Outcome{Target: target, Refused: true, Canceled: true}, slo.Canceled},
	} {
		gomega.NewWithT(t).Expect(slo.Classify(c.o)).To(gomega.Equal(c.want), "%+v", c.o)
	}
}

// record records n results at now - ago.
func record(rec *slo.Recorder, now time.Time, ago time.Duration, res slo.Result, n int) {
	for range n {
		rec.Record(now.Add(-ago), slo.Key{Class: "receipt", Tier: "gold"}, res)
	}
}

func TestAlertLevels(t *testing.T) {
	type batch struct {
		ago time.Duration
		res slo.Result
		n   int
	}
	longAgo := batch{5 * time.Hour, slo.Good, 10_000} // keeps the burn rate of the 6h window low
	for _, c := range []struct {
		name    string
		batches []batch
		want    slo.Level
	}{
		{"all good", []batch{{0, slo.Good, 100}}, slo.LevelNone},
		{"14.4x in 1h and 5m", []batch{{0, slo.Refused, 72}, {0, slo.Good, 28}, longAgo}, slo.LevelPage},
		{"just below 14.4x in 1h", []batch{{0, slo.Refused, 71}, {0, slo.Good, 29}, longAgo}, slo.LevelNone},
		{"14.4x in 1h, none in 5m", []batch{{20 * time.Minute, slo.Late, 72}, {0, slo.Good, 28}, longAgo}, slo.LevelNone},
		{"6x in 6h and 30m", []batch{{20 * time.Minute, slo.Failed, 30}, {20 * time.Minute, slo.Good, 70}}, slo.LevelPage},
		{"3x in 6h and 30m", []batch{{20 * time.Minute, slo.Late, 15}, {20 * time.Minute, slo.Good, 85}}, slo.LevelTicket},
		{"3x in 6h, none in 30m", []batch{{40 * time.Minute, slo.Late, 15}, {0, slo.Good, 85}}, slo.LevelNone},
		{"too few requests", []batch{{0, slo.Late, slo.MinRequests - 1}}, slo.LevelNone},
		{"canceled requests are not bad", []batch{{0, slo.Good, 20}, {0, slo.Canceled, 500}}, slo.LevelNone},
		{"canceled requests are not good", []batch{{0, slo.Good, 85}, {0, slo.Late, 15}, {0, slo.Canceled, 500}}, slo.LevelTicket},
	} {
		rec := slo.NewRecorder()
		for _, b := range c.batches {
			record(rec, start, b.ago, b.res, b.n)
		}
		rows := rec.Rows(start, slo.Objectives{})
		gomega.NewWithT(t).Expect(rows[0].Alert).To(gomega.Equal(c.want), "%s: %+v", c.name, rows[0])
	}
}

// The mean of the two routers' rates is 10; of all requests 2 in 1,002 are bad.
func TestMergeSumsCountsNotRates(t *testing.T) {
	g := gomega.NewWithT(t)
	idle, busy := slo.NewRecorder(), slo.NewRecorder()
	record(idle, start, 0, slo.Late, 2)
	record(busy, start, 0, slo.Good, 1000)
	report := func(name string, rec *slo.Recorder, objective float64) slo.Report {
		return slo.Report{Format: slo.Format, Routers: []string{name}, At: start, Rows: rec.Rows(start, slo.Objectives{Default: objective})}
	}
	merged := slo.Merge(report("r2", busy, 0.9), report("r1", idle, 0.95))
	g.Expect(merged.Routers).To(gomega.Equal([]string{"r1", "r2"}))
	g.Expect(merged.Rows).To(gomega.HaveLen(1))
	g.Expect(merged.Rows[0].Objective).To(gomega.Equal(0.95))
	g.Expect(merged.Rows[0].Windows[slo.Window1h].Burn).To(gomega.BeNumerically("~", 2.0/1002/0.05, 1e-9))
	swapped := slo.Merge(report("r1", idle, 0.95), report("r2", busy, 0.9))
	g.Expect(swapped).To(gomega.Equal(merged))
}

func TestTrackerServesReportAndMetrics(t *testing.T) {
	g := gomega.NewWithT(t)
	reg := prometheus.NewRegistry()
	tracker := slo.NewTracker(slo.Config{
		Router: "r1", Registry: reg,
		Now:        func() time.Time { return start },
		Objectives: func() slo.Objectives { return slo.Objectives{ByClass: map[string]float64{"receipt": 0.99}} },
	})
	key := slo.Key{Class: "receipt", Tier: "gold"}
	tracker.Record(key, slo.Outcome{Target: time.Second, Complete: true})
	tracker.Record(key, slo.Outcome{Target: time.Second, Refused: true})
	server := httptest.NewServer(tracker)
	defer server.Close()

	rep, err := slo.Fetch(t.Context(), server.Client(), server.URL)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(rep.Routers).To(gomega.Equal([]string{"r1"}))
	g.Expect(rep.Rows[0].Windows[slo.Window5m].Burn).To(gomega.BeNumerically("~", 50, 1e-9))
	g.Expect(rep.Rows[0].Windows[slo.Window5m].Refused).To(gomega.BeEquivalentTo(1))

	families, err := reg.Gather()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	samples := make(map[string]int)
	for _, f := range families {
		samples[f.GetName()] = len(f.GetMetric())
	}
	g.Expect(samples).To(gomega.Equal(map[string]int{slo.MetricEvents: 2, slo.MetricBurn: 4}))
}

func TestFetchRefuses(t *testing.T) {
	rec := slo.NewRecorder()
	record(rec, start, 0, slo.Good, 1)
	rows := rec.Rows(start, slo.Objectives{})
	rows[0].Objective = 1
	certain, err := json.Marshal(slo.Report{Format: slo.Format, Rows: rows})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, c := range []struct {
		body   string
		status int
		want   error
	}{
		{"<html>", 200, slo.ErrNotReport},
		{"{}", 200, slo.ErrNotReport},
		{string(certain), 200, slo.ErrNotReport}, // objective 1 would divide by zero
		{`{"format":1,"rows":[{"class":"a","tier":"b","objective":0.9,"windows":[]}]}`, 200, slo.ErrNotReport},
		{"busy", 503, slo.ErrStatus},
		{strings.Repeat(" ", slo.MaxReportBytes+1), 200, slo.ErrTooLarge},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		_, err := slo.Fetch(t.Context(), server.Client(), server.URL)
		server.Close()
		g := gomega.NewWithT(t)
		g.Expect(errors.Is(err, c.want)).To(gomega.BeTrue(), "%v", err)
		g.Expect(err.Error()).NotTo(gomega.ContainSubstring("\n"))
		_, err = slo.Fetch(t.Context(), server.Client(), server.URL)
		g.Expect(errors.Is(err, slo.ErrUnreachable)).To(gomega.BeTrue(), "%v", err)
	}
}

func BenchmarkRecord(b *testing.B) {
	rec := slo.NewRecorder()
	key := slo.Key{Class: "receipt", Tier: "gold"}
	b.ReportAllocs()
	for b.Loop() {
		rec.Record(start, key, slo.Good)
	}
}
