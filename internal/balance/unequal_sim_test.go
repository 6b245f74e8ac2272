package balance

// This simulation guards against timeouts on endpoints of unequal speed. With one endpoint in
// three 2.4 times as slow as the others, callers timed out at a load that all endpoints together
// can serve: 948 requests of a day ended at their callers' deadlines, and the most urgent kind
// met its objective less often than the next. The cause was that all endpoints are preferred for
// equally many prompts and are equally likely to be dedicated to the most urgent streams: slow
// ones have more to prefill than they can, and a prefill beside a stream exceeds its maximum gap
// there.
//
// The load is 0.25 to 1 times the capacity of the endpoints. The assertions cover what holds at
// present; docs/experience/tavola.md has the figures that miss their targets and the
// alternatives.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/load"
	"coveferry/internal/prompt"
)

// unequalKind is a kind of request in the simulation.
type unequalKind struct {
	tier                    int
	share                   float64 // of all requests
	sharedTokens, ownTokens int     // prompt tokens
	subjects                int     // number of different shared prompt parts
	events                  int
	gap                     time.Duration
	objective               time.Duration
	patience                time.Duration // callers cancel after waiting this long for an event
	inTime, late            int
	rejected, timedOut      int
}

func unequalKinds() []*unequalKind {
	return []*unequalKind{
		{tier: 2, share: 0.34, sharedTokens: 5382, ownTokens: 6610, subjects: 577, events: 64, gap: 1200 * time.Millisecond, objective: 2 * time.Second, patience: 9600 * time.Millisecond},
		{tier: 0, share: 0.30, sharedTokens: 198, ownTokens: 628, subjects: 659, events: 49, gap: 300 * time.Millisecond, objective: 400 * time.Millisecond, patience: 2400 * time.Millisecond},
		{tier: 1, share: 0.36, sharedTokens: 568, ownTokens: 1800, subjects: 532, events: 4, gap: 500 * time.Millisecond, objective: 500 * time.Millisecond, patience: 4 * time.Second},
	}
}

// fraction returns n as a fraction of the kind's requests.
func (k *unequalKind) fraction(n int) float64 {
	return float64(n) / float64(k.inTime+k.late+k.rejected+k.timedOut)
}

// unequalEngine prefills prompts in chunks between the output tokens of all running streams, more
// urgent prompts first, within its slots and memory.
type unequalEngine struct {
	bundle.Endpoint
	slowdown   float64 // factor on all durations
	busy       bool
	queued     []*unequalStream
	prefilling []*unequalStream
	running    []*unequalStream
	cached     map[uint64]bool
	// sharedPrefilled counts the tokens of shared parts that it prefilled.
	sharedPrefilled int
}

type unequalStream struct {
	kind        *unequalKind
	prompt      prompt.Prompt
	account     *TrackedRequest
	router      int
	sent        time.Time
	expected    time.Duration // to the first event
	unprefilled int
	tokens      int
	lastEventAt time.Time
	longestGap  time.Duration
	done        bool
}

// unequal is a simulation of routers in front of engines of which every third is slower.
type unequal struct {
	unequalOptions
	now     time.Time
	events  eventQueue
	rnd     *rand.Rand
	pools   []*Pool
	engines []*unequalEngine
	kinds   []*unequalKind
	reports uint64 // that routers received; numbers them as the routers do
}

// unequalDeadline is the deadline of all callers.
const unequalDeadline = 15 * time.Second

const (
	unequalEngines       = 24
	unequalDomains       = 4
	unequalSlots         = 48
	unequalMemory        = 683_785
	unequalStride        = 6
	unequalDuration      = 20 * time.Second
	unequalStep          = 3820 * time.Microsecond
	unequalStepPerStream = 23 * time.Microsecond // added to a step by each stream
	unequalPrefillToken  = time.Second / 68200   // per prompt token
	unequalChunk         = 4096
	unequalFastFactor    = 0.7
	unequalSlowFactor    = 1.7
	unequalMaxReportAge  = 500 * time.Millisecond // maximum age of exchanged reports
	unequalReportBy      = 100 * time.Millisecond // before it arrives
)

