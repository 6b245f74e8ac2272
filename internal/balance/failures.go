package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"coveferry/internal/throttle/window"
)

// When several routers together find an endpoint failing.
const (
	// failureWindow is how long an attempt counts: a few of them, at the rates at
	// which a router among many uses one endpoint.
	failureWindow = 2 * time.Second
	// minWitnesses is how many routers must have seen failures: one alone may be
	// cut off itself.
	minWitnesses = 2
	// minFailed is how many attempts must have failed at all routers, and
	// failingShare the share of them that must have.
	minFailed    = 4
	failingShare = 0.3
	// failingDeviations is by how many standard deviations more must have failed
	// than at the peers: where all fail alike, avoiding some helps nobody, and a
	// plain service whose requests fail by themselves now and then isn't failing.
	failingDeviations = 3
	// avoidFor is how long an endpoint is avoided then. Its health checks may be
	// good all the while, so that only requests can tell whether it has recovered.
	avoidFor = 3 * time.Second
	// failuresOfBefore is how long after a restart others' words may still count attempts
	// at the process before: as long as attempts count, and some time on the way.
	failuresOfBefore = failureWindow + time.Second
)

// FailureWord is what one router tells another of attempts at an endpoint.
type FailureWord struct {
	Endpoint string `json:"e"`
	Attempts int    `json:"n"`
	Failed   int    `json:"f"`
	// Witnesses is how many routers saw some of them fail.
	Witnesses int `json:"w"`
	// Silent is for how many routers it is silent, and SilentMillis for how long at the least.
	Silent       int   `json:"s,omitempty"`
	SilentMillis int64 `json:"q,omitempty"`
}

// Plus adds what another router saw of the same endpoint.
func (w FailureWord) Plus(o FailureWord) FailureWord {
	w.Attempts += o.Attempts
	w.Failed += o.Failed
	w.Witnesses += o.Witnesses
	if w.Silent == 0 || o.Silent > 0 && o.SilentMillis < w.SilentMillis {
		w.SilentMillis = o.SilentMillis
	}
	w.Silent += o.Silent
	return w
}

