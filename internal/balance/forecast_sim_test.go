package balance

// This simulation guards against backlogs at slow endpoints in a burst of long prompts. The
// endpoints are those of unequal_sim_test.go: one in three takes 2.43 times as long as the others.
// Without forecasts, all of them are sent as many prompts, so that the slow ones stay backlogged
// for seconds and their streams stop, while prompts are refused by the mean wait of a group.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
)

const (
	unequalBurstStart    = 300 * time.Millisecond
	unequalBurstEnd      = unequalBurstStart + 9*time.Second
	unequalObservePeriod = 100 * time.Millisecond
)

// startRouters creates the pools of the routers with these policies.
func (u *unequal) startRouters(policies []PromptAware) {
	for i, p := range policies {
		var policy Policy = p
		if u.wrap != nil {
			policy = u.wrap(p, u.engines)
		}
		u.pools = append(u.pools, NewPool(Config{Policy: policy, Seed: uint64(i + 1)}))
	}
}

// demandPerRouter returns the mean demand over the routers that report it.
func (u *unequal) demandPerRouter(now time.Time, policies []PromptAware) Demand {
	if !u.statesWaiting {
		return policies[0].Demand(now)
	}
	var sum Demand
	for _, p := range policies {
		sum = sum.Add(p.Demand(now))
	}
	return sum.Scale(1 / float64(len(policies)))
}

// addBurst adds the long prompts of the burst to those that arrive at the usual rate, which is a
// share of the given rate of all requests.
func (u *unequal) addBurst(rate float64, candidates []*bundle.Endpoint) {
	if u.burst <= 1 {
		return
	}
	k := u.kinds[0]
	extra := (u.burst - 1) * rate * k.share
	for at := unequalBurstStart; at < unequalBurstEnd; at += time.Duration(u.rnd.ExpFloat64() / extra * float64(time.Second)) {
		u.runAt(epoch.Add(at), func(now time.Time) { u.sendRequest(now, k, candidates) })
	}
}

func (u *unequal) addObservations() {
	if u.observe == nil {
		return
	}
	for at := unequalObservePeriod; at < unequalDuration; at += unequalObservePeriod {
		u.runAt(epoch.Add(at), func(time.Time) { u.observe(at, u.engines) })
	}
}

// backlog returns how long the engine takes to prefill what it has.
func (e *unequalEngine) backlog() time.Duration {
	tokens := 0
	for _, r := range slices.Concat(e.queued, e.prefilling) {
		if r.done {
			continue
		}
		tokens += e.toPrefill(r)
	}
	return time.Duration(e.slowdown * float64(tokens) * float64(unequalPrefillToken))
}

// toPrefill returns the number of tokens of a prompt that the engine still has to prefill.
func (e *unequalEngine) toPrefill(r *unequalStream) int {
	if slices.Contains(e.prefilling, r) {
		return r.unprefilled
	}
	tokens := r.prompt.Tokens
	for _, part := range r.prompt.Parts[:2] {
		if !e.cached[part.ID] {
			break
		}
		tokens -= part.Tokens
	}
	return tokens
}

// statedPace is PromptAware with the true speeds of the engines, as a router knows them that
// learned the pace of each endpoint. With states, the views say so, and forecasts apply.
type statedPace struct {
	PromptAware
	slowdown map[string]float64
	states   bool
	// weighted assigns shared parts to endpoints in proportion to their speed.
	weighted bool
}

// Choose implements Policy.
func (s statedPace) Choose(now time.Time, req Request, views []View, rnd *rand.Rand) (int, bool) {
	for i := range views {
		pace := s.slowdown[views[i].Endpoint]
		views[i].SecondsPerPromptToken = pace * unequalPrefillToken.Seconds()
		if s.states {
			views[i].Pace = pace
		}
	}
	if s.weighted {
		req.Prompt.Parts = slices.Clone(req.Prompt.Parts)
		req.Prompt.Parts[1].ID = s.weightedKey(req, views)
	}
	return s.PromptAware.Choose(now, req, views, rnd)
}

// weightedKey returns a key whose preferred endpoint is, over all keys, as often an endpoint as it
// is fast: a key whose endpoint is slow is replaced by another one with the probability of the
// slowdown. It is the same at all routers.
func (s statedPace) weightedKey(req Request, views []View) uint64 {
	decision := s.demand.lastIsolation(req.Service)
	ranked := rankForTightGap(views, usableViews(views))
	group := decision.rankedGroup(decision.isolates(req.MaxGap), ranked)
	key := req.Prompt.Parts[1].ID
	for {
		preferred := preferredEndpoint(req, views, group)
		pace := s.slowdown[views[preferred].Endpoint] / unequalFastFactor
		if float64(mix(key)%1000) < 1000/pace {
			return key
		}
		key = mix(key + 1)
		req.Prompt.Parts[1].ID = key
	}
}

// withWeights is withPace at routers that prefer fast endpoints for more prompts.
func withWeights(states bool) func(PromptAware, []*unequalEngine) Policy {
	return func(p PromptAware, engines []*unequalEngine) Policy {
		s := withPace(states)(p, engines).(statedPace)
		s.weighted = true
		return s
	}
}

// withPace wraps the policies of routers that know the true speeds.
func withPace(states bool) func(PromptAware, []*unequalEngine) Policy {
	return func(p PromptAware, engines []*unequalEngine) Policy {
		s := statedPace{PromptAware: p, slowdown: make(map[string]float64), states: states}
		for _, e := range engines {
			s.slowdown[e.Name] = e.slowdown
		}
		return s
	}
}

// backlogs collects the backlogs of all engines in the first seconds of the burst.
type backlogs struct {
	worst, worstMedian time.Duration // the longest, and the median at that time
	violations         int           // observations of an engine over the bound
}

