package bench_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/api"
	"coveferry/internal/bench"
	"coveferry/internal/bench/arrivals"
	"coveferry/internal/bench/check"
	"coveferry/internal/bench/scenario"
	"coveferry/internal/standin/engine"
)

// fakeFleet answers requests without routers and engines, in the fake time of
// testing/synctest. It can inject faults that the checks must detect.
type fakeFleet struct {
	answerDelay time.Duration // delay before each answer
	runTwice    bool          // record every run twice
	strayTokens int           // tokens of a run without a request

	mu      sync.Mutex
	runs    []engine.Run
	bodies  []string
	actions []string
	stopped bool
}

func (f *fakeFleet) Routers() []string { return []string{"http://a", "http://b"} }

func (f *fakeFleet) Engines() []bench.Engine {
	engines := make([]bench.Engine, 12)
	for i := range engines {
		engines[i] = fakeEngine{f, i}
	}
	return engines
}

func (f *fakeFleet) Stop() error {
	f.stopped = true
	return nil
}

func (f *fakeFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	answer, err := engine.ExpectedAnswer(engine.PathChat, body)
	if err != nil {
		return nil, err
	}
	id := f.run(r, string(body), answer)
	select {
	case <-time.After(f.answerDelay):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	text := fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", answer.Text)
	header := http.Header{}
	if r.Header.Get(api.HeaderIdempotencyKey) == "" { // otherwise runs are attributed by the key
		header.Set(api.HeaderRequestID, id)
	}
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     header,
		Body:       io.NopCloser(strings.NewReader(text)),
	}, nil
}

func (f *fakeFleet) run(r *http.Request, body string, a engine.Answer) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bodies = append(f.bodies, body)
	id := fmt.Sprintf("q%d", len(f.bodies))
	run := engine.Run{
		RequestID:      id + ".1.1",
		IdempotencyKey: r.Header.Get(api.HeaderIdempotencyKey),
		Produced:       a.Tokens,
	}
	f.runs = append(f.runs, run)
	if f.runTwice {
		f.runs = append(f.runs, run)
	}
	return id
}

type fakeEngine struct {
	fleet *fakeFleet
	index int
}

func (e fakeEngine) Record() []engine.Run {
	if e.index > 0 {
		return nil
	}
	stray := engine.Run{RequestID: "stray.1", Produced: e.fleet.strayTokens}
	return append(e.fleet.runs, stray)
}

func (e fakeEngine) recordAction(action string) {
	e.fleet.actions = append(e.fleet.actions, fmt.Sprintf("%s %d", action, e.index))
}

func (e fakeEngine) SetSpeed(float64) { e.recordAction("speed") }
func (e fakeEngine) Crash()           { e.recordAction("crash") }
func (e fakeEngine) Restart()         { e.recordAction("restart") }
func (e fakeEngine) Pause()           { e.recordAction("pause") }
func (e fakeEngine) Resume()          {}

type noProgress struct{}

func (noProgress) Begin(string, int) {}
func (noProgress) Step()             {}
func (noProgress) End()              {}

func options(t *testing.T, name string, policies ...string) bench.Options {
	g := gomega.NewWithT(t)
	s, err := scenario.ByName(name)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	mix, err := arrivals.MixByName(arrivals.MixBoth)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return bench.Options{
		Scenario: s, Mix: mix, Seed: s.Seed, Duration: 5 * time.Second, Scale: 1, Policies: policies,
	}
}

// runner returns a Runner that launches the fleets in turn.
func runner(fleets ...*fakeFleet) *bench.Runner {
	r := &bench.Runner{Log: zerolog.Nop(), Progress: noProgress{}}
	next := 0
	r.Launch = func(_ context.Context, spec bench.Spec) (bench.Fleet, error) {
		f := fleets[next]
		next++
		r.Transport = f
		return f, nil
	}
	return r
}

