package balance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/load"
	"coveferry/internal/pace"
	"coveferry/internal/prompt"
)

// pacedViews returns views of 12 endpoints in three failure domains, of which every third is slow. A
// percentage of 0 leaves the paces unknown.
func pacedViews(fast, slow float64) []View {
	all := newEndpoints(12)
	p := NewPool(Config{Policy: NewPromptAware()})
	for i, e := range all {
		percent := fast
		if i%3 == 2 {
			percent = slow
		}
		for n := range 5 {
			p.Report(epoch.Add(time.Duration(n)*300*time.Millisecond), e.Name, load.Report{Seq: uint64(n + 1), Slots: 8, WorkPercent: percent})
		}
	}
	views := p.Views(epoch.Add(2*time.Second), all)
	for i := range views {
		views[i].FailureDomain = fmt.Sprint(i % 4)
	}
	return views
}

func allViews(views []View) []int {
	group := make([]int, len(views))
	for i := range group {
		group[i] = i
	}
	return group
}

func sharedRequest(key uint64) Request {
	return Request{Prompt: prompt.Prompt{Parts: []prompt.Part{{ID: key, Tokens: 4000}, {ID: 1 << 40, Tokens: 100}}, Tokens: 4100}}
}

// preferredByKey returns the preferred endpoint of each key.
func preferredByKey(views []View, keys int) []int {
	preferred := make([]int, keys)
	for key := range preferred {
		preferred[key] = preferredEndpoint(sharedRequest(uint64(1000+key)), views, allViews(views))
	}
	return preferred
}

// Guards against a slow endpoint that is preferred for as many parts as a fast one, and against
// caches that are lost at fast endpoints when paces become known.
func TestSlowEndpointsArePreferredForFewerParts(t *testing.T) {
	g := NewWithT(t)
	const keys = 12_000
	unknown, known := preferredByKey(pacedViews(0, 0), keys), preferredByKey(pacedViews(70, 170), keys)
	slowParts := 0
	for key, i := range known {
		if i%3 == 2 {
			slowParts++
			g.Expect(i).To(Equal(unknown[key]))
		}
		if unknown[key]%3 != 2 {
			g.Expect(i).To(Equal(unknown[key]), "only parts of slow endpoints move")
		}
	}
	weight := 0.7 / 1.7
	g.Expect(float64(slowParts) / keys).To(BeNumerically("~", 4*weight/(8+4*weight), 0.02))
}

// unweightedOrder is the order for tight-gap streams without paces: by hash, alternating between failure
// domains.
func unweightedOrder(views []View) []int {
	order := allViews(views)
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(rendezvous(tightGapKey, views[b].Endpoint), rendezvous(tightGapKey, views[a].Endpoint))
	})
	perDomain, position := make(map[string]int), make(map[int]int)
	for _, i := range order {
		position[i] = perDomain[views[i].FailureDomain]
		perDomain[views[i].FailureDomain]++
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(position[a], position[b]) })
	return order
}

// unweightedPreference returns all views but one in the order in which they are preferred for a key
// without paces: by hash.
func unweightedPreference(key uint64, views []View, without int) []int {
	order := slices.DeleteFunc(allViews(views), func(i int) bool { return i == without })
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(rendezvous(key, views[b].Endpoint), rendezvous(key, views[a].Endpoint))
	})
	return order
}

// Guards against other choices than those without paces where endpoints state none, are alike, or are
// all slow at once. The reference is the algorithm without weights.
func TestEqualPacesChangeNoPreferenceAndNoOrder(t *testing.T) {
	g := NewWithT(t)
	for _, percent := range []float64{0, 70, 100, 425} {
		views := pacedViews(percent, percent)
		g.Expect(views[0].Pace).To(BeNumerically("~", percent/100, 1e-6))
		g.Expect(rankForTightGap(views, allViews(views))).To(Equal(unweightedOrder(views)), "%v percent", percent)
		for key := range 500 {
			req := sharedRequest(uint64(1000 + key))
			id, group := req.Prompt.SharedPrefixID(), allViews(views)
			preferred := preferredEndpoint(req, views, group)
			others := unweightedPreference(id, views, preferred)
			g.Expect(preferred).To(Equal(unweightedPreference(id, views, -1)[0]), "%v percent, key %d", percent, key)
			g.Expect(alternates(req, views, group, preferred)).To(Equal(others[:alternateCount]), "%v percent, key %d", percent, key)
			g.Expect(fetchSource(req, views, nil, group, preferred)).To(Equal(others[0]), "%v percent, key %d", percent, key)
		}
	}
}

// Guards against slow endpoints that are dedicated to streams with tight gaps before fast ones, and
// against an order whose first endpoints share a failure domain.
// Guards against slow endpoints that are dedicated to streams with tight gaps before fast ones, and
// against an order whose first endpoints share a failure domain.
// Guards against slow endpoints that are dedicated to streams with tight gaps before fast ones, and
// against an order whose first endpoints share a failure domain.
func TestSlowEndpointsAreLastInTheOrderForTightGaps(t *testing.T) {
	g := NewWithT(t)
	views := pacedViews(70, 170)
	ranked := rankForTightGap(views, allViews(views))
	domains := make(map[string]bool)
	for n, i := range ranked {
		g.Expect(i%3 == 2).To(Equal(n >= 8), "%v", ranked)
		if n < 4 {
			domains[views[i].FailureDomain] = true
		}
	}
	g.Expect(domains).To(HaveLen(4), "the first ones are in different failure domains")
}

