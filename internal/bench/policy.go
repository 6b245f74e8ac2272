package bench

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bench/arrivals"
	"coveferry/internal/bench/check"
	"coveferry/internal/bench/client"
	"coveferry/internal/bench/measure"
	"coveferry/internal/bench/report"
	"coveferry/internal/standin/engine"
)

// runPolicy measures one policy on a new fleet.
func (r *Runner) runPolicy(ctx context.Context, e experiment, name string) (report.Policy, error) {
	fleet, err := r.Launch(ctx, e.spec(name, time.Now()))
	if err != nil {
		return report.Policy{}, errors.Wrap(err, "launch the fleet")
	}
	if err := checkSupport(fleet, e.events()); err != nil {
		return report.Policy{}, errors.CombineErrors(err, fleet.Stop())
	}
	t := r.runLoad(ctx, e, name, fleet)
	w := collectWork(fleet.Engines(), newRequestIndex(e.arrivals, t.result.Outcomes))
	return e.evaluate(name, t, w)
}

// loadResult is the result of sending the load with one policy.
type loadResult struct {
	result  client.RunResult
	elapsed time.Duration
	// window is the time during which load arrived.
	window time.Duration
	cores  float64
}

// runLoad sends the load and stops the fleet.
func (r *Runner) runLoad(ctx context.Context, e experiment, name string, fleet Fleet) loadResult {
	r.Progress.Begin(name, len(e.arrivals))
	defer r.Progress.End()
	cpu := startCPU()
	start := time.Now()
	c := client.New(client.Config{
		Routers:   fleet.Routers(),
		Model:     engine.DefaultModel,
		Key:       Key,
		Start:     start,
		Transport: r.Transport,
	})
	defer c.Close()

	faultCtx, endFaults := context.WithCancel(ctx)
	var faults sync.WaitGroup
	faults.Go(func() { r.injectFaults(faultCtx, fleet, e.events(), start) })
	opt := client.Options{Start: start, MaxOpen: MaxOpen, Progress: r.Progress.Step}
	result := client.Run(ctx, c, e.arrivals, opt)
	elapsed := time.Since(start)
	endFaults()
	faults.Wait()
	cores := cpu.cores()
	if err := fleet.Stop(); err != nil {
		r.Log.Warn().Err(err).Msg("the fleet didn't stop cleanly")
	}
	return loadResult{
		result:  result,
		elapsed: elapsed,
		window:  min(elapsed, e.opt.Duration),
		cores:   cores,
	}
}

func (e experiment) evaluate(name string, t loadResult, w engineWork) (report.Policy, error) {
	samples := e.samples(t.result.Outcomes, w)
	sent, err := e.sent(t.result.Outcomes)
	if err != nil {
		return report.Policy{}, err
	}
	phases := measure.Phases(samples, e.scenario.Phases, t.window)
	all := measure.Compute(samples, t.window).WithUnattributed(w.unattributed.tokens)
	return report.Policy{
		Policy:       name,
		Elapsed:      t.elapsed.Seconds(),
		Window:       t.window.Seconds(),
		CPUCores:     t.cores,
		MaxOpen:      t.result.MaxOpen,
		LimitHit:     t.result.LimitHit,
		SendLag:      measure.SendLag(samples),
		Checks:       check.Check(sent, t.result.Outcomes, w.runs),
		Unattributed: w.unattributed.runs,
		All:          all,
		Groups:       measure.Groups(samples, t.window, e.classes(), arrivals.Tiers()),
		Phases:       phases,
		Recovery:     report.Recovery(phases),
	}, nil
}

func (e experiment) classes() []string {
	var names []string
	for _, c := range e.opt.Mix.Classes() {
		names = append(names, c.Name)
	}
	return names
}

// samples joins arrivals, outcomes and the engines' work. Outcomes are in the
// order of the arrivals; there may be fewer of them.
func (e experiment) samples(outcomes []client.Outcome, w engineWork) []measure.Sample {
	samples := make([]measure.Sample, len(outcomes))
	for i, o := range outcomes {
		a := e.arrivals[i]
		samples[i] = measure.Sample{Arrival: a, Outcome: o, Produced: w.produced[a.ID]}
	}
	return samples
}

// sent returns the requests that were sent, with their expected answers.
func (e experiment) sent(outcomes []client.Outcome) ([]check.Sent, error) {
	list := make([]check.Sent, len(outcomes))
	for i := range outcomes {
		a := e.arrivals[i]
		body, err := client.Body(engine.DefaultModel, a)
		if err != nil {
			return nil, err
		}
		answer, err := engine.ExpectedAnswer(engine.PathChat, body)
		if err != nil {
			return nil, errors.Wrapf(err, "expected answer to %s", a.ID)
		}
		list[i] = check.Sent{ID: a.ID, Answer: answer.Text, NonIdempotent: a.NonIdempotent}
	}
	return list, nil
}
