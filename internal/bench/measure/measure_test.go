package measure_test

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"coveferry/internal/bench/arrivals"
	"coveferry/internal/bench/client"
	"coveferry/internal/bench/measure"
	"coveferry/internal/wire"
)

const (
	ms     = time.Millisecond
	window = 100 * ms
)

var (
	classes = []string{"urgent", "long"}
	tiers   = []string{"gold", "bronze"}
	ends    = []client.End{
		client.EndComplete, client.EndRefused, client.EndTruncated, client.EndErrorEvent,
		client.EndTimeout, client.EndFailed, client.EndInterrupted,
	}
)

func drawSample(t *rapid.T) measure.Sample {
	millis := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(0, 120).Draw(t, name)) * ms
	}
	at := millis("at")
	o := client.Outcome{
		Due:    at,
		First:  at + millis("first"),
		Ended:  at + millis("ended"),
		End:    rapid.SampledFrom(ends).Draw(t, "end"),
		Tokens: rapid.IntRange(0, 5).Draw(t, "tokens"),
	}
	if o.End == client.EndRefused {
		o.Code = rapid.SampledFrom([]string{"queue_full", "too_late"}).Draw(t, "code")
		o.Run = wire.RunNot
		o.RetryAfter = millis("retry after")
	}
	return measure.Sample{
		Arrival: arrivals.Arrival{
			At:         at,
			Class:      rapid.SampledFrom(classes).Draw(t, "class"),
			Tier:       rapid.SampledFrom(tiers).Draw(t, "tier"),
			FirstToken: 40 * ms,
			Deadline:   80 * ms,
		},
		Outcome:  o,
		Produced: o.Tokens + rapid.IntRange(0, 3).Draw(t, "extra"),
	}
}

// checkNaively recomputes each measure separately by filtering all samples.
func checkNaively(g gomega.Gomega, m measure.Measures, all []measure.Sample) {
	keep := func(list []measure.Sample, ok func(measure.Sample) bool) []measure.Sample {
		return slices.DeleteFunc(slices.Clone(list), func(s measure.Sample) bool { return !ok(s) })
	}
	counted := keep(all, func(s measure.Sample) bool { return s.Outcome.End != client.EndInterrupted })
	inTime := keep(counted, func(s measure.Sample) bool {
		return s.Outcome.End == client.EndComplete && s.Outcome.Ended-s.Arrival.At <= 80*ms
	})
	attained := keep(inTime, func(s measure.Sample) bool { return s.Outcome.First-s.Arrival.At <= 40*ms })
	good := keep(inTime, func(s measure.Sample) bool { return s.Outcome.Ended <= window })
	refused := keep(counted, func(s measure.Sample) bool { return s.Outcome.End == client.EndRefused })
	produced, useful, goodTokens := 0, 0, 0
	for _, s := range counted {
		produced += s.Produced
	}
	for _, s := range inTime {
		useful += s.Outcome.Tokens
	}
	for _, s := range good {
		goodTokens += s.Outcome.Tokens
	}
	g.Expect(m.Requests).To(gomega.Equal(len(counted)))
	g.Expect(m.InTime).To(gomega.Equal(len(inTime)))
	g.Expect(m.Attained).To(gomega.Equal(len(attained)))
	g.Expect(m.Goodput).To(gomega.BeNumerically("~", float64(len(good))*10, 1e-9))
	g.Expect(m.GoodputTokens).To(gomega.BeNumerically("~", float64(goodTokens)*10, 1e-9))
	g.Expect(m.Ends.Refused).To(gomega.Equal(len(refused)))
	g.Expect(m.Produced).To(gomega.Equal(produced))
	g.Expect(m.Useful).To(gomega.Equal(useful))
	if len(counted) > 0 {
		g.Expect(m.Attainment).To(gomega.BeNumerically("~", float64(len(attained))/float64(len(counted)), 1e-9))
		g.Expect(m.RefusedShare).To(gomega.BeNumerically("~", float64(len(refused))/float64(len(counted)), 1e-9))
	}
	if produced > 0 {
		g.Expect(m.Wasted).To(gomega.BeNumerically("~", float64(produced-useful)/float64(produced), 1e-9))
	}
	sum := 0
	for _, r := range m.Refusals {
		sum += r.Count
	}
	errorEvents := keep(counted, func(s measure.Sample) bool { return s.Outcome.End == client.EndErrorEvent })
	g.Expect(sum).To(gomega.Equal(len(refused) + len(errorEvents)))
}

func TestMeasuresAgreeWithNaiveRecomputation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		samples := rapid.SliceOfN(rapid.Custom(drawSample), 0, 40).Draw(t, "samples")
		checkNaively(g, measure.Compute(samples, window), samples)
		total := 0
		for _, group := range measure.Groups(samples, window, classes, tiers) {
			some := slices.DeleteFunc(slices.Clone(samples), func(s measure.Sample) bool {
				return group.Class != "" && s.Arrival.Class != group.Class ||
					group.Tier != "" && s.Arrival.Tier != group.Tier
			})
			checkNaively(g, group.Measures, some)
			total += group.Requests
		}
		// Each request is in three groups: its class, its tier, and both.
		g.Expect(total).To(gomega.Equal(3 * measure.Compute(samples, window).Requests))
	})
}

func answered(at, first, ended time.Duration) measure.Sample {
	return measure.Sample{
		Arrival: arrivals.Arrival{At: at, FirstToken: 40 * ms, Deadline: 80 * ms},
		Outcome: client.Outcome{
			Due: at, First: at + first, Ended: at + ended, Tokens: 2,
			Gaps: []time.Duration{ended - first}, End: client.EndComplete,
		},
	}
}

func TestLatenciesCountFromTheDueTime(t *testing.T) {
	g := gomega.NewWithT(t)
	var samples []measure.Sample
	for i := range 100 {
		samples = append(samples, answered(time.Second, time.Duration(i+1)*ms, 200*ms))
	}
	m := measure.Compute(samples, window)
	// Histograms have three significant digits.
	g.Expect(m.FirstToken.Count).To(gomega.BeEquivalentTo(100))
	g.Expect(m.FirstToken.P50).To(gomega.BeNumerically("~", 50, 0.1))
	g.Expect(m.FirstToken.P99).To(gomega.BeNumerically("~", 99, 0.1))
	g.Expect(m.Total.Max).To(gomega.BeNumerically("~", 200, 0.3))
	g.Expect(m.Between.Max).To(gomega.BeNumerically("~", 199, 0.3))
	g.Expect(m.InTime).To(gomega.BeZero())
}

func TestPhasesCountArrivalsByDueAndGoodputByEnd(t *testing.T) {
	samples := []measure.Sample{
		answered(0, 10*ms, 30*ms),     // due and ended in the first phase
		answered(40*ms, 10*ms, 30*ms), // due in the first phase, ended in the second
		answered(60*ms, 50*ms, 60*ms), // due in the second phase, first token late, ended after the window
	}
	phases := []measure.Phase{{Name: "before", To: 50 * ms}, {Name: "after", From: 50 * ms, To: window}, {Name: "never", To: time.Hour}}
	got := measure.Phases(samples, phases, window)
	gomega.NewWithT(t).Expect(got).To(gomega.Equal([]measure.PhaseMeasures{
		{Name: "before", To: 0.05, Offered: 40, Attainment: 1, InTime: 1, Goodput: 20, GoodputTokens: 40},
		{Name: "after", From: 0.05, To: 0.1, Offered: 20, Attainment: 0, InTime: 1, Goodput: 20, GoodputTokens: 40},
	}))
}
