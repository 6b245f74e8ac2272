package choose_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/fairshare"
	"coveferry/internal/filters/choose"
	"coveferry/internal/filters/dispatch"
	"coveferry/internal/pipeline"
	"coveferry/internal/prompt"
	"coveferry/internal/request"
	"coveferry/internal/route"
	"coveferry/internal/wire"
)

// shareFixture is a filter before one endpoint, where each prompt of 10,000 tokens waiting for prefill
// takes 200 ms and requests are refused from a wait of 1,200 ms.
type shareFixture struct {
	pool   *balance.Pool
	ledger *fairshare.Ledger
	table  *route.Table
	filter *choose.Filter
	reg    *prometheus.Registry
}

func newShareFixture(t *testing.T, teams bool, ledger *fairshare.Ledger) *shareFixture {
	s := []route.Target{{Service: "s", Weight: 1}}
	cfg := route.Config{
		Services: []route.Service{{Name: "s", Engine: &route.Engine{}}, {Name: "plain"}},
		Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/", Targets: s, Objective: 1200 * time.Millisecond, Stream: true}},
	}
	if teams {
		cfg.Teams = map[string]*route.Team{"k1": {Name: "large"}, "k2": {Name: "small"}}
	}
	table, err := route.NewTable(cfg)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	f := &shareFixture{pool: balance.NewPool(balance.Config{Policy: balance.NewPromptAware()}), ledger: ledger, table: table, reg: prometheus.NewRegistry()}
	f.filter = choose.New(choose.Config{Pool: f.pool, IgnoreKeys: true, RefuseLateFactor: 1, Shares: ledger, Metrics: f.reg})
	return f
}

// queue has so many prompts wait for prefill at the endpoint.
func (f *shareFixture) queue(prompts int) {
	for range prompts {
		f.pool.Track(time.Now(), "e", balance.Work{Prompt: prompt.Prompt{Tokens: 10_000}})
	}
}

func (f *shareFixture) request(team string) *request.Request {
	return &request.Request{
		Kind: wire.KindRouted, Routes: route.Snapshot{Table: f.table}, Route: f.table.Match("h", "/"), Service: "s", Epoch: 1, TeamName: team,
		Prompt: prompt.Prompt{Tokens: 10_000}, Deadline: time.Now().Add(3 * time.Second),
		Candidates: []*bundle.Endpoint{{Name: "e", Slots: 64}, {Name: "other", Slots: 64}},
	}
}

func (f *shareFixture) do(r *request.Request) error {
	if len(r.Tried) == 0 {
		f.pool.SetLeaving("other", true)
	}
	return f.filter.Do(context.Background(), r, func(context.Context, *request.Request) error { return nil })
}

// refuseAll is a source of randomness by which each request of a team above the level is refused.
func refuseAll() float64 { return 0.9999 }

// overloaded returns a fixture with a wait of 1,200 ms times the pressure, where the team "large" is
// above the level.
func overloaded(t *testing.T, prompts int) *shareFixture {
	f := newShareFixture(t, true, fairshare.New(fairshare.Config{Rand: refuseAll}))
	f.queue(prompts)
	f.ledger.Charge(time.Now(), "s", 0, "large", 100)
	f.ledger.Charge(time.Now(), "s", 0, "small", 0.1)
	return f
}

