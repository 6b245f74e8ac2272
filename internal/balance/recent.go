package balance

import (
	"time"

	"coveferry/internal/prompt"
)

const (
	// cacheTTL is how long an endpoint is assumed to cache a part of a prompt after its last use.
	// Engines keep parts for longer than this at the measured loads, until memory runs out.
	cacheTTL = 20 * time.Second
	// maxRecent bounds the prompt parts tracked per endpoint.
	maxRecent = 512
)

// recentParts are the prompt parts that this router sent to an endpoint recently, by ID, with the
// time of their last use.
type recentParts map[uint64]time.Time

// cached is how many tokens at the start of a prompt the endpoint has probably cached. A part counts
// only if all parts before it do.
func (r recentParts) cached(now time.Time, p prompt.Prompt) int {
	tokens := 0
	for _, part := range p.Parts {
		used, ok := r[part.ID]
		if !ok || now.Sub(used) > cacheTTL {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// record records the parts of a prompt, except for the last one, which no other prompt shares.
func (r recentParts) record(now time.Time, p prompt.Prompt) {
	if len(r) >= maxRecent {
		r.evictOld(now)
	}
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		r[part.ID] = now
	}
}

// evictOld drops the expired parts, or all of them if the map is still full.
func (r recentParts) evictOld(now time.Time) {
	for id, used := range r {
		if now.Sub(used) > cacheTTL {
			delete(r, id)
		}
	}
	if len(r) >= maxRecent {
		clear(r)
	}
}