func TestPoliciesGetTheSameRequestsAndAreCompared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		product, baseline := &fakeFleet{}, &fakeFleet{answerDelay: 700 * time.Millisecond, runTwice: true, strayTokens: 3}
		result, err := runner(product, baseline).Run(t.Context(), options(t, "steady", "product", "baseline"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(result.Partial).To(gomega.BeFalse())

		slices.Sort(product.bodies)
		slices.Sort(baseline.bodies)
		g.Expect(product.bodies).To(gomega.Equal(baseline.bodies))
		g.Expect(product.stopped && baseline.stopped).To(gomega.BeTrue())

		good, bad := result.Policies[0], result.Policies[1]
		g.Expect(good.All.Requests).To(gomega.Equal(result.Arrivals))
		g.Expect(good.All.Attainment).To(gomega.Equal(1.0))
		g.Expect(good.Checks).To(gomega.Equal(check.Counts{}))
		// The text comes in one event, which counts as one token.
		g.Expect(good.All.Useful).To(gomega.Equal(result.Arrivals))

		// Only the classes with a target below 700 ms miss it.
		g.Expect(bad.Group("receipts", "").Attained).To(gomega.BeZero())
		g.Expect(bad.Group("queries", "").Attainment).To(gomega.Equal(1.0))
		g.Expect(bad.All.Produced).To(gomega.Equal(2*good.All.Produced + 3))
		g.Expect(bad.Checks.SecondRuns).To(gomega.BeNumerically(">", 0))
		g.Expect(bad.Checks.Total()).To(gomega.Equal(bad.Checks.SecondRuns))
		g.Expect(bad.Unattributed).To(gomega.Equal(1))

		g.Expect(result.Ratios).To(gomega.HaveLen(1))
		g.Expect(*result.Ratios[0].All.Attainment).To(gomega.BeNumerically("~", 1/bad.All.Attainment, 1e-9))
	})
}

func TestInterruptionGivesAPartialResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		fleet := &fakeFleet{answerDelay: 100 * time.Millisecond}
		result, err := runner(fleet).Run(ctx, options(t, "steady", "product", "baseline"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(result.Partial).To(gomega.BeTrue())
		g.Expect(result.Policies).To(gomega.HaveLen(1))
		p := result.Policies[0]
		g.Expect(p.Window).To(gomega.Equal(2.0))
		g.Expect(p.All.Requests).To(gomega.BeNumerically(">", 0))
		// Requests cut off by the bench are neither measured nor counted as failures.
		g.Expect(p.All.Ends.Complete).To(gomega.Equal(p.All.Requests))
		g.Expect(p.Checks).To(gomega.Equal(check.Counts{}))
		g.Expect(fleet.stopped).To(gomega.BeTrue())
		g.Expect(result.WriteJSON(&bytes.Buffer{})).To(gomega.Succeed())
	})
}

func TestFaultsAreInjectedOnSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &fakeFleet{}
		_, err := runner(fleet).Run(t.Context(), options(t, "crash", "product"))
		g := gomega.NewWithT(t)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(fleet.actions).To(gomega.HaveExactElements("crash 0", "restart 0", "crash 1", "restart 1", "crash 2"))
	})
}

// fullFleet supports all actions of the scenarios.
type fullFleet struct{ *fakeFleet }

func (f fullFleet) Roll(_ context.Context, i int) error {
	f.actions = append(f.actions, fmt.Sprintf("roll %d", i))
	return nil
}

func (f fullFleet) Cut(e int) { f.actions = append(f.actions, fmt.Sprintf("cut %d", e)) }
func (f fullFleet) Heal()     { f.actions = append(f.actions, "heal") }

func TestFleetIsRolledAndPartitioned(t *testing.T) {
	for name, want := range map[string][]string{
		"rolling":   {"roll 0", "roll 1"},
		"partition": {"cut 0", "cut 3", "cut 6", "cut 9"},
	} {
		synctest.Test(t, func(t *testing.T) {
			fleet := &fakeFleet{}
			r := runner()
			r.Launch = func(context.Context, bench.Spec) (bench.Fleet, error) { return fullFleet{fleet}, nil }
			r.Transport = fleet
			_, err := r.Run(t.Context(), options(t, name, "product"))
			g := gomega.NewWithT(t)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(fleet.actions).To(gomega.Equal(want))
		})
	}
}

func TestUnsupportedScenariosAndInvalidOptionsAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet := &fakeFleet{}
	_, err := runner(fleet).Run(t.Context(), options(t, "rolling", "product"))
	g.Expect(errors.Is(err, bench.ErrUnsupported)).To(gomega.BeTrue())
	g.Expect(fleet.stopped).To(gomega.BeTrue())
	g.Expect(fleet.bodies).To(gomega.BeEmpty())

	wrong := options(t, "steady", "product")
	wrong.Scale = 0
	_, err = runner().Run(t.Context(), wrong)
	g.Expect(errors.Is(err, bench.ErrInvalid)).To(gomega.BeTrue())
}