// unequalOptions are the parts of the simulation that differ between tests.
type unequalOptions struct {
	routers     int
	utilization float64 // load relative to the capacity of the engines
	// burst is the factor on the rate of long prompts from unequalBurstStart to unequalBurstEnd.
	burst float64
	// statesWaiting counts requests as queued until their prefill is done, as endpoints do that
	// state their pace.
	statesWaiting bool
	// wrap replaces the policy of a router; nil leaves it.
	wrap func(PromptAware, []*unequalEngine) Policy
	// observe is called every unequalObservePeriod; nil if nothing is observed.
	observe func(at time.Duration, engines []*unequalEngine)
	// observeAnswer is called with the expected and actual time to the first event; it may be nil.
	observeAnswer func(r *unequalStream, actual time.Duration)
	statesPace    bool // engines state how long work takes
	spans         bool // other work slows engines 2.5 times in spans of 600 ms, for 15% of the time
	// prepare is called before the simulation runs; it may be nil.
	prepare func(*unequal)
}

// simulateUnequal runs the simulation at a load relative to the capacity of the engines.
func simulateUnequal(routers int, utilization float64, options unequalOptions) *unequal {
	options.routers, options.utilization = routers, utilization
	return options.simulate()
}

func (o unequalOptions) simulate() *unequal {
	routers, utilization := o.routers, o.utilization
	u := &unequal{unequalOptions: o, rnd: rand.New(rand.NewPCG(7, uint64(routers))), kinds: unequalKinds()}
	var demand Demand
	var policies []PromptAware
	for range routers {
		policy := NewPromptAware()
		policy.SetPeerDemand(func() PeerDemand {
			return PeerDemand{Demand: demand.Scale(float64(routers - 1)), Routers: routers - 1}
		})
		policies = append(policies, policy)
	}
	var candidates []*bundle.Endpoint
	capacity := 0.0 // prompt tokens a second
	for i := range unequalEngines {
		e := &unequalEngine{slowdown: unequalFastFactor, cached: make(map[uint64]bool), Endpoint: bundle.Endpoint{
			Name: fmt.Sprintf("e%d", i), FailureDomain: fmt.Sprint(i % unequalDomains), Services: []string{"llm"}, Slots: unequalSlots,
		}}
		if i%3 == 2 {
			e.slowdown = unequalSlowFactor
		}
		capacity += 1 / (e.slowdown * unequalPrefillToken.Seconds())
		u.engines = append(u.engines, e)
		candidates = append(candidates, &e.Endpoint)
	}
	u.startRouters(policies)
	tokensPerRequest := 0.0 // average tokens to prefill per request with shared parts cached
	for _, k := range u.kinds {
		tokensPerRequest += k.share * float64(k.ownTokens)
	}
	rate := utilization * capacity / tokensPerRequest
	for at := time.Duration(0); at < unequalDuration; at += time.Duration(u.rnd.ExpFloat64() / rate * float64(time.Second)) {
		k := u.randomKind()
		u.runAt(epoch.Add(at), func(now time.Time) { u.sendRequest(now, k, candidates) })
	}
	for at := time.Duration(0); at < unequalDuration+10*time.Second; at += 250 * time.Millisecond {
		u.runAt(epoch.Add(at), func(now time.Time) {
			demand = u.demandPerRouter(now, policies)
			u.exchangeReports(now)
		})
	}
	if u.prepare != nil {
		u.prepare(u)
	}
	u.addBurst(rate, candidates)
	u.addObservations()
	for len(u.events) > 0 {
		ev := heap.Pop(&u.events).(simEvent)
		u.now = ev.at
		ev.do(ev.at)
	}
	return u
}

func (u *unequal) runAt(at time.Time, do func(time.Time)) { heap.Push(&u.events, simEvent{at, do}) }

func (u *unequal) randomKind() *unequalKind {
	x := u.rnd.Float64()
	for _, k := range u.kinds {
		if x < k.share {
			return k
		}
		x -= k.share
	}
	return u.kinds[len(u.kinds)-1]
}

// exchangeReports exchanges load reports between the routers of each failure domain.
func (u *unequal) exchangeReports(now time.Time) {
	for domain := range unequalDomains {
		var reports []LoadSummary
		for i, p := range u.pools {
			if i%unequalDomains == domain {
				reports = append(reports, p.RecentLoads(now, unequalMaxReportAge, 64, true)...)
			}
		}
		for i, p := range u.pools {
			if i%unequalDomains == domain {
				p.ApplyPeerLoads(now, reports)
			}
		}
	}
}

