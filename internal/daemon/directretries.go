package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/retry"
)

const (
	// budgetShare of the operator's ratio is used for retries: callers' own
	// count as requests, but those at the window's edges may count twice.
	budgetShare = 0.75
	// slackShare of the operator's slack is used for retries. It is shared among the
	// routers that are known: one that starts while a fleet is cut knows of its part only.
	slackShare = 0.5
	// retryFloor is how many retries a second all routers may make besides their share of
	// the requests where the operator states no slack.
	retryFloor = 0.1
)

// directRetries bounds retries for each service over all routers, of which routers tells
// how many there are.
func directRetries(b DirectBounds, routers func() int, seed uint64) *retry.Policy {
	ratio, floor := retryShares(b)
	return &retry.Policy{ChargeAll: true, Budget: retry.NewBudget(retry.BudgetConfig{
		Ratio: ratio, Window: b.RetryWindow, Floor: floor, Routers: routers, Started: time.Now(), Seed: seed,
	})}
}

// retryShares are what routers use of the operator's bounds, as a retry.BudgetConfig takes them.
func retryShares(b DirectBounds) (ratio, floor float64) {
	ratio, floor = budgetShare*b.RetryRatio, retryFloor
	if b.RetryBounded && b.RetryRatio == 0 {
		ratio = retry.ExplicitZero
	}
	if b.RetrySlack > 0 && b.RetryWindow > 0 {
		floor = slackShare * b.RetrySlack / b.RetryWindow.Seconds()
	}
	return ratio, floor
}

// retryUsage has metrics tell how much of its part of each service's retries this router has
// used. Summed over the routers, what is allowed stays below what the operator allows.
type retryUsage struct {
	budget           *retry.Budget
	retries, allowed *prometheus.Desc
}

func newRetryUsage(budget *retry.Budget) retryUsage {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, []string{"service"}, nil)
	}
	return retryUsage{
		budget:  budget,
		retries: desc("coveferry_router_retries_in_window", "Retries that this router made in the window of its budget."),
		allowed: desc("coveferry_router_retries_allowed", "Retries that the budget allows this router in a window."),
	}
}

// Describe implements prometheus.Collector.
func (u retryUsage) Describe(descs chan<- *prometheus.Desc) {
	descs <- u.retries
	descs <- u.allowed
}

// Collect implements prometheus.Collector.
func (u retryUsage) Collect(metrics chan<- prometheus.Metric) {
	for service, usage := range u.budget.UsageByTarget(time.Now()) {
		metrics <- prometheus.MustNewConstMetric(u.retries, prometheus.GaugeValue, float64(usage.Retries), service)
		metrics <- prometheus.MustNewConstMetric(u.allowed, prometheus.GaugeValue, usage.Allowed, service)
	}
}
