package choose_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/filters/choose"
	"coveferry/internal/filters/dispatch"
	"coveferry/internal/prompt"
	"coveferry/internal/request"
	"coveferry/internal/route"
	"coveferry/internal/wire"
)

// newRouteTable returns two routes of one service. The longer objective of the second sets
// the limit of both.
func newRouteTable(t *testing.T) *route.Table {
	s := []route.Target{{Service: "s", Weight: 1}}
	tab, err := route.NewTable(route.Config{
		Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{
			{Name: "short", Host: "h", Prefix: "/a/", Targets: s, Objective: 400 * time.Millisecond},
			{Name: "long", Host: "h", Prefix: "/b/", Targets: s, Objective: 1200 * time.Millisecond},
		},
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return tab
}

// chooseAfter selects an endpoint for a request while the given number of prompts of
// 10,000 tokens is waiting for prefill. Each of them takes 200 ms.
func chooseAfter(t *testing.T, queued int, path string, tried ...string) error {
	return chooseFor(t, queued, path, &request.Request{Tried: tried})
}

// chooseFor is chooseAfter for a request with some fields set.
func chooseFor(t *testing.T, queued int, path string, r *request.Request) error {
	pool := balance.NewPool(balance.Config{Policy: balance.NewPromptAware()})
	for range queued {
		pool.Track(time.Now(), "e", balance.Work{Prompt: prompt.Prompt{Tokens: 10_000}})
	}
	tab := newRouteTable(t)
	r.Kind, r.Routes.Table, r.Route, r.Service, r.Epoch = wire.KindRouted, tab, tab.Match("h", path), "s", 1
	r.Prompt = prompt.Prompt{Tokens: 500}
	r.Candidates = []*bundle.Endpoint{{Name: "e", Slots: 64, Version: "v1"}, {Name: "gone", Slots: 64, Version: "v1"}, {Name: "free", Slots: 64, Version: "v2"}}
	if r.StreamVersion == nil {
		r.Candidates = r.Candidates[:2]
	}
	pool.SetLeaving("gone", true)
	f := choose.New(choose.Config{Pool: pool, IgnoreKeys: true, RefuseLateFactor: 1})
	return f.Do(context.Background(), r, func(context.Context, *request.Request) error { return nil })
}

func TestLateRequestIsRefusedWithRetryAfter(t *testing.T) {
	g := NewWithT(t)
	var late *choose.LateError
	g.Expect(errors.As(chooseAfter(t, 10, "/b/"), &late)).To(BeTrue())
	g.Expect(late.API().Run).To(Equal(wire.RunNot))
	g.Expect(late.API().RetryAfter).To(BeNumerically("~", 800*time.Millisecond, 20*time.Millisecond))
}

func TestLongestObjectiveLimitsAllRoutesOfAService(t *testing.T) {
	g := NewWithT(t)
	g.Expect(chooseAfter(t, 5, "/b/")).To(Succeed())
	g.Expect(chooseAfter(t, 5, "/a/")).To(Succeed(), "the longest objective applies to both routes")
}

func TestRetryIsNotRefusedAsLate(t *testing.T) {
	NewWithT(t).Expect(chooseAfter(t, 10, "/b/", "gone")).To(Succeed())
}

// Guards against counting prompts of less urgent routes of the same tier as ahead of the
// request. Endpoints admit by rank, which includes the route's own tier. In a long
// overload, 30% to 45% of the requests of the more urgent route were refused for an
// expected wait of 1.6 s on average, while those sent had their first event after 0.2 s
// and less urgent requests were still admitted.
func TestExpectedWaitExcludesLessUrgentRoutesOfTheSameTier(t *testing.T) {
	g := NewWithT(t)
	s := []route.Target{{Service: "s", Weight: 1}}
	tier := 1
	tab, err := route.NewTable(route.Config{
		Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{
			{Name: "urgent", Host: "h", Prefix: "/a/", Targets: s, Objective: 400 * time.Millisecond},
			{Name: "patient", Host: "h", Prefix: "/b/", Targets: s, Objective: 1200 * time.Millisecond, Tier: 2},
		},
		Teams: map[string]*route.Team{"k": {Name: "team", Tier: &tier}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	pool := balance.NewPool(balance.Config{Policy: balance.NewPromptAware()})
	f := choose.New(choose.Config{Pool: pool, IgnoreKeys: true, RefuseLateFactor: 1})
	newRequest := func(path string) *request.Request {
		return &request.Request{
			Kind: wire.KindRouted, Routes: route.Snapshot{Table: tab}, Route: tab.Match("h", path), Service: "s", Epoch: 1, Tier: tier,
			Prompt: prompt.Prompt{Tokens: 10_000}, Candidates: []*bundle.Endpoint{{Name: "e", Slots: 64}},
		}
	}
	recordSent := func(_ context.Context, r *request.Request) error {
		pool.Track(time.Now(), r.Endpoint.Name, dispatch.WorkOf(r))
		return nil
	}
	for range 7 {
		g.Expect(f.Do(context.Background(), newRequest("/b/"), recordSent)).To(Succeed())
	}
	g.Expect(f.Do(context.Background(), newRequest("/b/"), recordSent)).NotTo(Succeed())
	g.Expect(f.Do(context.Background(), newRequest("/a/"), recordSent)).To(Succeed())
}

// Otherwise the streams of a scarce version are refused while new ones begin at the other versions.
func TestResumedStreamIsRefusedOnlyIfItWouldWaitBeyondItsDeadline(t *testing.T) {
	g := NewWithT(t)
	v1, late := "v1", &choose.LateError{}
	resumed := &request.Request{StreamVersion: &v1, Deadline: time.Now().Add(3 * time.Second)}
	g.Expect(chooseFor(t, 10, "/b/", resumed)).To(Succeed())
	g.Expect(resumed.Endpoint.Name).To(Equal("e"))
	resumed = &request.Request{StreamVersion: &v1, Deadline: time.Now().Add(3 * time.Second)}
	g.Expect(errors.As(chooseFor(t, 20, "/b/", resumed), &late)).To(BeTrue())
}
