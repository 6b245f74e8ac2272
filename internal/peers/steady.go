package peers

import (
	"slices"
	"sync"
	"time"

	"coveferry/internal/follow"
)

// steady is the latest span over which the source was read without a gap, by this router or
// others in turn. It says that the source wasn't away, whatever gap there is in what this
// router knows. It is safe for concurrent use.
type steady struct {
	// outage is the longest gap that is none: entries of the list last longer.
	outage time.Duration
	mu     sync.Mutex
	known  follow.Span
}

// steadyWord is a span as routers tell it, in milliseconds; empty if none is known.
type steadyWord struct {
	ForMillis int64 `json:"for_ms"`
	AgoMillis int64 `json:"ago_ms"`
}

// span is what is known.
func (s *steady) span() follow.Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// answered notes that the source answered this router.
func (s *steady) answered(now time.Time) { s.add(follow.Span{From: now, To: now}) }

// add joins a span to what is known, if there is no gap between them; else the later one
// counts.
func (s *steady) add(other follow.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case other.From.Sub(s.known.To) > s.outage:
		s.known = other
	case s.known.From.Sub(other.To) > s.outage:
	default:
		s.known.From = slices.MinFunc([]time.Time{s.known.From, other.From}, time.Time.Compare)
		s.known.To = slices.MaxFunc([]time.Time{s.known.To, other.To}, time.Time.Compare)
	}
}

// word is what to tell others.
func (s *steady) word(now time.Time) steadyWord {
	span := s.span()
	if span.To.IsZero() {
		return steadyWord{}
	}
	return steadyWord{ForMillis: span.To.Sub(span.From).Milliseconds(), AgoMillis: now.Sub(span.To).Milliseconds()}
}

// hear takes in a word of a moment.
func (s *steady) hear(said time.Time, w steadyWord) {
	if w == (steadyWord{}) {
		return
	}
	to := said.Add(-time.Duration(w.AgoMillis) * time.Millisecond)
	s.add(follow.Span{From: to.Add(-time.Duration(w.ForMillis) * time.Millisecond), To: to})
}