func (u *unequal) sendRequest(now time.Time, k *unequalKind, candidates []*bundle.Endpoint) {
	router := u.rnd.IntN(len(u.pools))
	subject := uint64(1000*(k.tier+1)) + uint64(u.rnd.IntN(k.subjects))
	common := uint64(10 + k.tier)
	requestPrompt := prompt.Prompt{
		Parts:  []prompt.Part{{ID: common, Tokens: k.sharedTokens / 3}, {ID: subject, Tokens: k.sharedTokens - k.sharedTokens/3}, {ID: u.rnd.Uint64(), Tokens: k.ownTokens}},
		Tokens: k.sharedTokens + k.ownTokens, ExpectedOutput: unequalStride * k.events,
	}
	req := Request{Service: "llm", Tier: k.tier, Prompt: requestPrompt, MaxGap: k.gap, Stride: unequalStride, Objective: k.objective, TimeLeft: unequalDeadline}
	choice, err := u.pools[router].ChooseWithEstimates(now, req, candidates, nil)
	if err != nil || choice.Wait-choice.PrefillTime > choice.WaitLimit(u.kinds[0].objective) {
		k.rejected++
		return
	}
	r := &unequalStream{kind: k, prompt: requestPrompt, router: router, sent: now, expected: choice.Wait}
	r.account = u.pools[router].Track(now, choice.Endpoint.Name, Work{
		Service: req.Service, Tier: k.tier, Prompt: requestPrompt, TightGap: choice.TightGap, MaxGap: k.gap, Stride: unequalStride, Objective: k.objective,
	})
	e := u.engines[slices.Index(candidates, choice.Endpoint)]
	e.queued = append(e.queued, r)
	u.cancelAfter(now, e, r)
	u.step(now, e)
}

// cancelAfter cancels the request after a pause without events, or at its deadline.
func (u *unequal) cancelAfter(now time.Time, e *unequalEngine, r *unequalStream) {
	u.runAt(now.Add(r.kind.patience), func(now time.Time) {
		switch {
		case r.done:
		case now.Sub(r.sent) >= unequalDeadline, r.lastEventAt.IsZero(), now.Sub(r.lastEventAt) >= r.kind.patience:
			r.done = true
			r.kind.timedOut++
			r.account.Release()
			r.account.Done(now, ResultCancelled)
		default:
			u.cancelAfter(now, e, r)
		}
	})
}

// admit assigns slots and memory to queued requests, the most urgent first.
func (e *unequalEngine) admit() {
	gone := func(r *unequalStream) bool { return r.done }
	e.queued = slices.DeleteFunc(e.queued, gone)
	e.prefilling = slices.DeleteFunc(e.prefilling, gone)
	e.running = slices.DeleteFunc(e.running, gone)
	slices.SortStableFunc(e.queued, func(a, b *unequalStream) int { return a.kind.tier - b.kind.tier })
	memory := 0
	for _, r := range slices.Concat(e.prefilling, e.running) {
		memory += r.prompt.Tokens + r.prompt.ExpectedOutput
	}
	for len(e.queued) > 0 && len(e.prefilling)+len(e.running) < unequalSlots {
		r := e.queued[0]
		if memory += r.prompt.Tokens + r.prompt.ExpectedOutput; memory > unequalMemory {
			return
		}
		e.queued = e.queued[1:]
		r.unprefilled = r.prompt.Tokens
		for _, part := range r.prompt.Parts[:2] {
			if !e.cached[part.ID] {
				break
			}
			r.unprefilled -= part.Tokens
		}
		e.sharedPrefilled += r.unprefilled - r.kind.ownTokens
		e.prefilling = append(e.prefilling, r)
		slices.SortStableFunc(e.prefilling, func(a, b *unequalStream) int { return a.kind.tier - b.kind.tier })
	}
}

