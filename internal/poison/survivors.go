package poison

import (
	"maps"
	"time"
)

const (
	// survivorRetention is how long after it was shown to be alive an endpoint that broke a
	// connection counts as one that breaks connections by itself.
	survivorRetention = 30 * time.Second
	// maxSurvivors limits the endpoints that are remembered, at about 120 bytes each.
	maxSurvivors = 2048
	// maxSurvivorsTold limits the survivors in one message, at about 60 bytes each.
	maxSurvivorsTold = 32
)

// survivors remembers endpoints that broke connections and were shown to be alive within less time
// than a restart takes. Their broken connections say nothing about the requests that ran there. The
// zero value is ready to use.
type survivors struct{ byEndpoint map[string]survivor }

// survivor is what is known of an endpoint that broke a connection.
type survivor struct {
	// lostAt is when it broke one, learnedAt when this router learned of that.
	lostAt, learnedAt time.Time
	// survivedAt is when it was last shown to be alive after one, zero if it wasn't; confirmedAt is
	// when this router learned of that.
	survivedAt, confirmedAt time.Time
}

// recordLoss records a broken connection. An earlier one is kept while an answer may still show that
// the endpoint survived it.
func (s *survivors) recordLoss(l Loss) {
	known := s.byEndpoint[l.Endpoint]
	if l.At.Sub(known.lostAt) < minRestartTime/2 {
		return
	}
	known.lostAt, known.learnedAt = l.At, l.learnedAt
	s.set(l.Endpoint, known, l.learnedAt)
}

// recordResponse records an answer to a request sent at the given time, and reports whether it shows
// that the endpoint survived the latest broken connection.
func (s *survivors) recordResponse(endpoint string, sent, now time.Time) bool {
	known, ok := s.byEndpoint[endpoint]
	if !ok || !sent.After(known.learnedAt) || sent.Sub(known.lostAt) >= minRestartTime {
		return false
	}
	return s.confirm(endpoint, now, now)
}

// confirm records that an endpoint was alive after a broken connection, and reports whether that is
// news.
func (s *survivors) confirm(endpoint string, at, now time.Time) bool {
	known := s.byEndpoint[endpoint]
	if !isLater(at, known.survivedAt) {
		return false
	}
	known.survivedAt, known.confirmedAt = at, now
	s.set(endpoint, known, now)
	return true
}

// has reports whether the endpoint was shown to be alive recently.
func (s *survivors) has(endpoint string, now time.Time) bool {
	known, ok := s.byEndpoint[endpoint]
	return ok && now.Sub(known.survivedAt) < survivorRetention
}

func (s *survivors) set(endpoint string, known survivor, now time.Time) {
	if s.byEndpoint == nil {
		s.byEndpoint = make(map[string]survivor)
	}
	if _, ok := s.byEndpoint[endpoint]; !ok && len(s.byEndpoint) >= maxSurvivors {
		s.purge(now)
	}
	s.byEndpoint[endpoint] = known
}

// purge forgets what no longer counts, and everything if that leaves no room.
func (s *survivors) purge(now time.Time) {
	maps.DeleteFunc(s.byEndpoint, func(_ string, known survivor) bool {
		return now.Sub(known.survivedAt) >= survivorRetention && now.Sub(known.lostAt) >= minRestartTime
	})
	if len(s.byEndpoint) >= maxSurvivors {
		clear(s.byEndpoint)
	}
}

// SurvivorEntry is an endpoint in a Message that broke a connection and was shown to be alive.
type SurvivorEntry struct {
	Endpoint string `json:"endpoint"`
	// SurvivedAgo is how long ago, in milliseconds.
	SurvivedAgo int64 `json:"survived_ago_ms"`
}

// entries lists survivors of which this router learned no longer than maxAge ago.
func (s *survivors) entries(now time.Time, maxAge time.Duration) []SurvivorEntry {
	var list []SurvivorEntry
	for endpoint, known := range s.byEndpoint {
		if len(list) == maxSurvivorsTold {
			break
		}
		if now.Sub(known.confirmedAt) < maxAge {
			list = append(list, SurvivorEntry{Endpoint: endpoint, SurvivedAgo: now.Sub(known.survivedAt).Milliseconds()})
		}
	}
	return list
}
