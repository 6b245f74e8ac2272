package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"coveferry/internal/age"
	"coveferry/internal/bundle"
	"coveferry/internal/refusals"
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

// FailureSummary is a router's summary of failed attempts at an endpoint and of its being
// unresponsive.
type FailureSummary struct {
	Endpoint string `json:"e"`
	Attempts int    `json:"n"`
	Failed   int    `json:"f"`
	// Reporters is how many routers had failed attempts.
	Reporters int `json:"w"`
	// LosingAnswers is how many routers sent it requests that got no answer.
	LosingAnswers int `json:"l,omitempty"`
	// Unresponsive is how many routers found the endpoint unresponsive, and UnresponsiveMillis the
	// shortest time for which it was.
	Unresponsive       int   `json:"s,omitempty"`
	UnresponsiveMillis int64 `json:"q,omitempty"`
	// BackoffMillis is for how much longer the endpoint wants nothing from a router that it asked
	// BackoffAgeMillis ago; 0 if it wants requests.
	BackoffMillis    int64 `json:"b,omitempty"`
	BackoffAgeMillis int64 `json:"g,omitempty"`
	// Contradicted is how many requests the endpoint refused lately though its load left room,
	// Served how many it served. Contradicting is how many routers had such refusals, and
	// Distrusting how many distrust the endpoint for them.
	Contradicted  int `json:"c,omitempty"`
	Served        int `json:"v,omitempty"`
	Contradicting int `json:"k,omitempty"`
	Distrusting   int `json:"d,omitempty"`
}

// Add adds another router's summary of the same endpoint.
func (s FailureSummary) Add(o FailureSummary) FailureSummary {
	s.Attempts += o.Attempts
	s.Failed += o.Failed
	s.Reporters += o.Reporters
	s.LosingAnswers += o.LosingAnswers
	if s.Unresponsive == 0 || o.Unresponsive > 0 && o.UnresponsiveMillis < s.UnresponsiveMillis {
		s.UnresponsiveMillis = o.UnresponsiveMillis
	}
	s.Unresponsive += o.Unresponsive
	s.Contradicted += o.Contradicted
	s.Served += o.Served
	s.Contradicting += o.Contradicting
	s.Distrusting += o.Distrusting
	if o.BackoffMillis > s.BackoffMillis {
		s.BackoffMillis, s.BackoffAgeMillis = o.BackoffMillis, o.BackoffAgeMillis
	}
	return s
}

