package limits

import (
	"time"

	"golang.org/x/time/rate"

	"coveferry/internal/bundle"
)

// useLocal configures the usage for limits that this router enforces by itself:
// the whole limit or its fair share.
func (u *usage) useLocal(t *topology, limits bundle.TeamLimits) {
	parts := 1
	if t != nil && t.mode == FairShare {
		parts = t.routerCount
	}
	u.requests = newLocalBucket(limits.RequestsPerSecond / float64(parts))
	u.tokens = newLocalBucket(limits.TokensPerSecond / float64(parts))
	old, kept := u.concurrency.(*localConcurrency)
	switch {
	case limits.Concurrency == 0:
		u.concurrency = nil
	case kept:
		old.limit = limits.Concurrency / parts
	default:
		u.concurrency = &localConcurrency{limit: limits.Concurrency / parts}
	}
}

// localBucket is a token bucket with a burst of one second.
type localBucket struct{ *rate.Limiter }

func newLocalBucket(perSecond float64) rateLimit {
	if perSecond <= 0 {
		return nil
	}
	return localBucket{rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

func (b localBucket) allow(now time.Time, _ int) bool { return b.AllowN(now, 1) }

func (b localBucket) ready(now time.Time, _ int) bool { return b.TokensAt(now) >= 0 }

// charge takes n tokens from the limiter, going into debt if necessary. It does
// so in steps, since a reservation can't exceed the burst.
func (b localBucket) charge(now time.Time, _ int, n float64) {
	for left := int(n); left > 0; {
		step := min(left, b.Burst())
		b.ReserveN(now, step)
		left -= step
	}
}

// retryAfter returns the time until the limiter has one token.
func (b localBucket) retryAfter(now time.Time) time.Duration {
	missing := 1 - b.TokensAt(now)
	return time.Duration(missing / float64(b.Limit()) * float64(time.Second))
}

type localConcurrency struct{ limit, running int }

func (p *localConcurrency) start(time.Time, int) bool {
	if p.running >= p.limit {
		return false
	}
	p.running++
	return true
}

func (p *localConcurrency) end(int) { p.running-- }
