package balance

import (
	"time"

	"coveferry/internal/upstream"
)

// ApplySignals applies what an endpoint says of itself in the answer to a request or a health check
// that was sent at the given time. An answer that says nothing changes nothing: see ApplyLimit for
// the end of a rate limit and RecordAccepted for that of a backoff. Leaving endpoints are set by
// SetLeaving.
func (p *Pool) ApplySignals(now, sent time.Time, endpoint string, s upstream.Signals) {
	if s.Cold > 0 {
		p.SetCold(now, endpoint, s.Cold)
	}
	if s.RateLimit.Kind != upstream.LimitNone {
		p.ApplyLimit(now, sent, endpoint, s.RateLimit)
	}
	if s.Backoff > 0 {
		p.askForBackoff(now, endpoint, s.Backoff)
	}
}