// RecentFailures lists up to limit endpoints at which attempts of this router failed recently, that
// it found unresponsive, that asked it to back off or whose refusals contradict their load.
// Unresponsive endpoints and those that asked for backoff come first, since peers can avoid them at
// once, then those with the most failures.
func (p *Pool) RecentFailures(now time.Time, limit int) []FailureSummary {
	var failures []FailureSummary
	for i := range p.shards {
		failures = p.shards[i].appendFailures(failures, now)
	}
	slices.SortFunc(failures, func(a, b FailureSummary) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return failures[:min(limit, len(failures))]
}

// rank orders the endpoints in the bounded report to peers, highest first.
func (s FailureSummary) rank() int {
	if s.Unresponsive > 0 || s.BackoffMillis > 0 {
		return 1
	}
	return 0
}

func (sh *shard) appendFailures(failures []FailureSummary, now time.Time) []FailureSummary {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, st := range sh.states {
		n := st.recentAttempts(now)
		own := st.ownRefusals(now)
		if n.Part == 0 && !st.isUnresponsive(now) && !st.backoff.waiting(now) && own == (refusals.Counts{}) {
			continue
		}
		w := FailureSummary{Endpoint: name, Attempts: n.Total, Failed: n.Part, Reporters: min(1, n.Part)}
		w.addRefusals(own)
		if st.lostAnswer(now) {
			w.LosingAnswers = 1
		}
		if st.isUnresponsive(now) {
			w.Unresponsive, w.UnresponsiveMillis = 1, age.MillisSince(maxTime(st.lastResponseAt, st.waitingSince), now)
		}
		if st.backoff.waiting(now) {
			w.BackoffMillis, w.BackoffAgeMillis = st.backoff.until.Sub(now).Milliseconds(), age.MillisSince(st.backoff.askedAt, now)
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

// RecordLostAnswer records that a request which was sent to the endpoint got no answer.
func (p *Pool) RecordLostAnswer(now time.Time, endpoint string) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.state(endpoint).lostAnswerAt = now
}

// LosesAnswers reports whether a request that was sent to the endpoint got no answer within the failure
// window, at this router or at one that has reported it.
func (p *Pool) LosesAnswers(now time.Time, endpoint string) bool {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[endpoint]
	return known && (st.lostAnswer(now) || now.Sub(st.peersLostAnswerAt) <= failureWindow)
}

const (
	// minLosingShare of the endpoints, and minLosing of them, lose answers where that isn't the fault of single
	// ones.
	minLosingShare = 0.1
	minLosing      = 2
)

// ManyLoseAnswers reports whether many of the endpoints that serve lose answers, so that others may, of which
// nobody knows it yet. Those that have crashed don't count.
func (p *Pool) ManyLoseAnswers(now time.Time, endpoints []*bundle.Endpoint) bool {
	losing, serving := 0, 0
	for _, e := range endpoints {
		if !p.InService(e.Name) {
			continue
		}
		serving++
		if p.LosesAnswers(now, e.Name) {
			losing++
		}
	}
	return losing >= minLosing && float64(losing) >= minLosingShare*float64(serving)
}

// lostAnswer reports whether a request of this router got no answer within the failure window.
func (st *state) lostAnswer(now time.Time) bool { return now.Sub(st.lostAnswerAt) <= failureWindow }

// recordPeerLostAnswers records which endpoints peers report as having lost answers. Reports shortly
// after a restart may be about the process before.
func (p *Pool) recordPeerLostAnswers(now time.Time, reports []FailureSummary) {
	for _, w := range reports {
		if w.LosingAnswers == 0 {
			continue
		}
		sh := p.shard(w.Endpoint)
		sh.mu.Lock()
		if st, known := sh.states[w.Endpoint]; known && now.Sub(st.restartedAt) > restartGracePeriod {
			st.peersLostAnswerAt = now
		}
		sh.mu.Unlock()
	}
}

// recordResult counts an attempt. Cancelled and refused attempts say nothing about the endpoint's
// health and aren't counted.
func (st *state) recordResult(now time.Time, res Result) {
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

// ApplyPeerFailures applies the failures that peers report, and avoids for a while the endpoints
// that fail at several routers. Each call passes everything that all peers report. It returns the
// endpoints that are avoided from now on.
func (p *Pool) ApplyPeerFailures(now time.Time, reports []FailureSummary) []FailureSummary {
	byEndpoint := make(map[string]FailureSummary, len(reports))
	for _, w := range reports {
		byEndpoint[w.Endpoint] = w
	}
	byGroup := make(map[string][]FailureSummary)
	avoided := make(map[string]int)
	for i := range p.shards {
		p.shards[i].collectFailures(byGroup, avoided, byEndpoint, now)
	}
	var failing []FailureSummary
	for group, attempts := range byGroup {
		failing = append(failing, failingEndpoints(attempts, avoided[group], p.cfg.Outlier)...)
	}
	for _, w := range failing {
		p.avoid(now, w.Endpoint)
	}
	p.recordPeerLostAnswers(now, reports)
	p.applyPeerUnresponsive(now, reports)
	p.applyPeerBackoffs(now, reports)
	p.applyPeerRefusals(now, reports)
	return failing
}

// applyPeerUnresponsive avoids endpoints that several peers found unresponsive, unless they have
// responded or reported since. With many routers each sends few requests to an endpoint, and would
// otherwise lose a request there to find out.
func (p *Pool) applyPeerUnresponsive(now time.Time, reports []FailureSummary) {
	reported := make(map[string]int)
	for _, w := range reports {
		if w.Unresponsive > 0 {
			reported[p.groupOf(w.Endpoint)]++
		}
	}
	tooMany := make(map[string]bool, len(reported))
	for group, unresponsive := range reported {
		all, _ := p.countInGroup(group)
		tooMany[group] = float64(unresponsive) > maxUnresponsiveShare*float64(all)
	}
	for _, w := range reports {
		if w.Unresponsive == 0 || tooMany[p.groupOf(w.Endpoint)] {
			continue
		}
		sh := p.shard(w.Endpoint)
		sh.mu.Lock()
		if st, known := sh.states[w.Endpoint]; known && !st.rejectsPeerReport(now, w) {
			st.peersFoundUnresponsiveAt = now
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
func (sh *shard) collectFailures(byGroup map[string][]FailureSummary, avoided map[string]int, peerReports map[string]FailureSummary, now time.Time) {
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
		w := FailureSummary{Endpoint: name, Attempts: n.Total, Failed: n.Part, Reporters: min(1, n.Part)}
		if now.Sub(st.restartedAt) > restartGracePeriod {
			w = w.Add(peerReports[name])
		}
		byGroup[st.group] = append(byGroup[st.group], w)
	}
}

// failingEndpoints returns the endpoints of a group that fail at several routers and much more than
// the other endpoints, the worst first. No more than Outlier.MaxShare of them are avoided at once.
func failingEndpoints(attempts []FailureSummary, avoided int, o Outlier) []FailureSummary {
	slices.SortFunc(attempts, func(a, b FailureSummary) int {
		return cmp.Or(cmp.Compare(b.failedShare(), a.failedShare()), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	maxAvoided := int(o.MaxShare * float64(len(attempts)+avoided))
	othersInGroup := FailureSummary{}
	for _, w := range attempts[min(maxAvoided, len(attempts)):] {
		othersInGroup = othersInGroup.Add(w)
	}
	remaining := max(1, maxAvoided) - avoided
	var failing []FailureSummary
	for _, w := range attempts {
		if len(failing) < remaining && w.Reporters >= minReporters && w.isFailing(othersInGroup.failedShare()) {
			failing = append(failing, w)
		}
	}
	return failing
}

// isFailing reports whether more attempts failed than chance explains, given the share of failures
// at the other endpoints of the group. Rare failures follow a Poisson distribution, whose variance
// is its mean; one is added because the mean is only an estimate.
func (s FailureSummary) isFailing(groupShare float64) bool {
	expected := groupShare * float64(s.Attempts)
	threshold := expected + failingStdDevs*math.Sqrt(expected+1)
	return s.Failed >= minFailed && float64(s.Failed) > threshold &&
		s.failedShare() > minFailedShare
}

func (s FailureSummary) failedShare() float64 {
	if s.Attempts <= 0 {
		return 0
	}
	return float64(s.Failed) / float64(s.Attempts)
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
