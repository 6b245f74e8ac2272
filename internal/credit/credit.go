// Package credit enforces a team's limit on requests or tokens per second across
// routers. One router is the owner of a limit: it issues credits at the limit's
// rate and leases them in batches. A credit is the right to use one unit, a
// request or a token. All routers hold leases and spend them. All state is soft:
// credits lost with a process are issued again at the rate of the limit, never
// faster.
//
// Over any time T, what all holders spend together is at most
//
//	Rate * (T + TTL + Period)
//
// where Rate * TTL and Rate * Period count as one if they are less, as long as
// all agree on the owner: the owner has at most Rate * TTL leased at a time and
// accumulates at most Rate * Period. While there are two owners, both issue
// credits: for the time D until all holders agree again, or until the owner and
// the holders that it can't reach have detected each other's absence, the bound
// grows by Rate * D for each additional owner and by the fair shares of the
// holders that fall back to them.
//
// Charge spends units whose number wasn't known in advance and may go into debt;
// the debt is paid from later credits, and the bound grows by the debt.
package credit

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/load"
)

// Defaults of a Config.
const (
	defaultPeriod = 250 * time.Millisecond
	defaultTTL    = time.Second
)

// Config holds the settings that must be the same at the owner and all holders
// of a limit. Zero fields except Rate are replaced by defaults.
type Config struct {
	// Rate is the limit in units per second.
	Rate float64
	// Period is the time between two requests of a holder, and TTL is how long
	// the credits of a grant are valid.
	Period time.Duration
	TTL    time.Duration
}

func (c Config) withDefaults() Config {
	c.Period = cmp.Or(c.Period, defaultPeriod)
	c.TTL = cmp.Or(c.TTL, defaultTTL)
	return c
}

// unitsIn returns the number of units that the limit allows in d.
func (c Config) unitsIn(d time.Duration) float64 { return c.Rate * d.Seconds() }

// Kind is what a limit counts.
type Kind string

// The kinds of limits that credits can enforce.
const (
	KindRequests Kind = "requests"
	KindTokens   Kind = "tokens"
)

// Key identifies a limit.
type Key struct {
	Team string
	Kind Kind
}

// TierUnits holds numbers of units by tier.
type TierUnits [load.MaxTiers]float64

func (w TierUnits) total() float64 {
	sum := 0.0
	for _, n := range w {
		sum += n
	}
	return sum
}

// above returns the sum over the tiers that are higher than the given one.
func (w TierUnits) above(tier int) float64 {
	sum := 0.0
	for _, n := range w[:tier] {
		sum += n
	}
	return sum
}

// LeaseRequest is sent by a holder to the owner.
type LeaseRequest struct {
	Holder string
	// Seq is the sequence number of the request; the grant repeats it.
	Seq uint64
	// Want is the number of units requested, by tier.
	Want TierUnits
	// Return is the unused amount of earlier grants that the holder returns.
	Return float64
}

// Grant is the answer to a LeaseRequest. Its credits are valid for the TTL from
// when the request was sent, by the holder's clock.
type Grant struct {
	Seq    uint64
	Amount float64
}

// OwnerOf returns the router that owns a limit: the one with the highest
// rendezvous hash. It returns false if there are no routers.
func OwnerOf(key Key, routers []string) (string, bool) {
	limit := xxhash.Sum64String(key.Team + "\x00" + string(key.Kind))
	owner, found := "", false
	var best uint64
	for _, r := range routers {
		rank := mix(limit ^ xxhash.Sum64String(r))
		if !found || rank > best {
			owner, best, found = r, rank, true
		}
	}
	return owner, found
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
