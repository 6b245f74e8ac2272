package measure

import (
	"time"

	"coveferry/internal/rollout/lab"
)

// point computes the results.
func (r *measurement) point() Point {
	seconds := r.endCounters.at.Sub(r.startCounters.at).Seconds()
	out := Point{
		Nodes: r.sc.Nodes, Domains: r.sc.Domains, Mode: r.sc.Mode, Fault: r.sc.Fault,
		Changes: len(r.published), Restarts: len(r.restarts),
		CallsPerSecond:   float64(r.endCounters.calls-r.startCounters.calls) / seconds,
		LimitedPerSecond: float64(r.endCounters.limited-r.startCounters.limited) / seconds,
		CPUShare:         (r.endCounters.cpu - r.startCounters.cpu).Seconds() / seconds / float64(r.sc.Nodes),
	}
	out.bytes(r, seconds)
	out.inForce(r)
	out.ready(r)
	for _, p := range r.Processes {
		out.Backwards += countBackwards(p.AppliedVersions())
	}
	return out
}

func (out *Point) bytes(r *measurement, seconds float64) {
	for i := range r.Processes {
		rate := float64(r.endCounters.bytes[i]-r.startCounters.bytes[i]) / seconds
		out.BytesPerSecond += rate / float64(len(r.Processes))
		out.MaxBytesPerSecond = max(out.MaxBytesPerSecond, rate)
	}
}

// inForce evaluates the nodes that weren't restarted.
func (out *Point) inForce(r *measurement) {
	restarted := make(map[*lab.Process]bool)
	for _, one := range r.restarts {
		restarted[one.proc] = true
	}
	var times []time.Duration
	never, all := 0, 0
	for _, p := range r.Processes {
		if restarted[p] {
			continue
		}
		log := p.AppliedVersions()
		for i, at := range r.published {
			all++
			took, ok := timeToReach(log, uint64(firstVersion+1+i), at)
			if !ok {
				never++
				continue
			}
			times = append(times, took)
		}
	}
	out.InForce = quantiles(times)
	out.NeverInForce = float64(never) / float64(max(1, all))
}

// timeToReach returns the time from publishing a version until it or a higher
// one was active.
func timeToReach(log []lab.Applied, version uint64, published time.Time) (time.Duration, bool) {
	for _, a := range log {
		if a.Version >= version {
			return max(0, a.At.Sub(published)), true
		}
	}
	return 0, false
}

func (out *Point) ready(r *measurement) {
	var times []time.Duration
	for _, one := range r.restarts {
		ready, ok := one.proc.FirstReady()
		if !ok {
			continue
		}
		times = append(times, ready.At.Sub(one.at))
		if ready.Version < one.versionBefore {
			out.ReadyBelow++
			if ready.Confirmed {
				out.ConfirmedBelow++
			}
		}
	}
	out.Ready = quantiles(times)
}

func countBackwards(log []lab.Applied) int {
	n := 0
	for i := 1; i < len(log); i++ {
		if log[i].Incarnation == log[i-1].Incarnation && log[i].Version <= log[i-1].Version {
			n++
		}
	}
	return n
}
