// Package path measures the overhead of router and agent compared with a direct
// call of an engine: latency, CPU time, and memory per open stream. Router, agent
// and stub engine each run in a separate process, so that their usage can be
// measured separately; the measuring process is the caller. Direct and routed
// calls to the same engine alternate within one run, so that noise of the machine
// affects both.
package path

import (
	"context"
	"net"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/units"
)

// Parameters of the measurement.
const (
	model          = "stand-in"
	team           = "bench"
	key            = "bench-key"
	class          = "bench"
	endpoint       = "bench-endpoint"
	engineSlots    = 4096
	requestBytes   = 1 << 20
	maxHeaderBytes = 64 << 10
	tokenTime      = time.Millisecond
	streamPause    = 250 * time.Millisecond // between the tokens of an open stream
	streamTime     = 3 * time.Second        // duration of the measurement of open streams
	grace          = 5 * time.Second
	certValidity   = 24 * time.Hour
	alternations   = 10 // pairs of a direct and a routed slice of the duration
)

// Options configures a measurement.
type Options struct {
	Rate     int           // requests per second
	Duration time.Duration // of all calls, direct and routed
	Streams  int           // streams open at once
	// Launch starts the parts' processes.
	Launch Launch
	// Profiles is the directory for CPU and heap profiles of each part; empty
	// writes none.
	Profiles string
}

// profile returns the path prefix of the profiles of one measurement.
func (o Options) profile(name string) string {
	if o.Profiles == "" {
		return ""
	}
	return filepath.Join(o.Profiles, name)
}

// Latency is a distribution, in microseconds.
type Latency struct {
	P50 int64 `json:"p50_us"`
	P90 int64 `json:"p90_us"`
	P99 int64 `json:"p99_us"`
	Max int64 `json:"max_us"`
}

// CallStats holds the measurements of direct or of routed calls.
type CallStats struct {
	Requests   int     `json:"requests"`
	Failed     int     `json:"failed"`
	FirstToken Latency `json:"first_token"`
	Total      Latency `json:"total"`
	// Gap is the inter-token latency.
	Gap Latency `json:"gap"`
}

// Result holds the overhead and the resource usage of router and agent.
type Result struct {
	Rate    int       `json:"rate"`
	Streams int       `json:"streams"`
	Direct  CallStats `json:"direct"`
	Routed  CallStats `json:"routed"`
	// Added is routed minus direct, quantile by quantile.
	Added Added `json:"added"`
	// The resource usage of the parts for routed calls; the stub engine's is
	// included for comparison.
	Router Cost `json:"router"`
	Agent  Cost `json:"agent"`
	Engine Cost `json:"engine"`
}

// Added is the latency added by router and agent together, in microseconds.
type Added struct {
	FirstTokenP50 int64 `json:"first_token_p50_us"`
	FirstTokenP99 int64 `json:"first_token_p99_us"`
	TotalP50      int64 `json:"total_p50_us"`
	TotalP99      int64 `json:"total_p99_us"`
	GapP50        int64 `json:"gap_p50_us"`
	GapP99        int64 `json:"gap_p99_us"`
}

// Run runs the measurements. progress, which may be nil, is called with a
// description of the next step.
func Run(ctx context.Context, o Options, progress func(string)) (*Result, error) {
	if progress == nil {
		progress = func(string) {}
	}
	r := &Result{Rate: o.Rate, Streams: o.Streams}
	if err := r.measureCalls(ctx, o, progress); err != nil {
		return nil, err
	}
	if err := r.measureStreams(ctx, o, progress); err != nil {
		return nil, err
	}
	r.computeAdded()
	return r, nil
}

