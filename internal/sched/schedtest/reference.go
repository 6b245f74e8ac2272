// Package schedtest provides helpers for tests of scheduling policies: a simple
// reference implementation of the tiered policy, written with slices and linear
// scans, against which the production one is compared decision by decision, and
// a simulated endpoint.
package schedtest

import (
	"math"
	"time"

	"coveferry/internal/load"
	"coveferry/internal/sched"
	"coveferry/internal/sched/drain"
	"coveferry/internal/sched/tiered"
)

// phase is the state of a job.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseBeingPreempted
	phaseDropping
)

// refJob is a waiting, running or dropped job.
type refJob struct {
	sched.Job
	arrival     int
	phase       phase
	started     bool
	reserved    bool
	reason      sched.Reason
	dropOrder   int // position among the jobs to drop
	startBy     time.Time
	startedAt   time.Time
	preemptedAt time.Time
	runTime     time.Duration
	produced    int64
	charged     int64
	preemptions int
}

// refTeam is the state of a team within one tier.
type refTeam struct {
	tier   int
	name   string
	served int64
}

// refClass holds the state and statistics of a request class.
type refClass struct {
	name                        string
	tokens, runTime, firstToken refMean
	unserved                    bool
	unservedSince               time.Time
	serviceOrder                int
}

// refMean is an exponentially weighted moving average, stored in eighths, in
// which a new value has the weight 1/8.
type refMean struct{ eighths, count int64 }

func (m *refMean) add(v int64) {
	if m.count == 0 {
		m.eighths = 8 * v
	} else {
		m.eighths = m.eighths - m.eighths/8 + v
	}
	m.count++
}

// Reference is a simple implementation of the policy of tiered.Scheduler. It
// ignores Config.Disabled.
type Reference struct {
	cfg                tiered.Config
	jobs               []*refJob // in order of arrival
	teams              []*refTeam
	classes            []*refClass
	lastTeam           [load.MaxTiers]*refTeam
	meter              drain.Meter
	startRate          [load.MaxTiers]drain.Meter // of first starts while jobs of the tier wait
	now                time.Time
	preemptionDuration refMean
	balance            int64 // of the reserve, in per mille of slot microseconds
	earmarked          int
	arrivals           int
	nextServiceOrder   int
	nextDropOrder      int
}

var _ sched.Policy = (*Reference)(nil)

// NewReference returns a reference with an empty queue. All fields of cfg must
// be set, since the reference applies no defaults.
func NewReference(cfg tiered.Config) *Reference { return &Reference{cfg: cfg} }

// count returns the number of jobs that satisfy ok.
func (r *Reference) count(ok func(*refJob) bool) int {
	n := 0
	for _, j := range r.jobs {
		if ok(j) {
			n++
		}
	}
	return n
}

// best returns the first job in the order of before that satisfies ok, or nil.
func (r *Reference) best(ok func(*refJob) bool, before func(a, b *refJob) bool) *refJob {
	var best *refJob
	for _, j := range r.jobs {
		if ok(j) && (best == nil || before(j, best)) {
			best = j
		}
	}
	return best
}

func (j *refJob) waits() bool     { return j.phase == phaseWaiting }
func (j *refJob) holdsSlot() bool { return j.phase == phaseRunning || j.phase == phaseBeingPreempted }

func earlier(a, b *refJob) bool { return a.arrival < b.arrival }

func (r *Reference) busy() int { return r.count((*refJob).holdsSlot) }

func (r *Reference) find(id sched.JobID) *refJob {
	return r.best(func(j *refJob) bool { return j.ID == id }, earlier)
}

func (r *Reference) forget(removed *refJob) {
	var kept []*refJob
	for _, j := range r.jobs {
		if j != removed {
			kept = append(kept, j)
		}
	}
	r.jobs = kept
}

func (r *Reference) team(tier int, name string) *refTeam {
	for _, m := range r.teams {
		if m.tier == tier && m.name == name {
			return m
		}
	}
	m := &refTeam{tier: tier, name: name}
	r.teams = append(r.teams, m)
	return m
}

func (r *Reference) class(name string) *refClass {
	for _, c := range r.classes {
		if c.name == name {
			return c
		}
	}
	c := &refClass{name: name}
	r.classes = append(r.classes, c)
	return c
}

func (r *Reference) advance(now time.Time) {
	busy := r.busy()
	r.meter.Advance(now, busy)
	if !r.now.IsZero() {
		elapsed := now.UnixMicro() - r.now.UnixMicro()
		spent := int64(r.count(func(j *refJob) bool { return j.reserved }))
		r.balance = min(0, r.balance+r.share()*int64(busy)*elapsed-1000*spent*elapsed)
	}
	r.now = now
}

// share returns the reserve's share of slot time in thousandths.
func (r *Reference) share() int64 { return max(1, int64(math.Round(r.cfg.ReserveShare*1000))) }

