package poison

import (
	"maps"
	"time"

	"coveferry/internal/age"
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
			list = append(list, SurvivorEntry{Endpoint: endpoint, SurvivedAgo: age.MillisSince(known.survivedAt, now)})
		}
	}
	return list
}

// RecordResponse records that an endpoint responded to a request sent at the given time,
// which may prove that it survived a recorded loss. Without this, endpoints that reset
// connections but stay alive would get every frequent request quarantined.
func (t *Table) RecordResponse(endpoint string, sent time.Time) {
	if t.Empty() {
		return
	}
	if t.confirmSurvivor(endpoint, sent) {
		t.dropLossesAt(endpoint, true)
	}
}

// lossCounts records a loss, and reports whether it may say something about the request: not if the
// endpoint breaks connections by itself.
func (t *Table) lossCounts(l Loss) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.survivors.recordLoss(l)
	return !t.survivors.has(l.Endpoint, l.learnedAt)
}

func (t *Table) confirmSurvivor(endpoint string, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.survivors.recordResponse(endpoint, sent, t.cfg.Clock())
}

// dropLossesAt drops the losses of an endpoint that survived from all records. local is set for this
// router's own observations.
func (t *Table) dropLossesAt(endpoint string, local bool) {
	for _, id := range t.requestsLostAt(endpoint) {
		t.update(suspect{identity: id}, false, local, func(r *record) bool { return r.dropLossesAt(endpoint, t.cfg.Clock()) })
	}
}

// requestsLostAt returns the requests with a recorded loss of the endpoint.
func (t *Table) requestsLostAt(endpoint string) []Identity {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []Identity
	for id, r := range t.records {
		if r.hasLossAt(endpoint) {
			ids = append(ids, id)
		}
	}
	return ids
}
