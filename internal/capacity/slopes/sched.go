package slopes

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/capacity"
	"coveferry/internal/sched"
	"coveferry/internal/sched/tiered"
)

func schedProbes() []probe {
	return []probe{{
		name:  "scheduler",
		sizes: []int{100, 200, 400, 800, 1600},
		series: []capacity.Slope{
			{ID: capacity.SchedCPU, Title: "one job finishes, one starts, one is offered", Unit: capacity.UnitSeconds, Per: "waiting job"},
			{ID: capacity.SchedJobMemory, Title: "policy with waiting jobs", Unit: capacity.UnitBytes, Per: "waiting job"},
		},
		measure: func(_ context.Context, n int) ([]float64, error) { return measureSched(n) },
	}}
}

// newPolicy returns the policy of an agent without queue limits and early
// refusal. The measurement uses a fixed time, so no job is refused as late.
func newPolicy() sched.Policy {
	return tiered.New(tiered.Config{
		Slots:    slotsOfEndpoint,
		Preempt:  true,
		Disabled: tiered.Mechanisms{EarlyRefusal: true},
	})
}

func makeJob(i int) sched.Job {
	return sched.Job{
		ID:           sched.JobID(i + 1),
		Team:         "team-0001",
		Class:        className(i),
		Tier:         i % bundleTiers,
		FirstTokenBy: issued.Add(time.Hour),
		Deadline:     issued.Add(2 * time.Hour),
		Bytes:        1 << 10,
		Preemptible:  true,
	}
}

// measureSched returns the CPU time of one decision and the memory of the policy,
// with n waiting jobs.
func measureSched(n int) ([]float64, error) {
	memory, err := memoryOf(func() (any, error) { return newLoadedPolicy(n) })
	if err != nil {
		return nil, err
	}
	p, err := newLoadedPolicy(n)
	if err != nil {
		return nil, err
	}
	cpu, err := cpuPerCall(p.replaceOldest)
	return []float64{cpu, memory}, err
}

// loadedPolicy is a policy with all slots in use and a queue of constant length.
type loadedPolicy struct {
	sched.Policy
	running []sched.JobID // oldest first
	offered int
	now     time.Time
}

func newLoadedPolicy(waiting int) (*loadedPolicy, error) {
	p := &loadedPolicy{Policy: newPolicy(), now: issued}
	for range waiting + slotsOfEndpoint {
		if err := p.offer(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *loadedPolicy) offer() error {
	v := p.Offer(p.now, makeJob(p.offered))
	if !v.Admitted {
		return errors.Newf("job %d was refused: %s", p.offered, v.Reason)
	}
	p.offered++
	p.applyDecisions()
	return nil
}

// applyDecisions applies the policy's decisions until there are none. Preempted
// jobs return to the queue.
func (p *loadedPolicy) applyDecisions() {
	for d := p.Next(p.now); d.Action != sched.ActionNone; d = p.Next(p.now) {
		switch d.Action {
		case sched.ActionStart:
			p.running = append(p.running, d.Job)
		case sched.ActionPreempt:
			p.stop(d.Job)
			p.Requeue(p.now, d.Job)
		}
	}
}

func (p *loadedPolicy) stop(id sched.JobID) {
	for i, r := range p.running {
		if r == id {
			p.running = append(p.running[:i], p.running[i+1:]...)
			return
		}
	}
}

// replaceOldest finishes the oldest running job and offers a new one.
func (p *loadedPolicy) replaceOldest() error {
	if len(p.running) == 0 {
		return errors.New("no job is running")
	}
	id := p.running[0]
	p.running = p.running[1:]
	p.Finish(p.now, id)
	p.applyDecisions()
	return p.offer()
}
