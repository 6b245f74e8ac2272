package credit

import (
	"slices"
	"time"
)

// Owner issues the credits of one limit and leases them to holders. It isn't
// safe for concurrent use.
type Owner struct {
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
	want TierUnits
	// expected is the demand expected in the holder's next request.
	expected    TierUnits
	requestedAt time.Time
}

// demandSmoothing is the weight of earlier requests in the expected demand of a
// holder.
const demandSmoothing = 0.5

// NewOwner returns an owner that starts now. It starts without credits, because
// a previous owner may just have leased some.
func NewOwner(now time.Time, cfg Config) *Owner {
	return &Owner{cfg: cfg.withDefaults(), reachableShare: 1, advancedTo: now, requests: make(map[string]holderDemand)}
}

// SetReachable sets how many of all routers, itself included, the owner reaches.
// The others use their fair shares, which the owner doesn't lease out.
func (o *Owner) SetReachable(now time.Time, reached, all int) {
	o.advance(now)
	o.reachableShare = min(1, float64(reached)/float64(max(all, 1)))
}

// SetRate changes the limit.
func (o *Owner) SetRate(now time.Time, rate float64) {
	o.advance(now)
	o.cfg.Rate = rate
}

// Grant accepts the credits that a holder returns and grants it new ones: higher
// tiers before lower ones, and within a tier fairly between the holders that
// send requests in this period. Credits that higher tiers of other holders are
// expected to request next are withheld from lower tiers.
func (o *Owner) Grant(now time.Time, a LeaseRequest) Grant {
	o.advance(now)
	o.acceptReturn(a.Holder, a.Return)
	o.recordDemand(now, a)
	amount := o.grantable(now, a)
	if amount <= 0 {
		return Grant{Seq: a.Seq}
	}
	o.credits -= amount
	o.leases = append(o.leases, lease{amount: amount, expires: now.Add(o.cfg.TTL), holder: a.Holder})
	return Grant{Seq: a.Seq, Amount: amount}
}

// advance issues the credits for the elapsed time and drops expired leases and
// requests.
func (o *Owner) advance(now time.Time) {
	if now.After(o.advancedTo) {
		o.fill(o.reachableShare * o.cfg.unitsIn(now.Sub(o.advancedTo)))
		o.advancedTo = now
	}
	o.leases = slices.DeleteFunc(o.leases, func(l lease) bool { return !now.Before(l.expires) })
	for holder, a := range o.requests {
		if now.Sub(a.requestedAt) > o.cfg.Period*3/2 {
			delete(o.requests, holder)
		}
	}
}

// fill adds credits up to what a period yields, but at least one: a holder can't
// use a fraction of one.
func (o *Owner) fill(amount float64) {
	o.credits = min(o.credits+amount, max(1, o.cfg.unitsIn(o.cfg.Period)))
}

func (o *Owner) maxLeased() float64 { return max(1, o.cfg.unitsIn(o.cfg.TTL)) }

// acceptReturn reduces the holder's leases, the newest first, by the returned
// amount. Returned credits of another owner, for which there is no lease here,
// are discarded.
func (o *Owner) acceptReturn(holder string, amount float64) {
	for i := len(o.leases) - 1; i >= 0 && amount > 0; i-- {
		l := &o.leases[i]
		if l.holder != holder {
			continue
		}
		returned := min(l.amount, amount)
		l.amount -= returned
		amount -= returned
		o.fill(returned)
	}
}

func (o *Owner) leased() float64 {
	sum := 0.0
	for _, l := range o.leases {
		sum += l.amount
	}
	return sum
}

// recordDemand records the demand of a request and updates the expected demand
// of the holder.
func (o *Owner) recordDemand(now time.Time, a LeaseRequest) {
	last, known := o.requests[a.Holder]
	next := a.Want
	for tier := range next {
		if known {
			next[tier] += demandSmoothing * (last.expected[tier] - next[tier])
		}
	}
	o.requests[a.Holder] = holderDemand{want: a.Want, expected: next, requestedAt: now}
}

// grantable returns the amount to grant to the holder now: its fair share,
// limited by the credits that aren't withheld for higher tiers of other holders.
// It is at least one whole unit or zero, since a holder can't use a fraction of
// a unit.
func (o *Owner) grantable(now time.Time, a LeaseRequest) float64 {
	free := min(o.credits, o.maxLeased()-o.leased())
	minAmount := min(1, a.Want.total())
	amount := 0.0
	for tier, part := range o.fairShares(a.Holder) {
		if a.Want[tier] == 0 {
			continue
		}
		available := free - o.withheld(now, a.Holder, tier)
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
func (o *Owner) withheld(now time.Time, holder string, tier int) float64 {
	total := 0.0
	for other, a := range o.requests {
		if other != holder {
			total += a.expected.above(tier)
		}
	}
	if total == 0 {
		return 0
	}
	kept := 0.0
	for other, a := range o.requests {
		if other != holder {
			wait := max(0, o.cfg.Period-now.Sub(a.requestedAt))
			kept += a.expected.above(tier) * max(0, 1-o.reachableShare*o.cfg.unitsIn(wait)/total)
		}
	}
	return kept
}

// fairShares returns the holder's shares of a period's credits, by tier.
func (o *Owner) fairShares(holder string) TierUnits {
	left := o.reachableShare * o.cfg.unitsIn(o.cfg.Period)
	var shares TierUnits
	wants := make([]float64, 0, len(o.requests))
	for tier, want := range o.requests[holder].want {
		wants = wants[:0]
		for _, a := range o.requests {
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
