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

// Profile is the set of decisions that a fleet works by, so that the same
// processes can be run with coveferry's own and with others to compare.
type Profile struct {
	Name string
	// Balance chooses endpoints at the routers.
	Balance balance.Policy
	// Scheduler makes the policy of one agent.
	Scheduler func(slots int, limits bundle.Limits) sched.Policy
	// Retry makes the policy of one router.
	Retry    func() attempts.Policy
	Throttle throttle.Config
	// LateBinding has requests wait at two endpoints.
	LateBinding bool
	// IgnoreKeys has idempotency keys not acted on.
	IgnoreKeys bool
	// TeamLimits is how teams' limits hold across routers.
	TeamLimits limits.Mode
	// IgnoreMembership has routers learn nothing of endpoints that leave but by
	// the refusals of their own attempts.
	IgnoreMembership bool
}

// Attempts of a request, the first included.
const defaultMaxAttempts = 3

// Baseline is the naive way: endpoints in turn, a queue in order of arrival,
// and another attempt after any error.
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

// Product is coveferry's own way.
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