// testBundle returns a bundle with one team without limits and one endpoint.
func testBundle(agentAddress string) bundle.Bundle {
	minute := units.Duration(time.Minute)
	return bundle.Bundle{
		Format: bundle.Format, Version: 1,
		Tiers:   []bundle.Tier{{Name: "only"}},
		Classes: []bundle.Class{{Name: class, FirstToken: minute, Deadline: minute}},
		Models:  []bundle.Model{{Name: model}},
		Teams: []bundle.Team{{
			Name: team, KeyHashes: []string{bundle.HashKey(key)},
			Grants: []bundle.Grant{{Class: class, Tier: "only"}},
		}},
		Endpoints: []bundle.Endpoint{{
			Name: endpoint, Address: agentAddress, VM: "vm", FailureDomain: "domain", Region: "local",
			Models: []string{model}, Slots: engineSlots,
		}},
		Limits: bundle.Limits{RequestBytes: requestBytes, QueueEntries: engineSlots, QueueBytes: 1 << 30},
	}
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// measureCalls measures alternating direct and routed calls.
func (r *Result) measureCalls(ctx context.Context, o Options, progress func(string)) error {
	p, err := startParts(o.Launch, tokenTime, o.profile("calls"))
	if err != nil {
		return err
	}
	return errors.CombineErrors(r.alternateCalls(ctx, o, p, progress), p.stop())
}

func (r *Result) alternateCalls(ctx context.Context, o Options, p *partProcesses, progress func(string)) error {
	direct, routed := newCallMeter(), newCallMeter()
	var used partUsage
	slice := o.Duration / (2 * alternations)
	for i := range alternations {
		progress("calls, part " + (slice * time.Duration(2*i)).String() + " of " + o.Duration.String())
		if err := direct.sendCalls(ctx, p.directURL(), o.Rate, slice); err != nil {
			return err
		}
		add, err := usageDuring(p, false, func() error { return routed.sendCalls(ctx, p.routedURL(), o.Rate, slice) })
		if err != nil {
			return err
		}
		used = used.plus(add)
	}
	r.Direct, r.Routed = direct.stats(), routed.stats()
	r.Router.setCalls(used.router.CPU, routed.requests)
	r.Agent.setCalls(used.agent.CPU, routed.requests)
	r.Engine.setCalls(used.engine.CPU, routed.requests)
	return nil
}

// usageDuring returns the usage of the parts during work.
func usageDuring(p *partProcesses, collectGarbage bool, work func() error) (partUsage, error) {
	before, err := p.usage(collectGarbage)
	if err != nil {
		return partUsage{}, err
	}
	if err := work(); err != nil {
		return partUsage{}, err
	}
	after, err := p.usage(collectGarbage)
	return after.minus(before), err
}

// computeAdded computes the latency that router and agent add.
func (r *Result) computeAdded() {
	d, w := r.Direct, r.Routed
	r.Added = Added{
		FirstTokenP50: w.FirstToken.P50 - d.FirstToken.P50,
		FirstTokenP99: w.FirstToken.P99 - d.FirstToken.P99,
		TotalP50:      w.Total.P50 - d.Total.P50,
		TotalP99:      w.Total.P99 - d.Total.P99,
		GapP50:        w.Gap.P50 - d.Gap.P50,
		GapP99:        w.Gap.P99 - d.Gap.P99,
	}
}

// measureStreams opens routed streams, and measures the memory of a stream and
// the CPU time of a token.
func (r *Result) measureStreams(ctx context.Context, o Options, progress func(string)) error {
	progress("open streams")
	p, err := startParts(o.Launch, streamPause, o.profile("streams"))
	if err != nil {
		return err
	}
	return errors.CombineErrors(r.measureOpenStreams(ctx, o, p), p.stop())
}

func (r *Result) measureOpenStreams(ctx context.Context, o Options, p *partProcesses) error {
	if err := warmUp(ctx, p.routedURL()); err != nil {
		return err
	}
	s := &openStreams{}
	defer s.close()
	memory, err := usageDuring(p, true, func() error { return s.open(ctx, p.routedURL(), o.Streams) })
	if err != nil {
		return err
	}
	tokensBefore := s.tokens.Load()
	used, err := usageDuring(p, false, func() error { return sleep(ctx, streamTime) })
	tokens := int(s.tokens.Load() - tokensBefore)
	for _, row := range []struct {
		cost         *Cost
		memory, used Usage
	}{{&r.Router, memory.router, used.router}, {&r.Agent, memory.agent, used.agent}, {&r.Engine, memory.engine, used.engine}} {
		row.cost.StreamBytes = row.memory.Memory / float64(max(o.Streams, 1))
		row.cost.setTokens(row.used.CPU, tokens)
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newHistogram returns a histogram of durations in microseconds, up to a minute.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func latency(h *hdrhistogram.Histogram) Latency {
	return Latency{
		P50: h.ValueAtQuantile(50),
		P90: h.ValueAtQuantile(90),
		P99: h.ValueAtQuantile(99),
		Max: h.Max(),
	}
}
