package peers

import (
	"slices"
	"sync/atomic"
	"time"

	"coveferry/internal/balance"
)

const (
	// maxLoads bounds the load reports in one message: some 40 bytes each, four times a second
	// in each direction.
	maxLoads = 64
	// maxLoadAge is the age up to which a report is forwarded: two poll intervals, so that each
	// report is forwarded at least once.
	maxLoadAge = 500 * time.Millisecond
	// loadReportDelay is the usual maximum time that a message takes between two routers of a
	// failure domain.
	loadReportDelay = 2 * time.Millisecond
)

// Loads holds the load of endpoints that a router knows of. See balance.Pool.
type Loads interface {
	RecentLoads(now time.Time, maxAge time.Duration, limit int, own bool) []balance.LoadSummary
	ApplyPeerLoads(sentAt time.Time, summaries []balance.LoadSummary)
}

// loadReports exchanges load reports between routers through their reader. Routers use a report
// that another one received as long as they have none that is newer. It is safe for concurrent
// use.
type loadReports struct {
	pool atomic.Pointer[Loads]
	// latestCache holds the reports that all replies share for a short time.
	latestCache cached[[]balance.LoadSummary]
}

// ShareLoads has this router exchange the load reports that it receives with others.
func (s *Source) ShareLoads(pool Loads) { s.loads.pool.Store(&pool) }

// local returns the reports that this router received itself within the given period.
func (l *loadReports) local(now time.Time, period time.Duration) []balance.LoadSummary {
	pool := l.pool.Load()
	if pool == nil {
		return nil
	}
	return (*pool).RecentLoads(now, period, maxLoads, true)
}

// latest returns the newest reports that this router knows of.
func (l *loadReports) latest(now time.Time) []balance.LoadSummary {
	pool := l.pool.Load()
	if pool == nil {
		return nil
	}
	reports, age := l.latestCache.get(now, func() []balance.LoadSummary { return (*pool).RecentLoads(now, maxLoadAge, maxLoads, false) })
	return aged(reports, age)
}

// aged returns the reports with their ages increased.
func aged(reports []balance.LoadSummary, by time.Duration) []balance.LoadSummary {
	if by.Milliseconds() == 0 {
		return reports
	}
	result := slices.Clone(reports)
	for i := range result {
		result[i].AgeMillis += by.Milliseconds()
	}
	return result
}

func (l *loadReports) apply(sentAt time.Time, reports []balance.LoadSummary) {
	if pool := l.pool.Load(); pool != nil {
		(*pool).ApplyPeerLoads(sentAt, reports)
	}
}
