package balance

import (
	"math/rand/v2"
	"time"

	"coveferry/internal/age"
	"coveferry/internal/forecast"
)

// minPacedShare is the share of the endpoints that have to state their pace for forecasts to
// apply: a router that has just started has heard of few, and the others are like them.
const minPacedShare = 0.25

// forecastApplies reports whether choices among the endpoints of a service are made by forecast.
func forecastApplies(views []View) bool {
	stated := 0
	for i := range views {
		if statesForecastInputs(&views[i]) {
			stated++
		}
	}
	return stated > 0 && float64(stated) >= minPacedShare*float64(len(views))
}

// statesForecastInputs is the condition for one endpoint: it states its load and its pace.
func statesForecastInputs(v *View) bool { return !v.ReportedAt.IsZero() && v.Pace > 0 }

// forecastGroup holds the endpoints that a request may be sent to.
type forecastGroup struct {
	// endpoints are those of the request's kind, in rank order if it is isolated, and reduced
	// those with reduced capacity.
	endpoints, reduced []int
	// regular is the number of endpoints of all kinds.
	regular  int
	tightGap bool
	decision isolation
}

// describe sets View.forecast at the endpoints of the group, if forecasts apply to them.
func (p PromptAware) describe(now time.Time, req Request, views []View, group forecastGroup) {
	if !forecastApplies(views) {
		return
	}
	perToken := meanSecondsPerPromptToken(views, group.endpoints)
	isolated, others := p.demand.lastServiceDemand(req.Service).split(group.decision)
	ofOthers := others.waitingPrompts(req, perToken)
	ofIsolated := isolated.waitingPrompts(req, perToken)
	busyOthers := others.prefillShare(group.othersEndpoints())
	busyIsolated := isolated.prefillShare(group.decision.dedicated)
	for n, i := range group.endpoints {
		prompts, inflow := ofOthers, busyOthers
		if group.tightGap && n < group.decision.dedicated {
			prompts, inflow = ofIsolated, busyIsolated
		}
		views[i].describe(now, prompts)
		// A slow endpoint is counted as preferred for as many prompts as a fast one, which is an
		// upper bound.
		views[i].forecast.Inflow = inflow * views[i].SecondsPerPromptToken / perToken
	}
	shareInflow(views, group.endpoints, p.demand.share())
	for _, i := range group.reduced {
		views[i].describe(now, ofOthers)
		// Few routers send to such an endpoint, and this one is among them.
		views[i].forecast.Unreported = float64(views[i].OwnUnreported)
	}
}

// othersEndpoints returns the number of endpoints of the kinds that aren't isolated.
func (g forecastGroup) othersEndpoints() int {
	if g.tightGap {
		return max(1, g.regular-g.decision.dedicated)
	}
	return len(g.endpoints)
}

// shareInflow estimates how many requests all routers sent to each endpoint since its report. All
// of them see about the same reports, so that endpoints with longer backlogs than the mean get
// less.
func shareInflow(views []View, group []int, share float64) {
	mean := 0.0
	for _, i := range group {
		mean += views[i].forecast.Reported().Seconds() / float64(len(group))
	}
	for _, i := range group {
		e := &views[i].forecast
		if e.ReportAge.Known() {
			e.Unreported = e.Sent(seconds(mean), float64(views[i].OwnUnreported), share)
		}
	}
}

// prefillShare returns the share of the time of the given number of endpoints that the prefill of
// this demand takes.
func (d Demand) prefillShare(endpoints int) float64 {
	busy := 0.0
	for _, k := range d {
		busy += k.rate() * k.meanPrefillSeconds()
	}
	return busy / float64(max(endpoints, 1))
}

// describe describes the endpoint, at which such prompts wait, for forecasts.
func (v *View) describe(now time.Time, prompts forecast.Prompts) {
	v.forecasts = true
	v.forecast = forecast.Endpoint{
		SecondsPerPromptToken: v.SecondsPerPromptToken, SecondsPerOutputToken: v.SecondsPerOutputToken,
		PrefillOverhead: v.PrefillOverhead,
		Running:         v.Load.TotalRunning(), Waiting: v.Load.TotalQueued(), ReportAge: age.Since(v.ReportedAt, now),
		Slots: v.Load.Slots, OwnTokens: v.PendingPrefill,
		Unreported: max(v.EstimatedUnreported, float64(v.OwnUnreported)),
		Prompts:    prompts,
	}
}

