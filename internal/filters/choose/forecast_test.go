package choose_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/filters/choose"
	"coveferry/internal/load"
	"coveferry/internal/prompt"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// pacedEndpoints is PromptAware for endpoints that state their pace.
type pacedEndpoints struct{ balance.PromptAware }

// Choose implements balance.Policy.
func (p pacedEndpoints) Choose(now time.Time, req balance.Request, views []balance.View, rnd *rand.Rand) (int, bool) {
	for i := range views {
		views[i].Pace = 1
	}
	return p.PromptAware.Choose(now, req, views, rnd)
}

// A request that is refused by the mean of a group could be served where another endpoint is idle,
// and one that is sent where a forecast is just below the objective is late.
func TestForecastRequestIsRefusedByTheWaitAtItsEndpoint(t *testing.T) {
	g := NewWithT(t)
	tab := newRouteTable(t)
	doWith := func(queued ...int) (*request.Request, error) {
		pool := balance.NewPool(balance.Config{Policy: pacedEndpoints{balance.NewPromptAware()}})
		r := &request.Request{Kind: wire.KindRouted, Route: tab.Match("h", "/b/"), Service: "s", Epoch: 1, Prompt: prompt.Prompt{Tokens: 10_000}}
		r.Routes.Table = tab
		for i, n := range queued {
			e := &bundle.Endpoint{Name: string(rune('a' + i)), Slots: 64}
			r.Candidates = append(r.Candidates, e)
			report := load.Report{Seq: 1, Slots: 64}
			report.Queued[0] = n
			pool.Report(time.Now(), e.Name, report)
		}
		f := choose.New(choose.Config{Pool: pool, IgnoreKeys: true, RefuseLateFactor: 1})
		return r, f.Do(context.Background(), r, func(context.Context, *request.Request) error { return nil })
	}
	// Each queued prompt takes 200 ms, and half of the objective of 1.2 s may pass.
	var late *choose.LateError
	_, err := doWith(4, 4, 4)
	g.Expect(errors.As(err, &late)).To(BeTrue())
	g.Expect(late.API().RetryAfter).To(BeNumerically("~", 200*time.Millisecond, 20*time.Millisecond))
	_, err = doWith(2, 2, 2)
	g.Expect(err).NotTo(HaveOccurred())
	r, err := doWith(9, 0, 9)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Forecast).To(BeTrue())
	g.Expect(r.Endpoint.Name).To(Equal("b"))
}
