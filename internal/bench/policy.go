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

// policy measures one policy on a fresh fleet.
func (r *Runner) policy(ctx context.Context, e experiment, name string) (report.Policy, error) {
	fleet, err := r.Launch(ctx, e.spec(name, time.Now()))
	if err != nil {
		return report.Policy{}, errors.Wrap(err, "launch the fleet")
	}
	if err := supports(fleet, e.events()); err != nil {
		return report.Policy{}, errors.CombineErrors(err, fleet.Stop())
	}
	t := r.drive(ctx, e, name, fleet)
	w := collect(fleet.Engines(), newAttribution(e.list, t.drive.Outcomes))
	return e.evaluate(name, t, w)
}

// trial is what came of the load with one policy.
type trial struct {
	drive   client.Drive
	elapsed time.Duration
	// window is how long load arrived.
	window time.Duration
	cores  float64
}

// drive sends the load and stops the fleet.
func (r *Runner) drive(ctx context.Context, e experiment, name string, fleet Fleet) trial {
	r.Progress.Begin(name, len(e.list))
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
	faults.Go(func() { r.inflict(faultCtx, fleet, e.events(), start) })
	opt := client.Options{Start: start, MaxOpen: MaxOpen, Progress: r.Progress.Step}
	drive := client.Run(ctx, c, e.list, opt)
	elapsed := time.Since(start)
	endFaults()
	faults.Wait()
	cores := cpu.cores()
	if err := fleet.Stop(); err != nil {
		r.Log.Warn().Err(err).Msg("the fleet didn't stop in good order")
	}
	return trial{
		drive:   drive,
		elapsed: elapsed,
		window:  min(elapsed, e.opt.Duration),
		cores:   cores,
	}
}

func (e experiment) evaluate(name string, t trial, w work) (report.Policy, error) {
	samples := e.samples(t.drive.Outcomes, w)
	sent, err := e.sent(t.drive.Outcomes)
	if err != nil {
		return report.Policy{}, err
	}
	phases := measure.Phases(samples, e.scenario.Phases, t.window)
	all := measure.Of(samples, t.window).WithLoose(w.unattributed.tokens)
	return report.Policy{
		Policy:       name,
		Elapsed:      t.elapsed.Seconds(),
		Window:       t.window.Seconds(),
		CPUCores:     t.cores,
		MaxOpen:      t.drive.MaxOpen,
		LimitHit:     t.drive.LimitHit,
		SendLag:      measure.SendLag(samples),
		Checks:       check.Check(sent, t.drive.Outcomes, w.runs),
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
// order of the arrivals, and may be fewer.
func (e experiment) samples(outcomes []client.Outcome, w work) []measure.Sample {
	samples := make([]measure.Sample, len(outcomes))
	for i, o := range outcomes {
		a := e.list[i]
		samples[i] = measure.Sample{Arrival: a, Outcome: o, Produced: w.produced[a.ID]}
	}
	return samples
}

// sent lists the requests that were sent, with the answers that belong to them.
func (e experiment) sent(outcomes []client.Outcome) ([]check.Sent, error) {
	list := make([]check.Sent, len(outcomes))
	for i := range outcomes {
		a := e.list[i]
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
