package balance

import (
	"cmp"
	"slices"
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/load"
	"coveferry/internal/pace"
)

// PaceChecks returns the endpoints, up to limit, that are to be asked for their pace now, and counts
// them as asked: those that owned returns true for, that are in use without limits and of which no
// recent reading is known. Endpoints of a group in which none has stated its pace are never asked.
func (p *Pool) PaceChecks(now time.Time, endpoints []*bundle.Endpoint, limit int, owned func(endpoint string) bool) []string {
	stating := p.groupsThatStatePace(now)
	var due []string
	for _, e := range endpoints {
		if len(due) == limit {
			break
		}
		if stating[endpointGroup(e)] && owned(e.Name) && p.takePaceCheck(now, e) {
			due = append(due, e.Name)
		}
	}
	return due
}

// PaceStated reports whether some endpoint has stated its pace recently.
func (p *Pool) PaceStated(now time.Time) bool { return len(p.groupsThatStatePace(now)) > 0 }

// groupsThatStatePace returns the groups of endpoints of which some has stated its pace recently.
func (p *Pool) groupsThatStatePace(now time.Time) map[string]bool {
	stating := make(map[string]bool)
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, st := range sh.states {
			if st.pace.Stated(now) {
				stating[st.group] = true
			}
		}
		sh.mu.Unlock()
	}
	return stating
}

// paceUnstatedFor is how long an endpoint whose own report states no percentage isn't asked for it.
const paceUnstatedFor = 30 * time.Second

// takePaceCheck reports whether an endpoint is to be asked now, and records that it is.
func (p *Pool) takePaceCheck(now time.Time, e *bundle.Endpoint) bool {
	sh := p.shard(e.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, known := sh.states[e.Name]
	if !known || !st.mayBeAskedForPace(now, e) || !st.pace.CheckDue(now, st.paceCheckedAt) {
		return false
	}
	st.paceCheckedAt = now
	return true
}

// mayBeAskedForPace reports whether an endpoint accepts requests without limits, none of which a check
// may take up, and may state its pace.
func (st *state) mayBeAskedForPace(now time.Time, e *bundle.Endpoint) bool {
	if st.leaving || st.rateState.suspect || !st.backoff.over(now) {
		return false
	}
	if _, limited := st.rateState.currentLimit(now, e, Request{}); limited {
		return false
	}
	unstated := !st.reportFromPeer && !pace.Valid(st.load.WorkPercent) && !st.reportedAt.IsZero()
	return !unstated || now.Sub(st.reportedAt) > paceUnstatedFor
}

// ReportFromCheck records the load report in the answer to a health check that was sent at the given
// time.
func (p *Pool) ReportFromCheck(now, sent time.Time, endpoint string, r load.Report) {
	sh := p.shard(endpoint)
	sh.mu.Lock()
	var changed bool
	var estimate pace.Estimate
	if st, known := sh.states[endpoint]; known {
		changed, estimate = st.recordCheckedReport(now, sent, r)
	}
	sh.mu.Unlock()
	p.notifyPace(changed, endpoint, estimate)
}

func (st *state) recordCheckedReport(now, sent time.Time, r load.Report) (changed bool, estimate pace.Estimate) {
	if sent.Before(st.restartedAt) {
		return false, pace.Estimate{}
	}
	changed = st.pace.Add(now, r.WorkPercent)
	if sent.After(st.reportedAt) {
		r.Seq = st.load.Seq // numbers only the answers to requests
		st.load, st.reportedAt, st.reportFromPeer = r, now, false
		st.dropSendsUntil(sent)
	}
	return changed, st.pace.At(now)
}

// PaceEvent is a change of an endpoint's pace from one class to another.
type PaceEvent struct {
	Endpoint string
	// Factor is how long work takes there relative to the usual time.
	Factor float64
}

func (p *Pool) notifyPace(changed bool, endpoint string, estimate pace.Estimate) {
	if changed && p.cfg.OnPace != nil {
		p.cfg.OnPace(PaceEvent{Endpoint: endpoint, Factor: estimate.Factor})
	}
}

// GroupPaces are the known paces of a group of endpoints.
type GroupPaces struct {
	Group string
	// Known is the number of endpoints whose pace is known, and Slow that of those that are slower
	// than usual in their group.
	Known, Slow int
	// Fastest, Median and Slowest are the factors relative to the usual time.
	Fastest, Median, Slowest float64
}

// Paces returns the known paces by group, ordered by its name.
func (p *Pool) Paces(now time.Time) []GroupPaces {
	byGroup := make(map[string][]pace.Estimate)
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, st := range sh.states {
			if e := st.pace.At(now); e.Class != pace.Unknown {
				byGroup[st.group] = append(byGroup[st.group], e)
			}
		}
		sh.mu.Unlock()
	}
	var all []GroupPaces
	for group, estimates := range byGroup {
		all = append(all, summarizePaces(group, estimates))
	}
	slices.SortFunc(all, func(a, b GroupPaces) int { return cmp.Compare(a.Group, b.Group) })
	return all
}

func summarizePaces(group string, estimates []pace.Estimate) GroupPaces {
	slices.SortFunc(estimates, func(a, b pace.Estimate) int { return cmp.Compare(a.Factor, b.Factor) })
	usual := pace.UsualOf(func(yield func(pace.Class) bool) {
		for _, e := range estimates {
			if !yield(e.Class) {
				return
			}
		}
	})
	n := len(estimates)
	g := GroupPaces{Group: group, Known: n, Fastest: estimates[0].Factor, Median: estimates[n/2].Factor, Slowest: estimates[n-1].Factor}
	for _, e := range estimates {
		if usual.Slow(e.Class) {
			g.Slow++
		}
	}
	return g
}