func TestTeamAboveItsShareIsRefused(t *testing.T) {
	g := NewWithT(t)
	f := overloaded(t, 5)
	var share *choose.ShareError
	r := f.request("large")
	g.Expect(errors.As(f.do(r), &share)).To(BeTrue())
	g.Expect(r.Tried).To(BeEmpty())
	g.Expect(share.API().Run).To(Equal(wire.RunNot))
	g.Expect(share.API().Status).To(Equal(503))
	g.Expect(share.API().RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
	g.Expect(share.API().RetryAfter).To(BeNumerically("<=", time.Second), "within a third of the time left")
	g.Expect(r.Share.Load).To(BeNumerically(">", r.Share.Level))
	g.Expect(f.do(f.request("small"))).To(Succeed())
	g.Expect(testutil.CollectAndCount(f.reg, "coveferry_team_requests_refused_total")).To(Equal(1))
}

// Guards against answers of admitted requests that are late: sharing doesn't raise the limit on the wait.
func TestTeamWithinItsShareIsServedOnlyWithinTheLimit(t *testing.T) {
	g := NewWithT(t)
	f := overloaded(t, 5) // 0.83 of the limit
	g.Expect(f.do(f.request("small"))).To(Succeed())
	late := &choose.LateError{}
	f.queue(2) // 1.17 times the limit
	r := f.request("small")
	g.Expect(f.do(r)).NotTo(Succeed())
	r = f.request("small")
	r.Share.Charge = f.ledger.Charge(time.Now(), "s", 0, "small", 0)
	g.Expect(errors.As(f.do(r), &late)).To(BeTrue(), "admitted for its share")
}

func TestRetriesAndResumedStreamsAreNotRefusedForTheirShare(t *testing.T) {
	g := NewWithT(t)
	f := overloaded(t, 5)
	retried := f.request("large")
	retried.Tried = []string{"other"}
	g.Expect(f.do(retried)).To(Succeed())
	resumed := f.request("large")
	resumed.Resumes = "earlier"
	g.Expect(f.do(resumed)).To(Succeed())
}

// charged returns the work per second that the ledger has for the team "large".
func (f *shareFixture) charged() float64 {
	for range 50 { // the pressure is smoothed, and no load is stated below it
		f.ledger.Admit(time.Now(), "s", 0, "large", 0, 100)
	}
	return f.ledger.Admit(time.Now(), "s", 0, "large", 0, 100).Load
}

// Guards against retries that are charged again, and against a charge that stays as stated when the
// answer breaks off.
func TestRequestIsChargedOnceAndSettledByWhatItTook(t *testing.T) {
	g := NewWithT(t)
	f := newShareFixture(t, true, fairshare.New(fairshare.Config{Rand: refuseAll}))
	f.pool.SetLeaving("other", true)
	r := f.request("large")
	r.Prompt.ExpectedOutput = 500
	afterAttempts := 0.0
	attempts := pipeline.Compose(choose.Settle{}, repeat{func() { afterAttempts = f.charged() }}, f.filter)
	g.Expect(attempts(context.Background(), r)).NotTo(Succeed())
	g.Expect(r.Tried).To(HaveLen(2))
	g.Expect(afterAttempts).To(BeNumerically("~", 0.2*0.693, 0.01), "the prefill of one attempt")
	g.Expect(f.charged()).To(BeNumerically("<", 0.001), "the request didn't run")
}

// repeat stands in for the attempts filter: two attempts, of which neither runs.
type repeat struct{ then func() }

func (repeat) Name() string { return "repeat" }

func (f repeat) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	_ = next(ctx, r)
	r.Epoch++
	r.RoundStart = len(r.Tried)
	_ = next(ctx, r)
	f.then()
	return &dispatch.RefusedError{Refusal: wire.Refusal{Run: wire.RunNot}}
}

// Guards against a Retry-After that callers don't honour because it is over a third of the time left, also if
// that is below the usual minimum.
func TestRetryAfterOfAShareIsWithinAThirdOfTheTimeLeft(t *testing.T) {
	g := NewWithT(t)
	f := overloaded(t, 5)
	r := f.request("large")
	r.Deadline = time.Now().Add(150 * time.Millisecond)
	var share *choose.ShareError
	g.Expect(errors.As(f.do(r), &share)).To(BeTrue())
	g.Expect(share.API().RetryAfter).To(BeNumerically("<=", 50*time.Millisecond))
}

// Guards against shares at services without an engine, whose requests state no work.
func TestPlainServiceIsNeitherChargedNorRefused(t *testing.T) {
	g := NewWithT(t)
	f := overloaded(t, 5)
	for range 200 {
		r := f.request("large")
		r.Service, r.Prompt = "plain", prompt.Prompt{}
		g.Expect(f.do(r)).To(Succeed())
		g.Expect(r.Share).To(BeZero())
	}
	g.Expect(f.ledger.Report(time.Now())).NotTo(ContainElement(HaveField("Service", "plain")))
}

// Guards against any effect where the configuration lists no teams or capacity suffices: the decisions
// are those without the part.
func TestDecisionsAreTheSameWhereCapacityIsNotShared(t *testing.T) {
	for name, tc := range map[string]struct {
		teams   bool
		prompts int
	}{"no teams": {false, 20}, "enough capacity": {true, 2}} {
		t.Run(name, func(t *testing.T) {
			decisions := func(ledger *fairshare.Ledger) (all []string) {
				f := newShareFixture(t, tc.teams, ledger)
				for i := range 200 {
					r := f.request([]string{"large", "small"}[i%10/9])
					if !tc.teams {
						r.TeamName = ""
					}
					r.Candidates = nil
					for e := range 5 {
						r.Candidates = append(r.Candidates, &bundle.Endpoint{Name: fmt.Sprint("e", e), Slots: 64})
					}
					err := f.filter.Do(context.Background(), r, func(context.Context, *request.Request) error { return nil })
					decision := fmt.Sprint(err != nil)
					if r.Endpoint != nil {
						decision = r.Endpoint.Name
						if i < 5*tc.prompts {
							f.pool.Track(time.Now(), r.Endpoint.Name, dispatch.WorkOf(r))
						}
					}
					all = append(all, decision)
				}
				return all
			}
			without := decisions(nil)
			NewWithT(t).Expect(decisions(fairshare.New(fairshare.Config{Rand: refuseAll}))).To(Equal(without))
		})
	}
}
