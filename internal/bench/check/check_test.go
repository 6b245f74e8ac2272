package check_test

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"coveferry/internal/bench/check"
	"coveferry/internal/bench/client"
	"coveferry/internal/wire"
)

const answer = "one whole answer"

func completeOutcome(id string) client.Outcome {
	return client.Outcome{ID: id, End: client.EndComplete, Text: answer}
}

func run(id string) check.Run { return check.Run{Request: id, Engine: 1, Tokens: 3} }

// testRun is the input of Check.
type testRun struct {
	sent     []check.Sent
	received []client.Outcome
	runs     []check.Run
}

func faultlessRun() testRun {
	return testRun{
		sent: []check.Sent{
			{ID: "r1", Answer: answer, NonIdempotent: true},
			{ID: "r2", Answer: answer},
			{ID: "r3", Answer: answer},
			{ID: "r4", Answer: answer},
		},
		received: []client.Outcome{
			completeOutcome("r1"),
			completeOutcome("r2"),
			{ID: "r3", End: client.EndRefused, Run: wire.RunNot},
			{ID: "r4", End: client.EndTimeout, Text: answer[:5]},
		},
		runs: []check.Run{
			{Request: "r1", Engine: 1, HandedOver: true},
			{Request: "r1", Engine: 2, Continues: true},
			run("r2"), run("r2"),
			run("r4"),
		},
	}
}

func (s testRun) counts() check.Counts { return check.Check(s.sent, s.received, s.runs) }

func TestFaultlessRunHasNoFaults(t *testing.T) {
	gomega.NewWithT(t).Expect(faultlessRun().counts()).To(gomega.Equal(check.Counts{}))
}

func TestEachInjectedFaultIsDetected(t *testing.T) {
	cases := []struct {
		name   string
		inject func(*testRun)
		want   check.Counts
	}{
		{"no outcome", func(s *testRun) { s.received = s.received[1:] }, check.Counts{Lost: 1}},
		{"stream without an end", func(s *testRun) { s.received[1].End = client.EndTruncated }, check.Counts{Lost: 1}},
		{"broken connection", func(s *testRun) {
			s.received[1] = client.Outcome{ID: "r2", End: client.EndFailed}
		}, check.Counts{Lost: 1}},
		{"two answers", func(s *testRun) { s.received = append(s.received, completeOutcome("r2")) }, check.Counts{Doubled: 1}},
		{"answer twice in one stream", func(s *testRun) { s.received[1].Text += answer }, check.Counts{Doubled: 1}},
		{"other text", func(s *testRun) { s.received[1].Text = "another answer" }, check.Counts{Mixed: 1}},
		{"other text before a timeout", func(s *testRun) { s.received[3].Text = "an" }, check.Counts{Mixed: 1}},
		{"partial answer ended as complete", func(s *testRun) { s.received[1].Text = answer[:5] }, check.Counts{TruncatedAsWhole: 1}},
		{"empty answer ended as complete", func(s *testRun) { s.received[1].Text = "" }, check.Counts{TruncatedAsWhole: 1}},
		{"run despite a not-run error", func(s *testRun) { s.runs = append(s.runs, run("r3")) }, check.Counts{FalseNotRun: 1}},
		{"ran twice", func(s *testRun) { s.runs = append(s.runs, run("r1")) }, check.Counts{SecondRuns: 1}},
		{"resumed after a crash", func(s *testRun) { s.runs[0].HandedOver = false }, check.Counts{SecondRuns: 1}},
		{"resumed twice after one hand-over", func(s *testRun) { s.runs = append(s.runs, s.runs[1]) }, check.Counts{SecondRuns: 1}},
		{"ran three times", func(s *testRun) { s.runs = append(s.runs, run("r1"), run("r1")) }, check.Counts{SecondRuns: 2}},
		{"run of an unknown request", func(s *testRun) { s.runs = append(s.runs, run("r9")) }, check.Counts{UnknownRuns: 1}},
	}
	for _, p := range cases {
		t.Run(p.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := faultlessRun()
			p.inject(&s)
			got := s.counts()
			g.Expect(got.Total()).To(gomega.Equal(p.want.Total()))
			g.Expect(got.Examples).NotTo(gomega.BeEmpty())
			got.Examples = nil
			g.Expect(got).To(gomega.Equal(p.want))
		})
	}
}

// A complete answer with any other text than the expected one, including a prefix
// of it, must be reported.
func TestAlteredTextIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := faultlessRun()
		text := rapid.StringMatching(`[onewhlasr ]{0,20}`).Draw(t, "text")
		s.received[1].Text = text
		gomega.NewWithT(t).Expect(s.counts().Total() == 0).To(gomega.Equal(text == answer))
	})
}