// unequalSafeBacklog is a quarter of the objective of the long prompts. Endpoints with up to twice
// as much make nothing late, and hold up to three prompts at a slow one, so that chance exceeds
// twice the median while most are idle.
const unequalSafeBacklog = 500 * time.Millisecond

func (b *backlogs) observe(at time.Duration, engines []*unequalEngine) {
	if at < unequalBurstStart || at > unequalBurstStart+3*time.Second {
		return
	}
	var all []time.Duration
	for _, e := range engines {
		all = append(all, e.backlog())
	}
	slices.Sort(all)
	median, longest := all[len(all)/2], all[len(all)-1]
	for _, one := range all {
		if one > 2*max(median, unequalSafeBacklog) {
			b.violations++
		}
	}
	if longest > b.worst {
		b.worst, b.worstMedian = longest, median
	}
}

// unequalUsualLoad is the usual load of the deployment that the simulation is taken from, relative
// to the capacity: 93, 81 and 99 requests a second at 50 endpoints.
const unequalUsualLoad = 0.215

// simulateBurst plays 2.3 times the long prompts on empty caches.
func simulateBurst(routers int, load float64, wrap func(PromptAware, []*unequalEngine) Policy, b *backlogs) *unequal {
	return unequalOptions{routers: routers, utilization: load, burst: 2.3, statesWaiting: true, wrap: wrap, observe: b.observe}.simulate()
}

func (u *unequal) sharedPrefilled() int {
	tokens := 0
	for _, e := range u.engines {
		tokens += e.sharedPrefilled
	}
	return tokens
}

func (u *unequal) logCallers(t *testing.T, name string, b backlogs) {
	t.Helper()
	t.Logf("%d routers, %s: worst backlog %v (median %v), %d over the bound, %.2f million shared tokens prefilled",
		u.routers, name, b.worst, b.worstMedian, b.violations, float64(u.sharedPrefilled())/1e6)
	for _, k := range u.kinds {
		t.Logf("   tier %d: %.3f in time, %.3f late, %.3f rejected, %.3f timed out",
			k.tier, k.fraction(k.inTime), k.fraction(k.late), k.fraction(k.rejected), k.fraction(k.timedOut))
	}
}

func TestNoEndpointIsBackloggedBeyondTheOthersInABurst(t *testing.T) {
	for _, routers := range []int{3, 27, 103} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			g := NewWithT(t)
			var before, without, with backlogs
			unaware := simulateBurst(routers, unequalUsualLoad, nil, &before)
			unaware.logCallers(t, "pace unknown", before)
			off := simulateBurst(routers, unequalUsualLoad, withWeights(false), &without)
			off.logCallers(t, "pace known, no forecasts", without)
			on := simulateBurst(routers, unequalUsualLoad, withWeights(true), &with)
			on.logCallers(t, "forecasts", with)
			g.Expect(before.violations).To(BeNumerically(">", 0), "the simulation has no backlogs to even out")
			g.Expect(with.violations).To(BeZero())
			long, longOff := on.kinds[0], off.kinds[0]
			g.Expect(long.fraction(long.inTime)).To(BeNumerically(">=", longOff.fraction(longOff.inTime)))
			for _, k := range on.kinds {
				g.Expect(k.fraction(k.timedOut)).To(BeZero(), "tier %d", k.tier)
				g.Expect(k.fraction(k.rejected)).To(BeZero(), "tier %d", k.tier)
			}
		})
	}
}

// At 1.4 times the usual load, knowing the speeds isn't enough: without forecasts, endpoints exceed
// the bound although fast ones are preferred for more prompts.
func TestForecastsEvenOutBacklogsThatSpeedsDoNot(t *testing.T) {
	g := NewWithT(t)
	violations, violationsOff := 0, 0
	for _, routers := range []int{3, 27, 103} {
		var without, with backlogs
		off := simulateBurst(routers, 1.4*unequalUsualLoad, withWeights(false), &without)
		off.logCallers(t, "pace known, no forecasts", without)
		on := simulateBurst(routers, 1.4*unequalUsualLoad, withWeights(true), &with)
		on.logCallers(t, "forecasts", with)
		violations, violationsOff = violations+with.violations, violationsOff+without.violations
		long, longOff := on.kinds[0], off.kinds[0]
		g.Expect(long.fraction(long.inTime)).To(BeNumerically(">=", longOff.fraction(longOff.inTime)), "%d routers", routers)
	}
	g.Expect(2 * violations).To(BeNumerically("<", violationsOff))
}

// Forecasts that are wrong by more than half would refuse prompts that can be served, or send them
// to endpoints that serve them late.
func TestForecastFirstEventsArriveAsPredicted(t *testing.T) {
	for _, routers := range []int{3, 27, 103} {
		g := NewWithT(t)
		var ratios []float64
		unequalOptions{
			routers: routers, utilization: unequalUsualLoad, burst: 2.3, statesWaiting: true, wrap: withWeights(true),
			observeAnswer: func(r *unequalStream, actual time.Duration) {
				if r.kind.tier == 2 && r.expected > 0 {
					ratios = append(ratios, actual.Seconds()/r.expected.Seconds())
				}
			},
		}.simulate()
		slices.Sort(ratios)
		quantile := func(q float64) float64 { return ratios[int(q*float64(len(ratios)-1))] }
		t.Logf("%d routers, long prompts: actual time / forecast .1 %.2f, .5 %.2f, .9 %.2f", routers, quantile(0.1), quantile(0.5), quantile(0.9))
		g.Expect(quantile(0.5)).To(And(BeNumerically(">", 0.5), BeNumerically("<", 2)), "%d routers", routers)
	}
}
