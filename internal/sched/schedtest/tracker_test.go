package schedtest_test

import (
	"slices"

	"github.com/cockroachdb/errors"

	"coveferry/internal/load"
	"coveferry/internal/sched"
	"coveferry/internal/sched/tiered"
)

// jobTracker tracks each job from its admission to its end from the decisions
// alone, independently of how they are made, and checks invariants.
type jobTracker struct {
	cfg         tiered.Config
	waiting     map[sched.JobID]sched.Job
	running     map[sched.JobID]sched.Job
	started     map[sched.JobID]bool
	preemptions map[sched.JobID]int
	preempting  sched.JobID // 0 if none
	classes     map[string]bool
}

func newJobTracker(cfg tiered.Config) *jobTracker {
	return &jobTracker{
		cfg:         cfg,
		waiting:     map[sched.JobID]sched.Job{},
		running:     map[sched.JobID]sched.Job{},
		started:     map[sched.JobID]bool{},
		preemptions: map[sched.JobID]int{},
		classes:     map[string]bool{},
	}
}

// applyVerdict records the result of an offer, or returns the violated
// invariant.
func (l *jobTracker) applyVerdict(j sched.Job, v sched.Verdict) error {
	if v.Admitted {
		l.waiting[j.ID] = j
		l.classes[j.Class] = true
		return nil
	}
	if v.Reason == sched.ReasonQueueFull && l.fitsByDisplacement(j) {
		return errors.New("refused as queue_full although displacing lower tiers would have been enough")
	}
	return nil
}

// fitsByDisplacement reports whether the job would fit if all waiting jobs of
// lower tiers were displaced, except for preempted jobs and the oldest
// unstarted job of each class.
func (l *jobTracker) fitsByDisplacement(j sched.Job) bool {
	entries, bytes := 0, j.Bytes
	for _, o := range l.waiting {
		first := !l.anyJob(l.waiting, func(p sched.Job) bool {
			return p.Class == o.Class && p.ID < o.ID && !l.started[p.ID]
		})
		if o.Tier <= j.Tier && !l.started[o.ID] && !first {
			entries++
			bytes += o.Bytes
		}
	}
	return (l.cfg.QueueEntries <= 0 || entries < l.cfg.QueueEntries) &&
		(l.cfg.QueueBytes <= 0 || bytes <= l.cfg.QueueBytes)
}

func (l *jobTracker) requeue() {
	if j, ok := l.running[l.preempting]; ok {
		delete(l.running, j.ID)
		l.waiting[j.ID] = j
	}
	l.preempting = 0
}

func (l *jobTracker) finish(id sched.JobID) {
	delete(l.waiting, id)
	delete(l.running, id)
	if l.preempting == id {
		l.preempting = 0
	}
}

// chooseRunning chooses a running job.
func (l *jobTracker) chooseRunning(pick chooser) (sched.JobID, bool) {
	if len(l.running) == 0 {
		return 0, false
	}
	var ids []sched.JobID
	for id := range l.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[pick(len(ids))], true
}

// applyDecision applies a decision, or returns the violated invariant.
func (l *jobTracker) applyDecision(d sched.Decision) error {
	switch d.Action {
	case sched.ActionStart:
		return l.start(d.Job)
	case sched.ActionDrop:
		return l.drop(d)
	default:
		return l.preempt(d.Job)
	}
}

func (l *jobTracker) start(id sched.JobID) error {
	j, ok := l.waiting[id]
	if !ok {
		return errors.New("started a job that isn't waiting")
	}
	delete(l.waiting, id)
	l.running[id] = j
	l.started[id] = true
	if len(l.running) > l.cfg.Slots {
		return errors.New("more running jobs than slots")
	}
	return nil
}

func (l *jobTracker) drop(d sched.Decision) error {
	j, ok := l.waiting[d.Job]
	if !ok {
		return errors.New("dropped a job that isn't waiting")
	}
	if l.started[d.Job] {
		return errors.New("dropped a job that has started")
	}
	delete(l.waiting, d.Job)
	if d.Reason == sched.ReasonDisplaced && !l.anyJob(l.waiting, func(o sched.Job) bool { return o.Tier < j.Tier }) {
		return errors.New("displaced without a higher tier waiting")
	}
	return nil
}

func (l *jobTracker) preempt(id sched.JobID) error {
	j, ok := l.running[id]
	l.preemptions[id]++
	switch {
	case !ok || l.preempting != 0:
		return errors.New("preempted a job that isn't running, or during another preemption")
	case !j.Preemptible || l.preemptions[id] > l.cfg.MaxPreemptions:
		return errors.New("preempted a job that isn't preemptible, or more than MaxPreemptions times")
	case !l.anyJob(l.waiting, func(o sched.Job) bool { return o.Tier < j.Tier }):
		return errors.New("preempted without a higher tier waiting")
	}
	l.preempting = id
	return nil
}

func (l *jobTracker) anyJob(jobs map[sched.JobID]sched.Job, ok func(sched.Job) bool) bool {
	for _, j := range jobs {
		if ok(j) {
			return true
		}
	}
	return false
}

// check compares the report with the tracked jobs and the queue's limits.
func (l *jobTracker) check(r load.Report) error {
	if r.TotalQueued() != len(l.waiting) || r.TotalRunning() != len(l.running) {
		return errors.Newf("reported job count is off by %d", total(r)-len(l.waiting)-len(l.running))
	}
	if len(l.waiting) > 0 && len(l.running) < l.cfg.Slots {
		return errors.New("a slot is idle while a job waits")
	}
	outside := len(l.classes) + l.cfg.Slots
	if l.cfg.QueueEntries > 0 && len(l.waiting) > l.cfg.QueueEntries+outside {
		return errors.New("more waiting jobs than the queue's entry limit allows")
	}
	bytes := 0
	for _, j := range l.waiting {
		bytes += j.Bytes
	}
	if l.cfg.QueueBytes > 0 && bytes > l.cfg.QueueBytes+outside*15 {
		return errors.New("more waiting bytes than the queue's byte limit allows")
	}
	return nil
}