// answer forecasts when the request would be answered at an endpoint described for it.
func (v *View) answer(req Request) forecast.Answer {
	return forecast.Input{Endpoint: v.forecast, Request: forecast.Request{
		Tier: req.Tier, PrefillTokens: max(0, req.Prompt.Tokens-v.CachedTokens), OutputTokens: req.Prompt.ExpectedOutput,
	}}.Answer()
}

// forecastWaitCost returns the cost of waiting at an endpoint described for the request, in
// milliseconds.
func (v *View) forecastWaitCost(req Request) float64 {
	limits := forecast.Limits{Objective: req.Objective, Deadline: req.TimeLeft}
	return 1000 * v.answer(req).Cost(limits).Seconds()
}

// lateSamples is how many further endpoints are looked at before a request is late: with half of
// the endpoints backlogged, 1 request in 256 finds none of the others.
const lateSamples = 8

// earlierEndpoint returns the chosen endpoint, or the earliest of a few others if prefill would
// begin there after the objective only. A request is refused by what is expected at the chosen
// endpoint, so that the others must not be better.
func earlierEndpoint(req Request, views []View, group []int, chosen int, rnd *rand.Rand) int {
	if !views[chosen].forecasts || req.Objective <= 0 {
		return chosen
	}
	earliest := views[chosen].answer(req).Start
	if earliest <= req.Objective {
		return chosen
	}
	for range lateSamples {
		i := group[rnd.IntN(len(group))]
		if start := views[i].answer(req).Start; start < earliest {
			chosen, earliest = i, start
		}
	}
	return chosen
}

// meanSecondsPerPromptToken returns the mean prefill time of a token at the endpoints of a group.
func meanSecondsPerPromptToken(views []View, group []int) float64 {
	mean := 0.0
	for _, i := range group {
		mean += views[i].SecondsPerPromptToken / float64(len(group))
	}
	return mean
}

// split separates the kinds that are isolated from the others.
func (d Demand) split(s isolation) (isolated, others Demand) {
	for _, k := range d {
		if s.isolates(time.Duration(k.GapMillis) * time.Millisecond) {
			isolated = append(isolated, k)
		} else {
			others = append(others, k)
		}
	}
	return isolated, others
}

// waitingPrompts describes the prompts that wait at an endpoint with this demand, by the mean time
// that a token takes at the endpoints. Each kind counts by its prefill time rather than its
// requests, and by the time for which it holds a slot: short and urgent prompts wait for less time,
// so that fewer of them are waiting, and short answers hold few of the slots.
// Without demand they are like the prompt of the request.
func (d Demand) waitingPrompts(req Request, secondsPerToken float64) forecast.Prompts {
	work, weighted, held, weightedHeld := 0.0, 0.0, 0.0, 0.0
	var prompts forecast.Prompts
	for _, k := range d {
		work += k.PrefillSeconds
		weighted += k.PrefillSeconds * k.meanPrefillSeconds()
		held += k.SlotSeconds
		weightedHeld += k.SlotSeconds * k.meanSlotSeconds()
		prompts.TierShare[k.nearestTier()] += k.PrefillSeconds
	}
	if work <= 0 || secondsPerToken <= 0 {
		prompts = forecast.Prompts{Tokens: float64(req.Prompt.Tokens), SlotSeconds: defaultSlotSeconds}
		prompts.TierShare[min(max(req.Tier, 0), maxTiers-1)] = 1
		return prompts
	}
	for tier := range prompts.TierShare {
		prompts.TierShare[tier] /= work
	}
	prompts.Tokens = weighted / work / secondsPerToken
	prompts.SlotSeconds = perRequest(weightedHeld, held)
	return prompts
}

// nearestTier returns the kind's mean tier, rounded.
func (k Kind) nearestTier() int {
	return min(max(int(perRequest(k.TierSum, k.Requests)+0.5), 0), maxTiers-1)
}

// WaitLimit returns the longest expected wait for other requests with which a request is served, if
// it is the given one for a wait that is estimated as a mean of endpoints.
func (c Choice) WaitLimit(limit time.Duration) time.Duration {
	if c.Forecast {
		return forecast.WaitLimit(limit)
	}
	return limit
}
