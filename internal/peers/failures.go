package peers

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"coveferry/internal/balance"
)

const (
	// maxFailures bounds the endpoints in one failure report.
	maxFailures = 32
	// failuresTTL is how long a router's failure report counts. Routers send one with each
	// poll of their reader.
	failuresTTL = time.Second
)

// Failures holds the failing endpoints that a router knows of. See balance.Pool.
type Failures interface {
	RecentFailures(now time.Time, limit int) []balance.FailureSummary
	ApplyPeerFailures(now time.Time, summaries []balance.FailureSummary) []balance.FailureSummary
}

// failureReports holds the failed attempts that routers report to each other. It is safe for
// concurrent use.
type failureReports struct {
	pool atomic.Pointer[Failures]
	// localCache holds the failures that this router observed itself.
	localCache cached[[]balance.FailureSummary]
	mu         sync.Mutex
	byRouter   map[string]receivedFailures // by the reporting router
}

type receivedFailures struct {
	reports []balance.FailureSummary
	at      time.Time
}

// ShareFailures has this router exchange its failed attempts with others.
func (s *Source) ShareFailures(pool Failures) { s.failures.pool.Store(&pool) }

// local returns the failures that this router observed itself.
func (f *failureReports) local(now time.Time) []balance.FailureSummary {
	pool := f.pool.Load()
	if pool == nil {
		return nil
	}
	reports, _ := f.localCache.get(now, func() []balance.FailureSummary { return (*pool).RecentFailures(now, maxFailures) })
	return reports
}

// clampRefusals returns the report of a single router with the outcomes of refusals bounded. Each
// endpoint counts once: a router that lists one twice must not count as two.
func clampRefusals(reports []balance.FailureSummary) []balance.FailureSummary {
	clamped := make([]balance.FailureSummary, 0, len(reports))
	seen := make(map[string]bool, len(reports))
	for _, s := range reports {
		if seen[s.Endpoint] {
			s = s.WithoutRefusals()
		}
		seen[s.Endpoint] = true
		clamped = append(clamped, s.ClampRefusals())
	}
	return clamped
}

// record stores the report of a router.
func (f *failureReports) record(vm string, reports []balance.FailureSummary, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byRouter == nil {
		f.byRouter = make(map[string]receivedFailures)
	}
	f.byRouter[vm] = receivedFailures{reports: clampRefusals(reports), at: at}
}

// total adds up the failures of this router and the recent reports of all others except one.
func (f *failureReports) total(now time.Time, except string) []balance.FailureSummary {
	return f.sum(f.local(now), now, except)
}

// sum adds up the given reports and the recent reports of all routers except one.
func (f *failureReports) sum(own []balance.FailureSummary, now time.Time, except string) []balance.FailureSummary {
	totals := make(map[string]balance.FailureSummary)
	add := func(reports []balance.FailureSummary) {
		for _, s := range reports {
			total := totals[s.Endpoint].Add(s)
			total.Endpoint = s.Endpoint
			totals[s.Endpoint] = total
		}
	}
	add(own)
	f.mu.Lock()
	defer f.mu.Unlock()
	for vm, received := range f.byRouter {
		switch {
		case now.Sub(received.at) > failuresTTL:
			delete(f.byRouter, vm)
		case vm != except:
			add(received.reports)
		}
	}
	var reports []balance.FailureSummary
	for _, s := range totals {
		reports = append(reports, s)
	}
	slices.SortFunc(reports, func(a, b balance.FailureSummary) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return reports
}

// applyFailures passes the failures that others observed to this router's pool. Without any it
// does nothing: the observations of a single router aren't enough to avoid an endpoint.
func (s *Source) applyFailures(now time.Time, reports []balance.FailureSummary) {
	pool := s.failures.pool.Load()
	if pool == nil || len(reports) == 0 {
		return
	}
	for _, summary := range (*pool).ApplyPeerFailures(now, reports) {
		s.cfg.Log.Info().Str("endpoint", summary.Endpoint).Int("attempts", summary.Attempts).Int("failed", summary.Failed).
			Int("witnesses", summary.Reporters).Msg("endpoint is avoided: it fails for several routers")
	}
}