// Guards against a choice that compares the paces of all endpoints for each of its steps, and where none
// is slow: the weights are set once, only for slow endpoints.
func TestOnlySlowEndpointsHaveAWeight(t *testing.T) {
	g := NewWithT(t)
	for _, percents := range [][2]float64{{0, 0}, {70, 70}, {170, 170}} {
		for _, v := range pacedViews(percents[0], percents[1]) {
			g.Expect(v.SlowWeight).To(BeZero(), "%v", percents)
		}
	}
	leaving := pacedViews(70, 170)
	views := slices.DeleteFunc(pacedViews(70, 170), func(v View) bool { return v.Pace > 1 })
	for i := range leaving {
		leaving[i].SlowWeight = 0
	}
	comparePaces(views, leaving)
	for i, v := range leaving {
		g.Expect(v.slow()).To(Equal(i%3 == 2), "leaving endpoint %d", i)
	}
	for _, v := range views {
		g.Expect(v.slow()).To(BeFalse())
	}
}

// Guards against a pace that outlives the process under an endpoint's name, by its state or by readings
// of the earlier process that peers send later.
func TestPaceEndsWithTheProcess(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(1)
	p := NewPool(Config{Policy: NewPromptAware()})
	state := func() float64 { return p.Views(epoch.Add(2*time.Second), all)[0].Pace }
	report := func() {
		for n := range 5 {
			p.Report(epoch.Add(time.Duration(n)*300*time.Millisecond), all[0].Name, load.Report{Seq: uint64(n + 1), WorkPercent: 170})
		}
	}
	report()
	g.Expect(state()).To(BeNumerically("~", 1.7, 1e-6))
	p.Restart(epoch.Add(2*time.Second), all[0].Name)
	g.Expect(state()).To(BeZero())
	for _, millis := range []int64{1300, 700, 100} { // 0.7 to 1.9 s, enough for an estimate
		p.ApplyPeerLoads(epoch.Add(2*time.Second), []LoadSummary{{Endpoint: all[0].Name, WorkPercent: 170, AgeMillis: millis}})
	}
	g.Expect(state()).To(BeZero())
	p.Forget(all[0].Name)
	g.Expect(state()).To(BeZero())
}

// Guards against a router with few requests at an endpoint that doesn't learn its pace from peers, and
// against malformed values of peers.
func TestPaceIsLearnedFromPeers(t *testing.T) {
	g := NewWithT(t)
	all := newEndpoints(2)
	p := NewPool(Config{Policy: NewPromptAware()})
	p.Views(epoch, all)
	for n := range 8 {
		now := epoch.Add(time.Duration(n) * 300 * time.Millisecond)
		percent := 170
		if n%2 == 1 {
			percent = []int{-1, 0, 5, 1 << 40}[n/2]
		}
		p.ApplyPeerLoads(now, []LoadSummary{{Endpoint: all[0].Name, WorkPercent: percent, AgeMillis: 1}, {Endpoint: all[1].Name, WorkPercent: 170, AgeMillis: -5}})
	}
	views := p.Views(epoch.Add(3*time.Second), all)
	g.Expect(views[0].Pace).To(BeNumerically("~", 1.7, 1e-6))
	g.Expect(views[1].PaceClass).To(Equal(pace.Unknown), "its ages are malformed")
	p.Report(epoch.Add(3*time.Second), all[0].Name, load.Report{Seq: 9, WorkPercent: 171.6})
	loads := p.RecentLoads(epoch.Add(3*time.Second), time.Second, 1, true)
	g.Expect(loads[0].WorkPercent).To(Equal(172))
}

// Guards against a peer's reading of a huge age that dates the estimator's start, so that the times of
// all later readings overflow.
func TestPeerReadingOfAHugeAgeDoesNotDisableTheEstimator(t *testing.T) {
	const maxMillis = math.MaxInt64 / int64(time.Millisecond)
	for _, millis := range []int64{30_001, 3_600_000, maxMillis / 2, maxMillis} {
		g := NewWithT(t)
		all := newEndpoints(1)
		p := NewPool(Config{Policy: NewPromptAware()})
		p.Views(epoch, all)
		p.ApplyPeerLoads(epoch, []LoadSummary{{Endpoint: all[0].Name, WorkPercent: 70, AgeMillis: millis}})
		g.Expect(p.PaceStated(epoch.Add(-time.Duration(millis)*time.Millisecond))).To(BeFalse(), "age %d ms", millis)
		for n := range 5 {
			p.Report(epoch.Add(time.Duration(n)*300*time.Millisecond), all[0].Name, load.Report{Seq: uint64(n + 1), WorkPercent: 170})
		}
		g.Expect(p.Views(epoch.Add(2*time.Second), all)[0].Pace).To(BeNumerically("~", 1.7, 1e-6), "age %d ms", millis)
	}
}
