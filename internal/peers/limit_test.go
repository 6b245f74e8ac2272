package peers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/endpointrate"
	"coveferry/internal/upstream"
)

// limitedEndpoint is an endpoint that may state a rate limit, and records its requests.
type limitedEndpoint struct {
	limit    upstream.RateLimit
	arrivals []time.Time
}

// requestsSince counts the requests from the given time on.
func (e *limitedEndpoint) requestsSince(from time.Time) int {
	i, _ := slices.BinarySearchFunc(e.arrivals, from, time.Time.Compare)
	return len(e.arrivals) - i
}

// maxInWindow returns the highest number of requests in any window of this length from the given
// time on.
func (e *limitedEndpoint) maxInWindow(from time.Time, window time.Duration) int {
	at := e.arrivals[len(e.arrivals)-e.requestsSince(from):]
	highest, first := 0, 0
	for i, t := range at {
		for t.Sub(at[first]) >= window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// clients send requests to the routers of a fleet for a service of four endpoints, one of which is
// a limitedEndpoint.
type clients struct {
	fleet     *fleet
	pools     map[*node]*balance.Pool
	endpoints []*bundle.Endpoint
	limited   *limitedEndpoint
	rng       *rand.Rand
}

const (
	limitedName = "e0"
	// requestsPerRouter is the number of requests a second to each router.
	requestsPerRouter = 8.0
	requestStep       = 5 * time.Millisecond
	responseTime      = 40 * time.Millisecond
)

func newClients(f *fleet) *clients {
	c := &clients{fleet: f, pools: make(map[*node]*balance.Pool), limited: &limitedEndpoint{}, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range 4 {
		c.endpoints = append(c.endpoints, &bundle.Endpoint{
			Name: fmt.Sprint("e", i), FailureDomain: "domain0", Services: []string{"s"}, Slots: 64,
		})
	}
	return c
}

// pool returns the pool of a router, which shares limits with the others.
func (c *clients) pool(n *node) *balance.Pool {
	if p, ok := c.pools[n]; ok {
		return p
	}
	self := n.source.cfg.Self
	share := endpointrate.Share{Self: self.VM, Domain: self.FailureDomain, Fleet: n.source.Fleet}
	p := balance.NewPool(balance.Config{Policy: balance.NewPromptAware(), Seed: uint64(len(c.pools) + 1), RateShare: share.Rate})
	for _, e := range c.endpoints {
		p.SetLeaving(e.Name, false)
	}
	n.source.ShareLimits(p)
	c.pools[n] = p
	return p
}

// run sends requests for the given time.
func (c *clients) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(requestStep) {
		for _, n := range c.fleet.nodes {
			if n.stop != nil && c.rng.Float64() < requestsPerRouter*requestStep.Seconds() {
				c.request(c.pool(n))
			}
		}
	}
	time.Sleep(2 * responseTime) // until the open requests are answered
}

func (c *clients) request(p *balance.Pool) {
	sent := time.Now()
	e, err := p.Choose(sent, balance.Request{Service: "s"}, c.endpoints, nil)
	if err != nil {
		return
	}
	work := p.Track(sent, e.Name, balance.Work{Service: "s"})
	var limit upstream.RateLimit
	if e.Name == limitedName {
		c.limited.arrivals = append(c.limited.arrivals, sent)
		limit = c.limited.limit
	}
	time.AfterFunc(responseTime, func() {
		p.ApplyLimit(time.Now(), sent, e.Name, limit)
		work.Release()
		work.Done(time.Now(), balance.ResultOK)
	})
}

const (
	limitWindow = 4 * time.Second
	// maxLimitDelay is how soon all routers must respect a limit: half of the time allowed.
	maxLimitDelay = 1500 * time.Millisecond
	// maxRecoveryTime is how soon after the end of its limit an endpoint gets its share again.
	maxRecoveryTime = 3 * time.Second
)

func TestFleetEnforcesEndpointLimitWhileStated(t *testing.T) {
	for _, c := range []struct {
		routers, domains int
		perSecond        float64
	}{{1, 1, 1}, {3, 3, 1}, {12, 3, 0.2}, {12, 3, 4}, {31, 3, 1}, {103, 5, 1}, {103, 5, 20}} {
		runFleetShape(t, c.routers, c.domains, 0, func(g *WithT, f *fleet) {
			clients := newClients(f)
			clients.run(settleTime + time.Second)
			before := float64(clients.limited.requestsSince(time.Now().Add(-time.Second)))
			clients.limited.limit = upstream.RateLimit{Kind: upstream.LimitSet, PerSecond: c.perSecond}
			limitedAt := time.Now()
			clients.run(maxLimitDelay + 5*limitWindow)
			allowed := 1.5*c.perSecond*limitWindow.Seconds() + 5
			highest := clients.limited.maxInWindow(limitedAt.Add(maxLimitDelay), limitWindow)
			mean := float64(clients.limited.requestsSince(limitedAt.Add(maxLimitDelay))) / (5 * limitWindow.Seconds())
			clients.limited.limit = upstream.RateLimit{}
			clients.run(max(maxRecoveryTime, time.Duration(1.5/c.perSecond*float64(time.Second))))
			after := time.Now()
			clients.run(2 * time.Second)
			recovered := float64(clients.limited.requestsSince(after)) / 2
			t.Logf("%3d routers, limit %4.3g/s: %d in 4 s (at most %.1f), mean %.2f/s; %.0f/s before, %.0f/s after", c.routers, c.perSecond, highest, allowed, mean, before, recovered)
			g.Expect(float64(highest)).To(BeNumerically("<=", allowed), "%+v", c)
			expected := min(c.perSecond, before)
			g.Expect(mean).To(BeNumerically(">=", 0.5*expected), "%+v: mean rate under the limit", c)
			g.Expect(recovered).To(BeNumerically(">=", 0.5*before), "%+v: after the limit has ended", c)
		})
	}
}

// A starting router learns the current limits from others before it owns a share of any.
func TestStartingRouterLearnsCurrentLimits(t *testing.T) {
	runFleetShape(t, 12, 3, 0, func(g *WithT, f *fleet) {
		clients := newClients(f)
		clients.run(settleTime + time.Second)
		clients.limited.limit = upstream.RateLimit{Kind: upstream.LimitSet, PerSecond: 1}
		clients.run(30 * time.Second)
		f.nodes[3].shutDown()
		f.startNode(g, 12)
		started := f.nodes[12]
		clients.pool(started)
		time.Sleep(2 * time.Second)
		g.Expect(clients.pool(started).Limits().Endpoints).To(Equal(1), "without any request to this router")
		from := time.Now()
		clients.run(3 * limitWindow)
		g.Expect(clients.limited.maxInWindow(from, limitWindow)).To(BeNumerically("<=", 11))
	})
}

// A router that sees no other may be the last one or partitioned: it continues with one share of
// as many as there were at the peak.
func TestIsolatedRouterAssumesPeakFleetSize(t *testing.T) {
	runFleetShape(t, 3, 3, 0, func(g *WithT, f *fleet) {
		time.Sleep(settleTime)
		f.nodes[1].shutDown()
		f.nodes[2].shutDown()
		time.Sleep(rateSharerTTL / 2)
		fleet := f.nodes[0].source.Fleet(time.Now())
		g.Expect(fleet.Known).To(BeTrue())
		g.Expect(fleet.Domains).To(HaveLen(3))
		g.Expect(fleet.LostRouters).To(BeZero(), "the others may still run")
		time.Sleep(rateSharerTTL)
		fleet = f.nodes[0].source.Fleet(time.Now())
		g.Expect(fleet.Known).To(BeTrue())
		g.Expect(fleet.LostRouters).To(Equal(2))
	})
}
