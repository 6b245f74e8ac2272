package credit

import (
	"slices"
	"time"
)

// Owner issues the credits of one limit and leases them to holders. It isn't
// safe for concurrent use.
type Home struct {
	cfg            Config
	reachableShare float64 // share of the routers that the owner reaches
	credits        float64
	advancedTo     time.Time // up to when credits have been issued
	leases         []lease
	requests       map[string]holderDemand
}

// lease is an amount that its holder may spend until it expires.
type lease struct {
	amount  float64
	expires time.Time
	holder  string
}

type holderDemand struct {
	want Wants
	// expected is the demand expected in the holder's next request.
	expected    Wants
	requestedAt time.Time
}

// demandSmoothing is the weight of earlier requests in the expected demand of a
// holder.
const demandSmoothing = 0.5

// NewOwner returns an owner that starts now. It starts without credits, because
// a previous owner may just have leased some.
func NewHome(now time.Time, cfg Config) *Home {
	return &Home{cfg: cfg.withDefaults(), reachableShare: 1, advancedTo: now, requests: make(map[string]holderDemand)}
}

// SetReach sets how many of all routers, itself included, the owner reaches. The
// others use their fair shares, which the owner doesn't lease out.
func (h *Home) SetReach(now time.Time, reached, all int) {
	h.advance(now)
	h.reachableShare = min(1, float64(reached)/float64(max(all, 1)))
}

// SetRate changes the limit.
func (h *Home) SetRate(now time.Time, rate float64) {
	h.advance(now)
	h.cfg.Rate = rate
}

// Grant accepts the credits that a holder returns and grants it new ones: higher
// tiers before lower ones, and within a tier fairly between the holders that
// send requests in this period. Credits that higher tiers of other holders are
// expected to request next are withheld from lower tiers.
func (h *Home) Ask(now time.Time, a Ask) Grant {
	h.advance(now)
	h.acceptReturn(a.Holder, a.Return)
	h.recordDemand(now, a)
	amount := h.grantable(now, a)
	if amount <= 0 {
		return Grant{Seq: a.Seq}
	}
	h.credits -= amount
	h.leases = append(h.leases, lease{amount: amount, expires: now.Add(h.cfg.TTL), holder: a.Holder})
	return Grant{Seq: a.Seq, Amount: amount}
}

// advance issues the credits for the elapsed time and drops expired leases and
// requests.
func (h *Home) advance(now time.Time) {
	if now.After(h.advancedTo) {
		h.fill(h.reachableShare * h.cfg.unitsIn(now.Sub(h.advancedTo)))
		h.advancedTo = now
	}
	h.leases = slices.DeleteFunc(h.leases, func(l lease) bool { return !now.Before(l.expires) })
	for holder, a := range h.requests {
		if now.Sub(a.requestedAt) > h.cfg.Period*3/2 {
			delete(h.requests, holder)
		}
	}
}

// fill adds credits up to what a period yields, but at least one: a holder can't
// use a fraction of one.
func (h *Home) fill(amount float64) {
	h.credits = min(h.credits+amount, max(1, h.cfg.unitsIn(h.cfg.Period)))
}

func (h *Home) maxLeased() float64 { return max(1, h.cfg.unitsIn(h.cfg.TTL)) }

// acceptReturn reduces the holder's leases, the newest first, by the returned
// amount. Returned credits of another owner, for which there is no lease here,
// are discarded.
func (h *Home) acceptReturn(holder string, amount float64) {
	for i := len(h.leases) - 1; i >= 0 && amount > 0; i-- {
		l := &h.leases[i]
		if l.holder != holder {
			continue
		}
		returned := min(l.amount, amount)
		l.amount -= returned
		amount -= returned
		h.fill(returned)
	}
}

func (h *Home) leased() float64 {
	sum := 0.0
	for _, l := range h.leases {
		sum += l.amount
	}
	return sum
}

// recordDemand records the demand of a request and updates the expected demand
// of the holder.
func (h *Home) recordDemand(now time.Time, a Ask) {
	last, known := h.requests[a.Holder]
	next := a.Want
	for tier := range next {
		if known {
			next[tier] += demandSmoothing * (last.expected[tier] - next[tier])
		}
	}
	h.requests[a.Holder] = holderDemand{want: a.Want, expected: next, requestedAt: now}
}

// grantable returns the amount to grant to the holder now: its fair share,
// limited by the credits that aren't withheld for higher tiers of other holders.
// It is at least one whole unit or zero, since a holder can't use a fraction of
// a unit.
func (h *Home) grantable(now time.Time, a Ask) float64 {
	free := min(h.credits, h.maxLeased()-h.leased())
	minAmount := min(1, a.Want.total())
	amount := 0.0
	for tier, part := range h.fairShares(a.Holder) {
		if a.Want[tier] == 0 {
			continue
		}
		available := free - h.withheld(now, a.Holder, tier)
		amount = max(amount, min(max(amount+part, minAmount), available))
	}
	if amount < minAmount {
		return 0
	}
	return amount
}

// withheld returns the credits withheld from a tier of the holder for higher
// tiers of other holders: their expected next demand less what is issued until
// then.
func (h *Home) withheld(now time.Time, holder string, tier int) float64 {
	total := 0.0
	for other, a := range h.requests {
		if other != holder {
			total += a.expected.above(tier)
		}
	}
	if total == 0 {
		return 0
	}
	kept := 0.0
	for other, a := range h.requests {
		if other != holder {
			wait := max(0, h.cfg.Period-now.Sub(a.requestedAt))
			kept += a.expected.above(tier) * max(0, 1-h.reachableShare*h.cfg.unitsIn(wait)/total)
		}
	}
	return kept
}

// fairShares returns the holder's shares of a period's credits, by tier.
func (h *Home) fairShares(holder string) Wants {
	left := h.reachableShare * h.cfg.unitsIn(h.cfg.Period)
	var shares Wants
	wants := make([]float64, 0, len(h.requests))
	for tier, want := range h.requests[holder].want {
		wants = wants[:0]
		for _, a := range h.requests {
			wants = append(wants, a.want[tier])
		}
		level := maxMinLevel(wants, left)
		shares[tier] = min(want, level)
		for _, w := range wants {
			left -= min(w, level)
		}
	}
	return shares
}

// maxMinLevel returns the largest amount per holder for which the total is at
// most left (max-min fairness). It sorts wants.
func maxMinLevel(wants []float64, left float64) float64 {
	slices.Sort(wants)
	for i, w := range wants {
		even := max(left, 0) / float64(len(wants)-i)
		if w > even {
			return even
		}
		left -= w
	}
	if len(wants) == 0 {
		return 0
	}
	return wants[len(wants)-1]
}
