// Package refusals decides how much work an endpoint gets whose refusals contradict the load that it
// states: it refuses requests for lack of room while its own statement leaves slots free. Such an
// endpoint looks idle, so that load alone sends it every request. The decisions are pure; time and
// randomness are handed in.
package refusals

import (
	"time"

	"coveferry/internal/load"
	"coveferry/internal/throttle/window"
)

const (
	// evidenceWindow is how long an outcome counts. It is also the longest time for which an
	// endpoint that serves all requests again gets less than its share, so it stays below 2 s.
	evidenceWindow = 1500 * time.Millisecond
	// minContradictions is how many contradictions are needed, each within maxRunGap after
	// the one before, and minContradictedShare their share of the outcomes in that time: a single
	// one may be a race with the end of another request.
	minContradictions    = 3
	minContradictedShare = 0.3
	// maxRunGap is long enough for endpoints that get a request a second from the routers that
	// tell each other.
	maxRunGap = 4 * time.Second
	// minSpan is the shortest time from the first to the last of them: an endpoint that is full for
	// a moment stops refusing within fractions of a second, and loses nothing. Peers hear of a
	// refusal up to 250 ms late.
	minSpan = 600 * time.Millisecond
	// probeShare is the share of its even share of the requests that an endpoint gets at least, so
	// that probes stay a bounded part of the requests where these are few.
	probeShare = 0.4
	// probeInterval is the mean time between two probes of the routers of a failure domain, which
	// tell each other of their outcomes.
	probeInterval = time.Second
	// minServed is how many requests have to be served in a row for the endpoint to compete by its
	// load again: one that refuses half serves as many in 1 of 256 rows. Until then it gets no
	// more than its even share.
	minServed = 8
	// minDistrusting is how many peers must distrust an endpoint for a router without outcomes of
	// its own to do so as well: a single one may itself be at fault.
	minDistrusting = 2
	// forgetAfter is when the endpoint competes again if no contradiction came, for lack of
	// requests.
	forgetAfter = 10 * time.Second
	// reportTTL is how long a peers' report counts: they come every 250 ms.
	reportTTL = time.Second
	// maxReported bounds the counts of a peers' report, which is untrusted input.
	maxReported = 1 << 20
)

// Kind says how a refusal for lack of room relates to the load stated in the same answer.
type Kind uint8

// Kinds of refusals.
const (
	// Consistent: the stated load has no free slot, or the answer names another reason.
	Consistent Kind = iota
	// Contradicting: the stated load has a free slot and no queue.
	Contradicting
	// Unstated: the endpoint states no load.
	Unstated
)

// KindOf compares a refusal for lack of room with the load stated in it. slots is the number of
// slots if the load doesn't state it; 0 if unknown.
func KindOf(stated *load.Report, slots int) Kind {
	if stated == nil {
		return Unstated
	}
	if stated.Slots > 0 {
		slots = stated.Slots
	}
	if stated.TotalQueued() == 0 && stated.TotalRunning() < slots {
		return Contradicting
	}
	return Consistent
}

// Counts are outcomes at an endpoint within the window.
type Counts struct {
	// Contradicted counts the refusals that contradict the load, and Served the requests served.
	Contradicted, Served int
	// Routers is how many routers distrust the endpoint.
	Routers int
}

// Change says whether the endpoint began or ended to be distrusted.
type Change uint8

// Changes.
const (
	Unchanged Change = iota
	Begins
	Ends
)

// Evidence is what a router knows of an endpoint's refusals, in one life of the endpoint. It isn't
// safe for concurrent use.
type Evidence struct {
	outcomes window.Ring // Total: all, Part: contradictions
	reported Counts
	// reportedAt is when peers last reported outcomes.
	reportedAt time.Time
	// run counts the outcomes since the contradiction at runStart, the first one after maxRunGap
	// without any. Peers' outcomes count when they are reported.
	run                         Counts
	runStart, lastContradiction time.Time
	// lastServed is when this router or a peer last had a request served there.
	lastServed time.Time
	// servedInRow counts the requests of this router served since the last contradiction.
	servedInRow int
	distrusted  bool
	// adopted is set if the endpoint is distrusted only since peers distrust it. Such routers
	// don't tell that they do, or they would keep each other from forgetting.
	adopted bool
	// requestGap is the mean time between two requests of this router that the endpoint could
	// get, 0 if unknown, and lastRequest when the last one came.
	requestGap  time.Duration
	lastRequest time.Time
}

// Matters reports whether peers' outcomes matter to a router that has none of its own.
func (c Counts) Matters() bool { return c.Contradicted > 0 || c.Routers >= minDistrusting }

// New returns the evidence of an endpoint without outcomes.
func New() *Evidence { return &Evidence{outcomes: window.New(evidenceWindow)} }

// Contradicted records a refusal that contradicts the load.
func (e *Evidence) Contradicted(now time.Time) {
	e.outcomes.Add(now, window.Counts{Total: 1, Part: 1})
	e.contradictedAt(now, 1)
}

func (e *Evidence) contradictedAt(now time.Time, n int) {
	if now.Sub(e.lastContradiction) > maxRunGap {
		e.runStart, e.run = now, Counts{}
	}
	e.lastContradiction = now
	e.adopted = false
	e.run.Contradicted += n
	e.servedInRow = 0
}

