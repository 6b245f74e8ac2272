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

// needy is an endpoint that names a limit while it is in need, and counts what it gets.
type needy struct {
	limit    upstream.RateLimit
	arrivals []time.Time
}

// since is how many requests came from a moment on.
func (e *needy) since(from time.Time) int {
	i, _ := slices.BinarySearchFunc(e.arrivals, from, time.Time.Compare)
	return len(e.arrivals) - i
}

// most is the most requests that came in the span of a length from a moment on.
func (e *needy) most(from time.Time, span time.Duration) int {
	at := e.arrivals[len(e.arrivals)-e.since(from):]
	most, first := 0, 0
	for i, t := range at {
		for t.Sub(at[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// callers ask the routers of a fleet for a service of four endpoints, of which one is needy.
type callers struct {
	fleet     *fleet
	pools     map[*node]*balance.Pool
	endpoints []*bundle.Endpoint
	needy     *needy
	rnd       *rand.Rand
}

const (
	needyName = "e0"
	// callsEach is how many requests a second come to each router.
	callsEach  = 8.0
	callStep   = 5 * time.Millisecond
	answerTime = 40 * time.Millisecond
)

func newCallers(f *fleet) *callers {
	c := &callers{fleet: f, pools: make(map[*node]*balance.Pool), needy: &needy{}, rnd: rand.New(rand.NewPCG(1, 2))}
	for i := range 4 {
		c.endpoints = append(c.endpoints, &bundle.Endpoint{
			Name: fmt.Sprint("e", i), FailureDomain: "domain0", Services: []string{"s"}, Slots: 64,
		})
	}
	return c
}

// pool is that of a router, which shares limits with the others.
func (c *callers) pool(n *node) *balance.Pool {
	if p, ok := c.pools[n]; ok {
		return p
	}
	self := n.source.cfg.Self
	share := endpointrate.Share{Self: self.VM, Domain: self.FailureDomain, Fleet: n.source.Fleet}
	p := balance.NewPool(balance.Config{Policy: balance.NewPromptAware(), Seed: uint64(len(c.pools) + 1), Part: share.Of})
	for _, e := range c.endpoints {
		p.SetLeaving(e.Name, false)
	}
	n.source.ShareLimits(p)
	c.pools[n] = p
	return p
}

// call has callers ask for a while.
func (c *callers) call(lasts time.Duration) {
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(callStep) {
		for _, n := range c.fleet.nodes {
			if n.stop != nil && c.rnd.Float64() < callsEach*callStep.Seconds() {
				c.request(c.pool(n))
			}
		}
	}
	time.Sleep(2 * answerTime) // what is open is answered
}

func (c *callers) request(p *balance.Pool) {
	sent := time.Now()
	e, err := p.Choose(sent, balance.Request{Service: "s"}, c.endpoints, nil)
	if err != nil {
		return
	}
	account := p.SentWork(sent, e.Name, balance.Work{Service: "s"})
	var said upstream.RateLimit
	if e.Name == needyName {
		c.needy.arrivals = append(c.needy.arrivals, sent)
		said = c.needy.limit
	}
	time.AfterFunc(answerTime, func() {
		p.HearLimit(time.Now(), sent, e.Name, said)
		account.Ended()
		account.Done(time.Now(), balance.ResultOK)
	})
}

const (
	limitWindow = 4 * time.Second
	// toldWithin is how soon all routers must keep to a limit: half of the time that is
	// allowed to them.
	toldWithin = 1500 * time.Millisecond
	// backWithin is how soon an endpoint gets its share again.
	backWithin = 3 * time.Second
)

func TestAFleetKeepsToALimitFromWhenItIsNamedUntilItIsNot(t *testing.T) {
	for _, c := range []struct {
		routers, domains int
		perSecond        float64
	}{{1, 1, 1}, {3, 3, 1}, {12, 3, 0.2}, {12, 3, 4}, {31, 3, 1}, {103, 5, 1}, {103, 5, 20}} {
		playShape(t, c.routers, c.domains, 0, func(g *WithT, f *fleet) {
			calls := newCallers(f)
			calls.call(settleTime + time.Second)
			before := float64(calls.needy.since(time.Now().Add(-time.Second)))
			calls.needy.limit = upstream.RateLimit{Statement: upstream.LimitNamed, PerSecond: c.perSecond}
			named := time.Now()
			calls.call(toldWithin + 5*limitWindow)
			bears := 1.5*c.perSecond*limitWindow.Seconds() + 5
			most := calls.needy.most(named.Add(toldWithin), limitWindow)
			mean := float64(calls.needy.since(named.Add(toldWithin))) / (5 * limitWindow.Seconds())
			calls.needy.limit = upstream.RateLimit{}
			calls.call(max(backWithin, time.Duration(1.5/c.perSecond*float64(time.Second))))
			after := time.Now()
			calls.call(2 * time.Second)
			back := float64(calls.needy.since(after)) / 2
			t.Logf("%3d routers, %4.3g/s: %d in 4 s of %.1f, %.2f/s used; %.0f/s before, %.0f/s after", c.routers, c.perSecond, most, bears, mean, before, back)
			g.Expect(float64(most)).To(BeNumerically("<=", bears), "%+v", c)
			wanted := min(c.perSecond, before)
			g.Expect(mean).To(BeNumerically(">=", 0.5*wanted), "%+v: used", c)
			g.Expect(back).To(BeNumerically(">=", 0.5*before), "%+v: after it is no longer named", c)
		})
	}
}

// A router that has just started asks others which limits hold before it owns a part of any.
func TestARouterThatStartsHearsOfTheLimitsThatHold(t *testing.T) {
	playShape(t, 12, 3, 0, func(g *WithT, f *fleet) {
		calls := newCallers(f)
		calls.call(settleTime + time.Second)
		calls.needy.limit = upstream.RateLimit{Statement: upstream.LimitNamed, PerSecond: 1}
		calls.call(30 * time.Second)
		f.nodes[3].end()
		f.start(g, 12)
		started := f.nodes[12]
		calls.pool(started)
		time.Sleep(2 * time.Second)
		g.Expect(calls.pool(started).Limits().Endpoints).To(Equal(1), "without a request of its own")
		from := time.Now()
		calls.call(3 * limitWindow)
		g.Expect(calls.needy.most(from, limitWindow)).To(BeNumerically("<=", 11))
	})
}

// A router that hears of nobody any more may be the last one or cut off: it goes on with one
// part of as many as there were.
func TestARouterThatHearsOfNobodyForLongCountsThoseThatThereWere(t *testing.T) {
	playShape(t, 3, 3, 0, func(g *WithT, f *fleet) {
		time.Sleep(settleTime)
		f.nodes[1].end()
		f.nodes[2].end()
		time.Sleep(sharingTTL / 2)
		fleet := f.nodes[0].source.Fleet(time.Now())
		g.Expect(fleet.Known).To(BeTrue())
		g.Expect(fleet.Domains).To(HaveLen(3))
		g.Expect(fleet.CutOffFrom).To(BeZero(), "they may go on")
		time.Sleep(sharingTTL)
		fleet = f.nodes[0].source.Fleet(time.Now())
		g.Expect(fleet.Known).To(BeTrue())
		g.Expect(fleet.CutOffFrom).To(Equal(2))
	})
}
