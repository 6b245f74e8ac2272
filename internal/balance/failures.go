package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"coveferry/internal/throttle/window"
)

// Thresholds above which several routers together find an endpoint failing.
const (
	// failureWindow is how long an attempt counts. One of many routers makes only a few
	// attempts at an endpoint in that time.
	failureWindow = 2 * time.Second
	// minReporters is how many routers must have seen failures: a single router may itself be
	// cut off.
	minReporters = 2
	// minFailed is how many attempts must have failed at all routers together, and
	// minFailedShare what share of the attempts must have.
	minFailed      = 4
	minFailedShare = 0.3
	// failingStdDevs is by how many standard deviations the failures must exceed those of the
	// other endpoints of the group: where all fail alike, avoiding some helps nobody, and a plain
	// service with occasional failures of its own isn't failing.
	failingStdDevs = 3
	// avoidFor is how long a failing endpoint is avoided. Its health checks may pass all the
	// while, so that only requests can tell whether it has recovered.
	avoidFor = 3 * time.Second
	// restartGracePeriod is how long after a restart reports from peers may still include attempts
	// at the previous process: the failure window and some time for the report to arrive.
	restartGracePeriod = failureWindow + time.Second
)

// FailureWord is a router's summary of failed attempts at an endpoint and of its being unresponsive.
type FailureWord struct {
	Endpoint string `json:"e"`
	Attempts int    `json:"n"`
	Failed   int    `json:"f"`
	// Witnesses is how many routers had failed attempts.
	Witnesses int `json:"w"`
	// Silent is how many routers found the endpoint unresponsive, and UnresponsiveMillis the
	// shortest time for which it was.
	Silent       int   `json:"s,omitempty"`
	SilentMillis int64 `json:"q,omitempty"`
}

// Plus adds another router's summary of the same endpoint.
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

// FailureWords lists up to limit endpoints at which attempts of this router failed recently or that
// it found unresponsive, those with the most failures first.
func (p *Pool) FailureWords(now time.Time, limit int) []FailureWord {
	var failures []FailureWord
	for i := range p.shards {
		failures = p.shards[i].appendFailures(failures, now)
	}
	slices.SortFunc(failures, func(a, b FailureWord) int {
		return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return failures[:min(limit, len(failures))]
}

func (sh *shard) appendFailures(failures []FailureWord, now time.Time) []FailureWord {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, st := range sh.states {
		n := st.recentAttempts(now)
		if n.Part == 0 && !st.isUnresponsive(now) {
			continue
		}
		w := FailureWord{Endpoint: name, Attempts: n.Total, Failed: n.Part, Witnesses: min(1, n.Part)}
		if st.isUnresponsive(now) {
			w.Silent, w.SilentMillis = 1, now.Sub(maxTime(st.heardAt, st.quietSince)).Milliseconds()
		}
		failures = append(failures, w)
	}
	return failures
}

// recentAttempts counts this router's attempts within the failure window; Part of them failed.
func (st *state) recentAttempts(now time.Time) window.Counts {
	if st.attempts == nil {
		return window.Counts{}
	}
	return st.attempts.Sum(now)
}

// noteResult counts an attempt. Cancelled and refused attempts say nothing about the endpoint's
// health and aren't counted.
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

// HearFailures applies the failures that peers report, and avoids for a while the endpoints that
// fail at several routers. Each call passes everything that all peers report. It returns the
// endpoints that are avoided from now on.
func (p *Pool) HearFailures(now time.Time, reports []FailureWord) []FailureWord {
	byEndpoint := make(map[string]FailureWord, len(reports))
	for _, w := range reports {
		byEndpoint[w.Endpoint] = w
	}
	byGroup := make(map[string][]FailureWord)
	avoided := make(map[string]int)
	for i := range p.shards {
		p.shards[i].collectFailures(byGroup, avoided, byEndpoint, now)
	}
	var failing []FailureWord
	for group, attempts := range byGroup {
		failing = append(failing, failingEndpoints(attempts, avoided[group], p.cfg.Outlier)...)
	}
	for _, w := range failing {
		p.avoid(now, w.Endpoint)
	}
	p.applyPeerUnresponsive(now, reports)
	return failing
}

// applyPeerUnresponsive avoids endpoints that several peers found unresponsive, unless they have
// responded or reported since. With many routers each sends few requests to an endpoint, and would
// otherwise lose a request there to find out.
func (p *Pool) applyPeerUnresponsive(now time.Time, reports []FailureWord) {
	reported := make(map[string]int)
	for _, w := range reports {
		if w.Silent > 0 {
			reported[p.groupOf(w.Endpoint)]++
		}
	}
	tooMany := make(map[string]bool, len(reported))
	for group, unresponsive := range reported {
		all, _ := p.countInGroup(group)
		tooMany[group] = float64(unresponsive) > maxUnresponsiveShare*float64(all)
	}
	for _, w := range reports {
		if w.Silent == 0 || tooMany[p.groupOf(w.Endpoint)] {
			continue
		}
		sh := p.shard(w.Endpoint)
		sh.mu.Lock()
		if st, known := sh.states[w.Endpoint]; known && !st.rejectsPeerReport(now, w) {
			st.toldAt = now
			st.avoidUntil = maxTime(st.avoidUntil, now.Add(unresponsiveReportTTL))
		}
		sh.mu.Unlock()
	}
}

// groupOf is the group of an endpoint; empty if the endpoint isn't known.
func (p *Pool) groupOf(endpoint string) string {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if st, known := sh.states[endpoint]; known {
		return st.group
	}
	return ""
}

// collectFailures adds up what this router and its peers saw of each endpoint in use, by group, and
// counts those already avoided.
func (sh *shard) collectFailures(byGroup map[string][]FailureWord, avoided map[string]int, peerReports map[string]FailureWord, now time.Time) {
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
		n := st.recentAttempts(now)
		w := FailureWord{Endpoint: name, Attempts: n.Total, Failed: n.Part, Witnesses: min(1, n.Part)}
		if now.Sub(st.restartedAt) > restartGracePeriod {
			w = w.Plus(peerReports[name])
		}
		byGroup[st.group] = append(byGroup[st.group], w)
	}
}

// failingEndpoints returns the endpoints of a group that fail at several routers and much more than
// the other endpoints, the worst first. No more than Outlier.MaxShare of them are avoided at once.
func failingEndpoints(attempts []FailureWord, avoided int, o Outlier) []FailureWord {
	slices.SortFunc(attempts, func(a, b FailureWord) int {
		return cmp.Or(cmp.Compare(b.failedShare(), a.failedShare()), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	maxAvoided := int(o.MaxShare * float64(len(attempts)+avoided))
	othersInGroup := FailureWord{}
	for _, w := range attempts[min(maxAvoided, len(attempts)):] {
		othersInGroup = othersInGroup.Plus(w)
	}
	remaining := max(1, maxAvoided) - avoided
	var failing []FailureWord
	for _, w := range attempts {
		if len(failing) < remaining && w.Witnesses >= minReporters && w.isFailing(othersInGroup.failedShare()) {
			failing = append(failing, w)
		}
	}
	return failing
}

// isFailing says whether more attempts failed than chance explains, given the share of failures at the
// other endpoints of the group. Rare failures follow a Poisson distribution, whose variance is its
// mean; one is added because the mean is only an estimate.
func (w FailureWord) isFailing(groupShare float64) bool {
	expected := groupShare * float64(w.Attempts)
	threshold := expected + failingStdDevs*math.Sqrt(expected+1)
	return w.Failed >= minFailed && float64(w.Failed) > threshold &&
		w.failedShare() > minFailedShare
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
