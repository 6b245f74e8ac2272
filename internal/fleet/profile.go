package fleet

import (
	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/filters/attempts"
	"coveferry/internal/limits"
	"coveferry/internal/retry"
	"coveferry/internal/sched"
	"coveferry/internal/sched/fifo"
	"coveferry/internal/sched/tiered"
	"coveferry/internal/throttle"
)

// Profile is the set of policies of a fleet. It allows comparing coveferry's own
// policies with others in the same processes.
type Profile struct {
	Name string
	// Balance chooses endpoints at the routers.
	Balance balance.Policy
	// Scheduler returns a new scheduling policy for one agent.
	Scheduler func(slots int, limits bundle.Limits) sched.Policy
	// Retry returns a new retry policy for one router.
	Retry    func() attempts.Policy
	Throttle throttle.Config
	// LateBinding lets a request wait at two endpoints at once.
	LateBinding bool
	// IgnoreKeys sends requests with an idempotency key to any endpoint and runs them without
	// checking their keys, for comparison.
	IgnoreKeys bool
	// TeamLimits is the way in which routers enforce the limits of teams.
	TeamLimits limits.Mode
	// IgnoreMembership disables membership: a router learns that an endpoint leaves
	// only when its own attempts are refused.
	IgnoreMembership bool
}

// defaultMaxAttempts includes the first attempt of a request.
const defaultMaxAttempts = 3

// Baseline returns naive policies for comparison: round robin, FIFO queues and a
// retry after any error.
func Baseline() Profile {
	return Profile{
		Name:      "baseline",
		Balance:   &balance.RoundRobin{},
		Scheduler: newFIFO,
		Retry:     func() attempts.Policy { return retry.Naive{Max: defaultMaxAttempts} },
		Throttle:  throttle.Config{Disabled: true},

		IgnoreKeys:       true,
		IgnoreMembership: true,
		TeamLimits:       limits.PerRouter,
	}
}

// Product returns coveferry's own policies.
func Product() Profile {
	return Profile{
		Name:        "product",
		Balance:     balance.LoadAware{},
		Scheduler:   newTiered,
		LateBinding: true,
		Retry: func() attempts.Policy {
			return &retry.Policy{MaxAttempts: defaultMaxAttempts, Budget: retry.NewBudget(retry.BudgetConfig{})}
		},
	}
}

func newTiered(slots int, limits bundle.Limits) sched.Policy {
	return tiered.New(tiered.Config{
		Slots:        slots,
		QueueEntries: limits.QueueEntries,
		QueueBytes:   int(limits.QueueBytes),
		Preempt:      true,
	})
}

func newFIFO(slots int, limits bundle.Limits) sched.Policy {
	return fifo.New(fifo.Config{
		Slots:        slots,
		QueueEntries: limits.QueueEntries,
		QueueBytes:   int(limits.QueueBytes),
	})
}