// Served records a served request.
func (e *Evidence) Served(now time.Time) {
	e.outcomes.Add(now, window.Counts{Total: 1})
	e.lastServed = now
	e.servedInRow++
	e.run.Served++
}

// Report replaces the outcomes that peers report. Counts above those of the last report are new
// outcomes.
func (e *Evidence) Report(now time.Time, c Counts) {
	last := e.peers(now)
	e.reported = Counts{clamp(c.Contradicted), clamp(c.Served), clamp(c.Routers)}
	e.reportedAt = now
	if n := e.reported.Contradicted - last.Contradicted; n > 0 {
		e.contradictedAt(now, n)
	}
	if n := e.reported.Served - last.Served; n > 0 {
		e.lastServed = now
		e.run.Served += n
	}
}

func clamp(n int) int { return min(max(n, 0), maxReported) }

// peers returns what peers reported, unless that is too long ago.
func (e *Evidence) peers(now time.Time) Counts {
	if now.Sub(e.reportedAt) > reportTTL {
		return Counts{}
	}
	return e.reported
}

// Own returns the outcomes of this router.
func (e *Evidence) Own(now time.Time) Counts {
	n := e.outcomes.Sum(now)
	c := Counts{Contradicted: n.Part, Served: n.Total - n.Part}
	if e.distrusted && !e.adopted {
		c.Routers = 1
	}
	return c
}

// all returns the outcomes of this router and its peers.
func (e *Evidence) all(now time.Time) Counts {
	c, peers := e.Own(now), e.peers(now)
	return Counts{c.Contradicted + peers.Contradicted, c.Served + peers.Served, c.Routers + peers.Routers}
}

// Update decides anew whether the endpoint is distrusted.
func (e *Evidence) Update(now time.Time) Change {
	c := e.all(now)
	switch {
	case !e.distrusted && (e.run.contradict() || c.contradict()) && e.lastContradiction.Sub(e.runStart) >= minSpan:
		e.distrusted = true
		return Begins
	case !e.distrusted && e.peersDistrust(now):
		e.distrusted, e.adopted, e.lastContradiction = true, true, now
		return Begins
	case e.distrusted && e.recovered(now, c):
		e.distrusted, e.adopted, e.run = false, false, Counts{}
		return Ends
	}
	return Unchanged
}

// peersDistrust reports whether peers distrust the endpoint for what it did lately, or, if they know
// of no outcome, no request is known to be served there since it refused one.
func (e *Evidence) peersDistrust(now time.Time) bool {
	c := e.peers(now)
	if c.Routers < minDistrusting {
		return false
	}
	if c.Contradicted > 0 {
		return c.mostlyContradicted()
	}
	return c.Served == 0 && !e.lastServed.After(e.lastContradiction)
}

func (c Counts) contradict() bool {
	return c.Contradicted >= minContradictions && c.mostlyContradicted()
}

func (c Counts) mostlyContradicted() bool {
	return float64(c.Contradicted) >= minContradictedShare*float64(c.Contradicted+c.Served)
}

func (e *Evidence) recovered(now time.Time, c Counts) bool {
	inRow := max(e.servedInRow, c.Served)
	return c.Contradicted == 0 && inRow >= minServed || now.Sub(e.lastContradiction) > forgetAfter
}

// Distrusted reports whether the endpoint gets requests by what it serves instead of by its load.
func (e *Evidence) Distrusted() bool { return e != nil && e.distrusted }

// Over reports whether nothing is known of the endpoint any more.
func (e *Evidence) Over(now time.Time) bool {
	return !e.distrusted && now.Sub(e.lastContradiction) > forgetAfter
}

// servedShare is the share of the recent requests that the endpoint served. Without a contradiction
// within the window, the last outcome decides.
func (e *Evidence) servedShare(c Counts) float64 {
	switch {
	case c.Contradicted > 0:
		return float64(c.Served) / float64(c.Served+c.Contradicted)
	case e.lastServed.After(e.lastContradiction):
		return 1
	}
	return 0
}

// Share is called for each request that could be sent to a distrusted endpoint or another one of
// endpoints in all. It returns the probability with which this request is to be sent there: the
// endpoint's even share of the requests times the part that it serves of them. An endpoint that
// serves none gets probes.
func (e *Evidence) Share(now time.Time, endpoints int) float64 {
	e.recordRequest(now)
	c := e.all(now)
	even := 1 / float64(max(endpoints, 1))
	return max(e.servedShare(c)*even, min(probeShare*even, e.probeChance(c)))
}

// gapSmoothing is the weight of a new gap in the mean time between two requests.
const gapSmoothing = 0.2

func (e *Evidence) recordRequest(now time.Time) {
	gap := now.Sub(e.lastRequest)
	switch {
	case e.lastRequest.IsZero():
	case e.requestGap == 0:
		e.requestGap = gap
	default:
		e.requestGap += time.Duration(gapSmoothing * float64(gap-e.requestGap))
	}
	e.lastRequest = now
}

// probeChance is the probability with which a request is a probe so that the routers that distrust
// the endpoint together send one in probeInterval; 1 if the rate of requests isn't known.
func (e *Evidence) probeChance(c Counts) float64 {
	if e.requestGap == 0 {
		return 1
	}
	return float64(e.requestGap) / float64(probeInterval) / float64(max(c.Routers, 1))
}