// Load counts the waiting and running jobs.
func (r *Reference) Load(now time.Time) load.Report {
	r.advance(now)
	report := load.Report{Slots: r.cfg.Slots, DrainPerSecond: r.meter.PerSecond(r.cfg.Slots)}
	for _, j := range r.jobs {
		if j.waits() {
			report.Queued[j.Tier]++
		}
		if j.holdsSlot() {
			report.Running[j.Tier]++
		}
	}
	return report
}

// Tokens charges the team for produced tokens beyond the job's charge.
func (r *Reference) Tokens(now time.Time, id sched.JobID, n int) {
	r.advance(now)
	j := r.find(id)
	if j == nil || !j.holdsSlot() || n <= 0 {
		return
	}
	if j.produced == 0 {
		r.class(j.Class).firstToken.add(int64(now.Sub(j.startedAt)))
	}
	j.produced += int64(n)
	r.charge(j, max(j.charged, j.produced))
}

// charge sets the tokens charged to the team for the job.
func (r *Reference) charge(j *refJob, tokens int64) {
	r.team(j.Tier, j.Team).served += tokens - j.charged
	j.charged = tokens
}

// Requeue returns a job that held a slot to the queue.
func (r *Reference) Requeue(now time.Time, id sched.JobID) {
	r.advance(now)
	j := r.find(id)
	if j == nil || !j.holdsSlot() {
		return
	}
	if j.phase == phaseBeingPreempted {
		r.preemptionDuration.add(int64(now.Sub(j.preemptedAt)))
	}
	higher := r.count(func(o *refJob) bool { return o.waits() && o.Tier < j.Tier })
	if j.phase == phaseBeingPreempted && higher > 0 {
		r.earmarked++
	}
	r.advanceStartRate(j.Tier)
	r.release(j)
	r.liftCounter(r.team(j.Tier, j.Team))
	j.phase = phaseWaiting
	r.markUnserved(r.class(j.Class))
}

// release frees the job's slot and corrects its charge.
func (r *Reference) release(j *refJob) {
	j.reserved = false
	j.runTime += r.now.Sub(j.startedAt)
	r.charge(j, max(j.produced, 1))
}

// Finish removes a job.
func (r *Reference) Finish(now time.Time, id sched.JobID) {
	r.advance(now)
	j := r.find(id)
	if j == nil {
		return
	}
	if j.holdsSlot() {
		r.release(j)
		r.meter.Finished()
		c := r.class(j.Class)
		c.runTime.add(int64(j.runTime))
		c.tokens.add(j.produced)
	}
	wasWaiting := j.waits()
	if wasWaiting {
		r.advanceStartRate(j.Tier)
	}
	r.forget(j)
	if wasWaiting {
		r.recordLastTeam(j)
	}
}

// advanceStartRate accounts for the time since the tier's waiting jobs last
// changed.
func (r *Reference) advanceStartRate(tier int) {
	waiting := r.count(func(j *refJob) bool { return j.waits() && j.Tier == tier })
	r.startRate[tier].Advance(r.now, min(waiting, 1))
}

// recordLastTeam records the job's team as the last active one of its tier if
// none of its jobs is waiting any more. Call it after the job left the queue.
func (r *Reference) recordLastTeam(j *refJob) {
	m := r.team(j.Tier, j.Team)
	if r.waitingOf(m) == 0 {
		r.lastTeam[j.Tier] = m
	}
}

func (r *Reference) waitingOf(m *refTeam) int {
	return r.count(func(j *refJob) bool { return j.waits() && j.Tier == m.tier && j.Team == m.name })
}

// liftCounter raises the counter of a team that becomes active to the lowest
// counter of the active teams, or to that of the last active team.
func (r *Reference) liftCounter(m *refTeam) {
	if r.waitingOf(m) > 0 {
		return
	}
	lowest := r.leastServed(m.tier)
	if lowest == nil {
		lowest = r.lastTeam[m.tier]
	}
	if lowest != nil {
		m.served = max(m.served, lowest.served)
	}
}

// leastServed returns the active team of the tier with the lowest counter.
func (r *Reference) leastServed(tier int) *refTeam {
	var best *refTeam
	for _, m := range r.teams {
		if m.tier != tier || r.waitingOf(m) == 0 {
			continue
		}
		if best == nil || m.served < best.served {
			best = m
		}
	}
	return best
}

// markUnserved records that the class has a waiting job.
func (r *Reference) markUnserved(c *refClass) {
	if !c.unserved {
		c.unserved = true
		r.moveToBack(c)
	}
}

func (r *Reference) moveToBack(c *refClass) {
	c.unservedSince = r.now
	c.serviceOrder = r.nextServiceOrder
	r.nextServiceOrder++
}

// oldest returns the class's waiting job that arrived first.
func (r *Reference) oldest(class string) *refJob {
	return r.best(func(j *refJob) bool { return j.waits() && j.Class == class }, earlier)
}
