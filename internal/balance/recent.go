package balance

import (
	"time"

	"coveferry/internal/prompt"
)

const (
	// cachedFor is how long an endpoint is taken to keep a part of a prompt
	// after its last use. Engines keep parts for as long as memory lasts, which
	// is longer at the loads that were measured.
	cachedFor = 20 * time.Second
	// maxRecent bounds the parts that are remembered of one endpoint.
	maxRecent = 512
)

// recentParts are the parts of prompts that this router sent to an endpoint
// lately, with the time of each one's last use.
type recentParts map[uint64]time.Time

// cached is how many tokens at the start of a prompt the endpoint has probably
// cached: a part counts only if all before it do.
func (r recentParts) cached(now time.Time, p prompt.Prompt) int {
	tokens := 0
	for _, part := range p.Parts {
		used, ok := r[part.ID]
		if !ok || now.Sub(used) > cachedFor {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// use notes the parts of a prompt that others share.
func (r recentParts) use(now time.Time, p prompt.Prompt) {
	if len(r) >= maxRecent {
		r.forgetOld(now)
	}
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		r[part.ID] = now
	}
}

// forgetOld drops the parts that are old, or all if none is.
func (r recentParts) forgetOld(now time.Time) {
	for id, used := range r {
		if now.Sub(used) > cachedFor {
			delete(r, id)
		}
	}
	if len(r) >= maxRecent {
		clear(r)
	}
}
