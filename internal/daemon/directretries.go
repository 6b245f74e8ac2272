package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/retry"
	"coveferry/internal/server"
)

const (
	// earnedShare of the operator's ratio and slack is earned, by requests and by time.
	earnedShare = 0.7
	// unspentShare of both may remain unspent for a sudden failure. With earnedShare it is below
	// 1: a window counts requests for up to a tenth longer.
	unspentShare = 0.25
	// retrySlackPerSecond is the slack if the operator sets none, in retries a second that all
	// routers together may make beyond their ratio of the requests.
	retrySlackPerSecond = 0.1
)

// directRetries returns a policy that bounds the retries of each service over all routers;
// routers returns their number.
func directRetries(b DirectBounds, routers func() int, seed uint64) *retry.Policy {
	ratio, floor := retryShares(b)
	return &retry.Policy{ChargeAll: true, Budget: retry.NewBudget(retry.BudgetConfig{
		Ratio: ratio, Window: b.RetryWindow, Floor: floor, Burst: unspentShare / earnedShare,
		AbandonedFor: server.SendTimeout, Routers: routers, Started: time.Now(), Seed: seed,
	})}
}

// retryShares converts the operator's bounds to the ratio and floor of a retry.BudgetConfig.
func retryShares(b DirectBounds) (ratio, floor float64) {
	ratio, floor = earnedShare*b.RetryRatio, earnedShare*retrySlackPerSecond
	if b.RetryRatioStated && b.RetryRatio == 0 {
		ratio = retry.ExplicitZero
	}
	if b.RetrySlack > 0 && b.RetryWindow > 0 {
		floor = earnedShare * b.RetrySlack / b.RetryWindow.Seconds()
	}
	return ratio, floor
}

// retryUsage exports how much of its share of each service's retries this router has used.
// Summed over the routers, the allowed retries stay below the operator's bound.
type retryUsage struct {
	budget                                *retry.Budget
	retries, allowed, underWay, abandoned *prometheus.Desc
}

func newRetryUsage(budget *retry.Budget) retryUsage {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, []string{"service"}, nil)
	}
	return retryUsage{
		budget:  budget,
		retries: desc("coveferry_router_retries_in_window", "Retries that this router made in the window of its budget."),
		allowed: desc("coveferry_router_retries_allowed", "The most retries that the budget allows this router in a window."),
		underWay: desc("coveferry_router_retries_under_way",
			"Retries that this router decided on and that may still arrive, including the abandoned ones."),
		abandoned: desc("coveferry_router_retries_abandoned",
			"Retries under way for whose answer nobody waits any more."),
	}
}

// Describe implements prometheus.Collector.
func (u retryUsage) Describe(descs chan<- *prometheus.Desc) {
	descs <- u.retries
	descs <- u.allowed
	descs <- u.underWay
	descs <- u.abandoned
}

// Collect implements prometheus.Collector.
func (u retryUsage) Collect(metrics chan<- prometheus.Metric) {
	for service, usage := range u.budget.UsageByTarget(time.Now()) {
		metrics <- prometheus.MustNewConstMetric(u.retries, prometheus.GaugeValue, float64(usage.Retries), service)
		metrics <- prometheus.MustNewConstMetric(u.allowed, prometheus.GaugeValue, usage.Allowed, service)
		metrics <- prometheus.MustNewConstMetric(u.underWay, prometheus.GaugeValue, float64(usage.UnderWay), service)
		metrics <- prometheus.MustNewConstMetric(u.abandoned, prometheus.GaugeValue, float64(usage.Abandoned), service)
	}
}
