package peers

import (
	"slices"
	"sync"
	"time"

	"coveferry/internal/age"
	"coveferry/internal/follow"
)

// originUptime is the latest span over which the routers, taken together, read the origin without
// a long gap. It shows that the origin had no outage, even if this router's state was outdated for
// a while. It is safe for concurrent use.
type originUptime struct {
	// maxGap is the longest gap within a span; entries of the list take longer to expire.
	maxGap time.Duration
	mu     sync.Mutex
	latest follow.Span
}

// uptimeReport is a span on the wire, in milliseconds; empty if none is known.
type uptimeReport struct {
	ForMillis int64 `json:"for_ms"`
	AgoMillis int64 `json:"ago_ms"`
}

func (s *originUptime) span() follow.Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// recordAnswer records that the origin answered this router.
func (s *originUptime) recordAnswer(now time.Time) { s.add(follow.Span{From: now, To: now}) }

// add merges a span with the known one if the gap between them is at most maxGap; otherwise the
// later one is kept.
func (s *originUptime) add(other follow.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case other.From.Sub(s.latest.To) > s.maxGap:
		s.latest = other
	case s.latest.From.Sub(other.To) > s.maxGap:
	default:
		s.latest.From = slices.MinFunc([]time.Time{s.latest.From, other.From}, time.Time.Compare)
		s.latest.To = slices.MaxFunc([]time.Time{s.latest.To, other.To}, time.Time.Compare)
	}
}

// report returns the span for other routers.
func (s *originUptime) report(now time.Time) uptimeReport {
	span := s.span()
	if span.To.IsZero() {
		return uptimeReport{}
	}
	return uptimeReport{ForMillis: age.MillisSince(span.From, span.To), AgoMillis: age.MillisSince(span.To, now)}
}

// apply adds the span of a report that was sent at the given time.
func (s *originUptime) apply(sentAt time.Time, report uptimeReport) {
	if report == (uptimeReport{}) {
		return
	}
	to, knownEnd := age.FromMillis(report.AgoMillis).Before(sentAt)
	from, knownStart := age.FromMillis(report.ForMillis).Before(to)
	if knownEnd && knownStart {
		s.add(follow.Span{From: from, To: to})
	}
}
