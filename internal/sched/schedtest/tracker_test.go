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
	cfg            tiered.Config
	waiting        map[sched.JobID]sched.Job
	running        map[sched.JobID]sched.Job
	started        map[sched.JobID]bool
	preemptions    map[sched.JobID]int
	beingPreempted sched.JobID // 0 if none
	classes        map[string]bool
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
func (t *jobTracker) applyVerdict(j sched.Job, v sched.Verdict) error {
	if v.Admitted {
		t.waiting[j.ID] = j
		t.classes[j.Class] = true
		return nil
	}
	if v.Reason == sched.ReasonQueueFull && t.fitsByDisplacement(j) {
		return errors.New("refused as queue_full although displacing lower tiers would have been enough")
	}
	return nil
}

// fitsByDisplacement reports whether the job would fit if all waiting jobs of
// lower tiers were displaced. Preempted jobs and the oldest unstarted job of
// each class don't count.
func (t *jobTracker) fitsByDisplacement(j sched.Job) bool {
	entries, bytes := 0, j.Bytes
	for _, o := range t.waiting {
		first := !t.anyJob(t.waiting, func(p sched.Job) bool {
			return p.Class == o.Class && p.ID < o.ID && !t.started[p.ID]
		})
		if o.Tier <= j.Tier && !t.started[o.ID] && !first {
			entries++
			bytes += o.Bytes
		}
	}
	return (t.cfg.QueueEntries <= 0 || entries < t.cfg.QueueEntries) &&
		(t.cfg.QueueBytes <= 0 || bytes <= t.cfg.QueueBytes)
}

func (t *jobTracker) requeue() {
	if j, ok := t.running[t.beingPreempted]; ok {
		delete(t.running, j.ID)
		t.waiting[j.ID] = j
	}
	t.beingPreempted = 0
}

func (t *jobTracker) finish(id sched.JobID) {
	delete(t.waiting, id)
	delete(t.running, id)
	if t.beingPreempted == id {
		t.beingPreempted = 0
	}
}

// chooseRunning chooses a running job.
func (t *jobTracker) chooseRunning(pick chooser) (sched.JobID, bool) {
	if len(t.running) == 0 {
		return 0, false
	}
	var ids []sched.JobID
	for id := range t.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[pick(len(ids))], true
}

// applyDecision applies a decision, or returns the violated invariant.
func (t *jobTracker) applyDecision(d sched.Decision) error {
	switch d.Action {
	case sched.ActionStart:
		return t.start(d.Job)
	case sched.ActionDrop:
		return t.drop(d)
	default:
		return t.preempt(d.Job)
	}
}

func (t *jobTracker) start(id sched.JobID) error {
	j, ok := t.waiting[id]
	if !ok {
		return errors.New("started a job that isn't waiting")
	}
	delete(t.waiting, id)
	t.running[id] = j
	t.started[id] = true
	if len(t.running) > t.cfg.Slots {
		return errors.New("more running jobs than slots")
	}
	return nil
}

func (t *jobTracker) drop(d sched.Decision) error {
	j, ok := t.waiting[d.Job]
	if !ok {
		return errors.New("dropped a job that isn't waiting")
	}
	if t.started[d.Job] {
		return errors.New("dropped a job that has started")
	}
	delete(t.waiting, d.Job)
	if d.Reason == sched.ReasonDisplaced && !t.anyJob(t.waiting, func(o sched.Job) bool { return o.Tier < j.Tier }) {
		return errors.New("displaced without a higher tier waiting")
	}
	return nil
}

func (t *jobTracker) preempt(id sched.JobID) error {
	j, ok := t.running[id]
	t.preemptions[id]++
	switch {
	case !ok || t.beingPreempted != 0:
		return errors.New("preempted a job that isn't running, or during another preemption")
	case !j.Preemptible || t.preemptions[id] > t.cfg.MaxPreemptions:
		return errors.New("preempted a job that isn't preemptible, or more than MaxPreemptions times")
	case !t.anyJob(t.waiting, func(o sched.Job) bool { return o.Tier < j.Tier }):
		return errors.New("preempted without a higher tier waiting")
	}
	t.beingPreempted = id
	return nil
}

func (t *jobTracker) anyJob(jobs map[sched.JobID]sched.Job, ok func(sched.Job) bool) bool {
	for _, j := range jobs {
		if ok(j) {
			return true
		}
	}
	return false
}

// check compares the report with the tracked jobs and the queue's limits.
func (t *jobTracker) check(r load.Report) error {
	if r.TotalQueued() != len(t.waiting) || r.TotalRunning() != len(t.running) {
		return errors.Newf("reported job count is off by %d", total(r)-len(t.waiting)-len(t.running))
	}
	if len(t.waiting) > 0 && len(t.running) < t.cfg.Slots {
		return errors.New("a slot is idle while a job waits")
	}
	// Each class's oldest job and preempted jobs, of which at most as many wait
	// as there are slots, don't count towards the limits. chooser.job makes jobs
	// of at most 15 bytes.
	exempt := len(t.classes) + t.cfg.Slots
	if t.cfg.QueueEntries > 0 && len(t.waiting) > t.cfg.QueueEntries+exempt {
		return errors.New("more waiting jobs than the queue's entry limit allows")
	}
	bytes := 0
	for _, j := range t.waiting {
		bytes += j.Bytes
	}
	if t.cfg.QueueBytes > 0 && bytes > t.cfg.QueueBytes+exempt*15 {
		return errors.New("more waiting bytes than the queue's byte limit allows")
	}
	return nil
}