// step runs one step of an engine.
func (u *unequal) step(now time.Time, e *unequalEngine) {
	if e.busy {
		return
	}
	e.admit()
	if len(e.prefilling)+len(e.running) == 0 {
		return
	}
	e.busy = true
	budget, duration := unequalChunk, float64(unequalStep)+float64(unequalStepPerStream)*float64(len(e.running))
	for _, r := range e.prefilling {
		tokens := min(budget, r.unprefilled)
		r.unprefilled -= tokens
		budget -= tokens
		duration += float64(unequalPrefillToken) * float64(tokens)
	}
	u.runAt(now.Add(time.Duration(u.slowdownOf(now, e)*duration)), func(now time.Time) {
		e.busy = false
		u.finishStep(now, e)
		u.step(now, e)
	})
}

// finishStep produces a token for each stream and starts those whose prefill is complete.
func (u *unequal) finishStep(now time.Time, e *unequalEngine) {
	for _, r := range e.prefilling {
		if r.unprefilled > 0 {
			continue
		}
		for _, part := range r.prompt.Parts[:2] {
			e.cached[part.ID] = true
		}
		e.running = append(e.running, r)
	}
	e.prefilling = slices.DeleteFunc(e.prefilling, func(r *unequalStream) bool { return r.unprefilled <= 0 })
	for _, r := range e.running {
		if r.done {
			continue
		}
		r.tokens++
		if r.tokens == 1 {
			u.firstToken(now, e, r)
		}
		if r.tokens == 1 || r.tokens%unequalStride == 0 {
			if !r.lastEventAt.IsZero() {
				r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
			}
			r.lastEventAt = now
			r.account.DataReceived(now)
			r.account.EventReceived(now)
		}
		if r.tokens >= r.prompt.ExpectedOutput {
			r.finish(now)
		}
	}
}

// firstToken delivers the load report in the response head to the router, and marks a stream as
// late that starts after its objective.
func (u *unequal) firstToken(now time.Time, e *unequalEngine, r *unequalStream) {
	u.reports++
	report := load.Report{Slots: unequalSlots, Seq: u.reports}
	if u.statesPace {
		report.WorkPercent = 100 * u.slowdownOf(now, e)
	}
	report.Running[0], report.Queued[0] = len(e.prefilling)+len(e.running), len(e.queued)
	if u.statesWaiting {
		report.Seq = uint64(now.Sub(epoch))
		report.Running[0], report.Queued[0] = len(e.running), len(e.queued)+len(e.prefilling)
	}
	if u.observeAnswer != nil {
		u.observeAnswer(r, now.Sub(r.sent))
	}
	u.pools[r.router].Report(now, e.Name, report)
	if now.Sub(r.sent) > r.kind.objective {
		r.longestGap = time.Hour // counts as late in any case
	}
}

func (r *unequalStream) finish(now time.Time) {
	r.done = true
	r.account.Release()
	r.account.Done(now, ResultOK)
	if r.longestGap > r.kind.gap {
		r.kind.late++
		return
	}
	r.kind.inTime++
}

func TestFewRequestsTimeOutOnEndpointsOfUnequalSpeed(t *testing.T) {
	g := NewWithT(t)
	const (
		maxTimedOut = 0.03 // of each kind, at up to half the capacity
		minInTime   = 0.7  // of the most urgent kind, at a quarter of the capacity
	)
	for _, routers := range []int{3, 27, 103} {
		for _, utilization := range []float64{0.25, 0.5, 0.75, 1} {
			u := simulateUnequal(routers, utilization, unequalOptions{})
			for _, k := range u.kinds {
				t.Logf("%d routers, utilization %.2f, tier %d: %.2f in time, %.2f late, %.2f rejected, %.2f timed out",
					routers, utilization, k.tier, k.fraction(k.inTime), k.fraction(k.late), k.fraction(k.rejected), k.fraction(k.timedOut))
				if utilization <= 0.5 {
					g.Expect(k.fraction(k.timedOut)).To(BeNumerically("<", maxTimedOut), "%d routers, utilization %.2f, tier %d", routers, utilization, k.tier)
				}
				if utilization <= 0.25 && k.tier == 0 {
					g.Expect(k.fraction(k.inTime)).To(BeNumerically(">", minInTime), "%d routers, utilization %.2f", routers, utilization)
				}
			}
		}
	}
}
