package balance_test

// Requests in the simulation of endpoints that stop responding.

import (
	"cmp"
	"time"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/load"
	"coveferry/internal/membership"
	"coveferry/internal/prompt"
)

func (d *silenceSim) request(now time.Time, kind int) {
	k := simKinds[kind]
	counts := !now.Before(simEpoch.Add(silenceStart)) && now.Before(simEpoch.Add(silenceEnd))
	if counts {
		d.total[k.rank]++
	}
	outcome := &simRequest{at: now, rank: k.rank}
	d.requests = append(d.requests, outcome)
	r := d.routers[d.rnd.IntN(len(d.routers))]
	for now.Before(r.pausedUntil) {
		r = d.routers[d.rnd.IntN(len(d.routers))]
	}
	candidates := make([]*bundle.Endpoint, len(d.engines))
	for i, e := range d.engines {
		candidates[i] = &e.Endpoint
	}
	p := prompt.Prompt{Tokens: k.tokens, ExpectedOutput: 5 * k.eventCount, Parts: []prompt.Part{{ID: d.rnd.Uint64(), Tokens: k.tokens}}}
	req := balance.Request{Service: "llm", Tier: k.rank, Prompt: p, MaxGap: k.gap, Stride: 5}
	c, err := r.pool.ChooseWithEstimates(now, req, candidates, nil)
	if err != nil {
		return
	}
	e := d.engine(c.Endpoint.Name)
	if e.silent {
		d.sentToSilent = append(d.sentToSilent, now)
	}
	work := balance.Work{Service: "llm", Tier: k.rank, Prompt: p, TightGap: c.TightGap, MaxGap: k.gap, Stride: 5}
	run := &simRun{d: d, r: r, engine: e, account: r.pool.Track(now, e.Name, work), eventsLeft: k.eventCount, request: outcome, counts: counts}
	e.freeAt = laterOf(e.freeAt, now).Add(time.Duration(float64(k.tokens) * float64(prefillPerToken) * cmp.Or(e.slowdown, 1)))
	e.load++
	if outcome.rank == 0 {
		e.urgent++
	}
	run.lastResponseAt = now
	d.on(e.freeAt.Add(13*time.Millisecond), run.event)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// simRun is a request running at an engine.
type simRun struct {
	d              *silenceSim
	r              *simRouter
	engine         *simEngine
	account        *balance.TrackedRequest
	eventsLeft     int
	request        *simRequest
	counts         bool
	lastResponseAt time.Time
}

// event delivers the next event of the response. Nothing more arrives once the engine was silent.
func (run *simRun) event(now time.Time) {
	if run.engine.silent {
		run.d.on(run.lastResponseAt.Add(clientTimeout), run.cancel)
		return
	}
	if now.Before(run.r.pausedUntil) {
		run.d.on(run.r.pausedUntil, run.event)
		return
	}
	run.request.gotResponse = true
	run.account.DataReceived(now)
	run.account.EventReceived(now)
	run.d.apply(run.r, run.r.core.Apply(now, membership.AgentStatus{Endpoint: run.engine.Name, Incarnation: "a", Via: membership.ReasonReport}))
	run.lastResponseAt = now
	if run.eventsLeft--; run.eventsLeft > 0 {
		run.d.on(now.Add(time.Duration(float64(eventInterval)*cmp.Or(run.engine.slowdown, 1))), run.event)
		return
	}
	run.end(now, balance.ResultOK)
	if run.counts {
		run.d.completed[run.request.rank]++
	}
}

func (run *simRun) cancel(now time.Time) { run.end(now, balance.ResultCancelled) }

func (run *simRun) end(now time.Time, result balance.Result) {
	run.engine.load--
	if run.request.rank == 0 {
		run.engine.urgent--
	}
	run.account.Release()
	run.account.Done(now, result)
	report := load.Report{Slots: 64, Seq: uint64(now.Sub(simEpoch))}
	report.Running[0] = run.engine.load
	if result == balance.ResultOK && !run.d.noLoadReports {
		run.r.pool.Report(now, run.engine.Name, report)
	}
}
