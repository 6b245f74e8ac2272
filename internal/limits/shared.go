package limits

import (
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/credit"
)

// useShared configures the usage for limits that hold across routers. Credits
// and counts of running requests are kept when a limit changes.
func (u *usage) useShared(now time.Time, t *topology, limits bundle.TeamLimits) {
	u.requests = updateSharedRate(now, t, u.requests, limits.RequestsPerSecond)
	u.tokens = updateSharedRate(now, t, u.tokens, limits.TokensPerSecond)
	u.concurrency = updateSharedConcurrency(t, u.concurrency, limits.Concurrency)
}

func updateSharedRate(now time.Time, t *topology, old rateLimit, perSecond float64) rateLimit {
	if perSecond <= 0 {
		return nil
	}
	b, kept := old.(sharedRate)
	if !kept {
		return sharedRate{credit.NewHolder(t.self, t.routerCount, t.creditConfig(perSecond))}
	}
	b.SetRate(now, perSecond)
	b.SetRouters(now, t.routerCount)
	return b
}

func updateSharedConcurrency(t *topology, old concurrencyLimit, limit int) concurrencyLimit {
	if limit == 0 {
		return nil
	}
	p, kept := old.(sharedConcurrency)
	if !kept {
		return sharedConcurrency{credit.NewPermitHolder(t.self, t.routerCount, t.permitConfig(limit))}
	}
	p.SetLimit(limit)
	p.SetRouters(t.routerCount)
	return p
}

// markCold marks the usage urgent if a caller's request uses a cold holder.
func (u *usage) markCold(now time.Time) {
	if u.urgent || u.topology == nil || u.topology.mode != Shared {
		return
	}
	r, hasRequests := u.requests.(sharedRate)
	t, hasTokens := u.tokens.(sharedRate)
	p, hasConcurrency := u.concurrency.(sharedConcurrency)
	u.urgent = hasRequests && r.Cold(now) || hasTokens && t.Cold(now) || hasConcurrency && p.Cold(now)
}

type sharedRate struct{ *credit.Holder }

func (b sharedRate) allow(now time.Time, tier int) bool { return b.Admit(now, tier) }

func (b sharedRate) ready(now time.Time, tier int) bool { return b.MayStart(now, tier) }

func (b sharedRate) charge(now time.Time, tier int, n float64) { b.Charge(now, tier, n) }

func (b sharedRate) retryAfter(now time.Time) time.Duration { return b.RetryAfter(now) }

type sharedConcurrency struct{ *credit.PermitHolder }

func (p sharedConcurrency) start(now time.Time, tier int) bool { return p.Admit(now, tier) }

func (p sharedConcurrency) end(tier int) { p.End(tier) }

// leaseRequest returns the requests of the team's holders that are due now, and
// whether there are any.
func (u *usage) leaseRequest(now time.Time, team string) (TeamRequest, bool) {
	out := TeamRequest{Team: team}
	out.Requests = rateRequest(now, u.requests)
	out.Tokens = rateRequest(now, u.tokens)
	if p, ok := u.concurrency.(sharedConcurrency); ok {
		if a, due := p.NextRequest(now); due {
			out.Permits = newPermitRequest(a)
		}
	}
	return out, out != TeamRequest{Team: team}
}

func rateRequest(now time.Time, b rateLimit) *RateRequest {
	h, ok := b.(sharedRate)
	if !ok {
		return nil
	}
	a, due := h.NextRequest(now)
	if !due {
		return nil
	}
	return newRateRequest(a)
}

// applyGrant applies the owner's grants to the team's holders.
func (u *usage) applyGrant(now time.Time, g TeamGrant) {
	if h, ok := u.requests.(sharedRate); ok && g.Requests != nil {
		h.ApplyGrant(now, credit.Grant{Seq: g.Requests.Seq, Amount: g.Requests.Amount})
	}
	if h, ok := u.tokens.(sharedRate); ok && g.Tokens != nil {
		h.ApplyGrant(now, credit.Grant{Seq: g.Tokens.Seq, Amount: g.Tokens.Amount})
	}
	if p, ok := u.concurrency.(sharedConcurrency); ok && g.Permits != nil {
		p.ApplyGrant(now, credit.PermitGrant{Seq: g.Permits.Seq, Quota: g.Permits.Quota})
	}
}
