package daemon

import (
	"cmp"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/filters/attempts"
	"coveferry/internal/retry"
	"coveferry/internal/sched"
	"coveferry/internal/sched/fifo"
	"coveferry/internal/sched/tiered"
	"coveferry/internal/settings"
)

// balancePolicy returns the policy with the configured name. Validation of the settings
// rejects unknown names.
func balancePolicy(s settings.Balance) balance.Policy {
	policies := []balance.Policy{
		balance.LoadAware{}, balance.HotCold{}, balance.PowerOfTwo{},
		balance.LeastLoaded{}, balance.Random{}, &balance.RoundRobin{},
	}
	for _, p := range policies {
		if p.Name() == string(s.Policy) {
			return p
		}
	}
	return balance.LoadAware{}
}

func retryPolicy(s settings.Retry) attempts.Policy {
	budget := retry.BudgetConfig{Ratio: s.BudgetRatio}
	if s.BudgetRatio == 0 { // retries are disabled
		budget.Ratio, budget.Floor = retry.ExplicitZero, retry.ExplicitZero
	}
	return &retry.Policy{MaxAttempts: s.MaxAttempts, Budget: retry.NewBudget(budget)}
}

func schedulerPolicy(s settings.Scheduler, slots int, limits bundle.Limits) sched.Policy {
	if s.Policy == settings.SchedulerFIFO {
		return fifo.New(fifo.Config{
			Slots:        slots,
			QueueEntries: limits.QueueEntries,
			QueueBytes:   int(limits.QueueBytes),
		})
	}
	return tiered.New(tiered.Config{
		Slots:                slots,
		QueueEntries:         limits.QueueEntries,
		QueueBytes:           int(limits.QueueBytes),
		Preempt:              s.Preempt,
		MaxPreemptions:       s.MaxPreemptions,
		ReserveShare:         s.ReserveShare,
		ReserveAfter:         cmp.Or(s.ReserveAfter.Std(), tiered.DefaultReserveAfter),
		RefuseLateFirstToken: s.RefuseLateFirstToken,
	})
}