// FailureWords lists the endpoints at which this router's attempts failed lately,
// those with most failures first, at most so many.
func (p *Pool) FailureWords(now time.Time, most int) []FailureWord {
	var words []FailureWord
	for i := range p.shards {
		words = p.shards[i].failureWords(words, now)
	}
	slices.SortFunc(words, func(a, b FailureWord) int {
		return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return words[:min(most, len(words))]
}

func (sh *shard) failureWords(words []FailureWord, now time.Time) []FailureWord {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, st := range sh.states {
		n := st.results(now)
		if n.Part == 0 && !st.isSilent(now) {
			continue
		}
		w := FailureWord{Endpoint: name, Attempts: n.Total, Failed: n.Part, Witnesses: min(1, n.Part)}
		if st.isSilent(now) {
			w.Silent, w.SilentMillis = 1, now.Sub(maxTime(st.heardAt, st.quietSince)).Milliseconds()
		}
		words = append(words, w)
	}
	return words
}

// results are this router's attempts of late, Part of which failed.
func (st *state) results(now time.Time) window.Counts {
	if st.attempts == nil {
		return window.Counts{}
	}
	return st.attempts.Sum(now)
}

// noteResult counts an attempt. What the caller broke off or the endpoint refused
// says nothing.
func (st *state) noteResult(now time.Time, res Result) {
	if res != ResultOK && res != ResultFailed {
		return
	}
	if st.attempts == nil {
		ring := window.New(failureWindow)
		st.attempts = &ring
	}
	c := window.Counts{Total: 1}
	if res == ResultFailed {
		c.Part = 1
	}
	st.attempts.Add(now, c)
}

// HearFailures takes in what other routers saw, and has endpoints avoided for a
// while that fail for several of them. Each call tells all that others see. It
// returns those that are avoided from now on.
func (p *Pool) HearFailures(now time.Time, words []FailureWord) []FailureWord {
	heard := make(map[string]FailureWord, len(words))
	for _, w := range words {
		heard[w.Endpoint] = w
	}
	seen := make(map[string][]FailureWord) // by group
	avoided := make(map[string]int)
	for i := range p.shards {
		p.shards[i].seen(seen, avoided, heard, now)
	}
	var all []FailureWord
	for group, of := range seen {
		all = append(all, failing(of, avoided[group], p.cfg.Outlier)...)
	}
	for _, w := range all {
		p.avoid(now, w.Endpoint)
	}
	p.hearSilences(now, words)
	return all
}

// hearSilences has endpoints avoided that several other routers find silent, unless this one
// hears of them: among many routers each has few requests at an endpoint, and would find
// out by sending one there.
func (p *Pool) hearSilences(now time.Time, words []FailureWord) {
	told := make(map[string]int)
	for _, w := range words {
		if w.Silent > 0 {
			told[p.groupOf(w.Endpoint)]++
		}
	}
	tooMany := make(map[string]bool, len(told))
	for group, silent := range told {
		all, _ := p.countInGroup(group)
		tooMany[group] = float64(silent) > mostSilent*float64(all)
	}
	for _, w := range words {
		if w.Silent == 0 || tooMany[p.groupOf(w.Endpoint)] {
			continue
		}
		sh := p.shard(w.Endpoint)
		sh.mu.Lock()
		if st, known := sh.states[w.Endpoint]; known && !st.contradicts(now, w) {
			st.toldAt = now
			st.avoidUntil = maxTime(st.avoidUntil, now.Add(silentFor))
		}
		sh.mu.Unlock()
	}
}

// groupOf is the group of an endpoint; empty if it isn't known.
func (p *Pool) groupOf(endpoint string) string {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if st, known := sh.states[endpoint]; known {
		return st.group
	}
	return ""
}

// seen adds what this router and others saw of each endpoint in use, and counts
// those that are avoided.
func (sh *shard) seen(seen map[string][]FailureWord, avoided map[string]int, heard map[string]FailureWord, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, st := range sh.states {
		if st.leaving || st.group == "" {
			continue
		}
		if now.Before(st.avoidUntil) {
			avoided[st.group]++
			continue
		}
		n := st.results(now)
		w := FailureWord{Endpoint: name, Attempts: n.Total, Failed: n.Part, Witnesses: min(1, n.Part)}
		if now.Sub(st.restartedAt) > failuresOfBefore {
			w = w.Plus(heard[name])
		}
		seen[st.group] = append(seen[st.group], w)
	}
}

// failing returns those of a group's endpoints that fail for several routers and
// much more than their peers do, the worst first. No more than the largest share
// may be avoided at once.
func failing(seen []FailureWord, avoided int, o Outlier) []FailureWord {
	slices.SortFunc(seen, func(a, b FailureWord) int {
		return cmp.Or(cmp.Compare(b.failedShare(), a.failedShare()), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	most := int(o.MaxShare * float64(len(seen)+avoided))
	peers := FailureWord{}
	for _, w := range seen[min(most, len(seen)):] {
		peers = peers.Plus(w)
	}
	room := max(1, most) - avoided
	var bad []FailureWord
	for _, w := range seen {
		if len(bad) < room && w.Witnesses >= minWitnesses && w.isFailing(peers.failedShare()) {
			bad = append(bad, w)
		}
	}
	return bad
}

// isFailing says that more attempts failed than chance explains, where this share
// of those at the peers did. Failures that are few come about as by Poisson's law,
// whose variance is its mean; one is added, since the mean is only estimated.
func (w FailureWord) isFailing(peers float64) bool {
	expected := peers * float64(w.Attempts)
	most := expected + failingDeviations*math.Sqrt(expected+1)
	return w.Failed >= minFailed && float64(w.Failed) > most &&
		w.failedShare() > failingShare
}

func (w FailureWord) failedShare() float64 {
	if w.Attempts <= 0 {
		return 0
	}
	return float64(w.Failed) / float64(w.Attempts)
}

func (p *Pool) avoid(now time.Time, endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if st, ok := sh.states[endpoint]; ok {
		st.avoidUntil = now.Add(avoidFor)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
