package balance_test

// Requests of the play of endpoints that fall silent.

import (
	"cmp"
	"time"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/load"
	"coveferry/internal/membership"
	"coveferry/internal/prompt"
)

func (d *dark) request(now time.Time, kind int) {
	k := darkKinds[kind]
	counts := !now.Before(darkEpoch.Add(darkFrom)) && now.Before(darkEpoch.Add(darkUntil))
	if counts {
		d.asked[k.rank]++
	}
	ask := &darkAsk{at: now, rank: k.rank}
	d.asks = append(d.asks, ask)
	r := d.routers[d.rnd.IntN(len(d.routers))]
	for now.Before(r.standsUntil) {
		r = d.routers[d.rnd.IntN(len(d.routers))]
	}
	candidates := make([]*bundle.Endpoint, len(d.engines))
	for i, e := range d.engines {
		candidates[i] = &e.Endpoint
	}
	p := prompt.Prompt{Tokens: k.tokens, Output: 5 * k.events, Parts: []prompt.Part{{ID: d.rnd.Uint64(), Tokens: k.tokens}}}
	req := balance.Request{Service: "llm", Tier: k.rank, Prompt: p, MaxGap: k.gap, Stride: 5}
	c, err := r.pool.ChooseExpecting(now, req, candidates, nil)
	if err != nil {
		return
	}
	e := d.engine(c.Endpoint.Name)
	if e.dark {
		d.into = append(d.into, now)
	}
	work := balance.Work{Service: "llm", Tier: k.rank, Prompt: p, Tight: c.Tight, MaxGap: k.gap, Stride: 5}
	run := &darkRun{d: d, r: r, e: e, account: r.pool.SentWork(now, e.Name, work), left: k.events, ask: ask, counts: counts}
	e.free = cmpMax(e.free, now).Add(time.Duration(float64(k.tokens) * float64(tokenTime) * cmp.Or(e.slow, 1)))
	e.load++
	if ask.rank == 0 {
		e.urgent++
	}
	run.heardAt = now
	d.on(e.free.Add(13*time.Millisecond), run.event)
}

func cmpMax(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// darkRun is a request at an engine.
type darkRun struct {
	d       *dark
	r       *darkRouter
	e       *darkEngine
	account *balance.Account
	left    int
	ask     *darkAsk
	counts  bool
	heardAt time.Time
}

// event is the next event of the answer. What is lost while the engine is dark stays lost.
func (run *darkRun) event(now time.Time) {
	if run.e.dark {
		run.d.on(run.heardAt.Add(leaveAfter), run.leave)
		return
	}
	if now.Before(run.r.standsUntil) {
		run.d.on(run.r.standsUntil, run.event)
		return
	}
	run.ask.began = true
	run.account.Heard(now)
	run.account.Event(now)
	run.d.apply(run.r, run.r.core.Apply(now, membership.OwnWord{Endpoint: run.e.Name, Incarnation: "a", Via: membership.ReasonReport}))
	run.heardAt = now
	if run.left--; run.left > 0 {
		run.d.on(now.Add(time.Duration(float64(eventTime)*cmp.Or(run.e.slow, 1))), run.event)
		return
	}
	run.end(now, balance.ResultOK)
	if run.counts {
		run.d.whole[run.ask.rank]++
	}
}

func (run *darkRun) leave(now time.Time) { run.end(now, balance.ResultCancelled) }

func (run *darkRun) end(now time.Time, result balance.Result) {
	run.e.load--
	if run.ask.rank == 0 {
		run.e.urgent--
	}
	run.account.Ended()
	run.account.Done(now, result)
	report := load.Report{Slots: 64, Seq: uint64(now.Sub(darkEpoch))}
	report.Running[0] = run.e.load
	if result == balance.ResultOK && !run.d.untold {
		run.r.pool.Report(now, run.e.Name, report)
	}
}
