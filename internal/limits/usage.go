package limits

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/bundle"
	"coveferry/internal/credit"
)

const shardCount = 16

func shardOf(team string) int { return int(xxhash.Sum64String(team) % shardCount) }

// rateLimit enforces a limit on a rate.
type rateLimit interface {
	// allow spends one unit if one is available.
	allow(now time.Time, tier int) bool
	// ready reports whether any unit is left.
	ready(now time.Time, tier int) bool
	// charge spends units that were already used.
	charge(now time.Time, tier int, n float64)
	// retryAfter returns the time to wait after a refusal.
	retryAfter(now time.Time) time.Duration
}

// concurrencyLimit enforces a limit on concurrent requests.
type concurrencyLimit interface {
	start(now time.Time, tier int) bool
	end(tier int)
}

// concurrencyRetryAfter is the time to wait after a refusal for concurrency,
// which can't be estimated from a rate.
const concurrencyRetryAfter = time.Second

// teamUsages is the usage of all teams at this router.
type teamUsages [shardCount]usageShard

type usageShard struct {
	mu    sync.Mutex
	teams map[string]*usage
}

func (h *teamUsages) init() {
	for i := range h {
		h[i].teams = make(map[string]*usage)
	}
}

func (h *teamUsages) shard(team string) *usageShard { return &h[shardOf(team)] }

// usage is the state of one team's limits at this router. A limit that isn't set
// is nil.
type usage struct {
	topology    *topology
	limits      bundle.TeamLimits
	requests    rateLimit
	tokens      rateLimit
	concurrency concurrencyLimit
	// urgent reports whether a caller's request used a cold holder, so that the
	// lease request can't wait for the next period.
	urgent bool
	// refused reports whether a caller's request was refused since the last
	// lease request.
	refused bool
}

// usage returns a team's usage and applies changes of its limits. The caller
// holds sh.mu.
func (sh *usageShard) usage(now time.Time, t *topology, team *bundle.Team) *usage {
	u, known := sh.teams[team.Name]
	if !known {
		u = &usage{}
		sh.teams[team.Name] = u
	}
	u.update(now, t, t.limitsOf(team))
	return u
}

// update applies a new bundle or changed limits.
func (u *usage) update(now time.Time, t *topology, limits bundle.TeamLimits) {
	if u.topology == t && u.limits == limits {
		return
	}
	if t != nil && t.mode == Shared {
		u.useShared(now, t, limits)
	} else {
		u.useLocal(t, limits)
	}
	u.topology, u.limits = t, limits
}

func (u *usage) admit(now time.Time, tier int) (Ticket, error) {
	u.markCold(now)
	if u.concurrency != nil && !u.concurrency.start(now, tier) {
		u.refused = true
		return Ticket{}, &Error{Kind: credit.KindConcurrency, RetryAfter: concurrencyRetryAfter}
	}
	if err := u.checkRates(now, tier); err != nil {
		u.refused = true
		if u.concurrency != nil {
			u.concurrency.end(tier)
		}
		return Ticket{}, err
	}
	return Ticket{concurrency: u.concurrency, tokens: u.tokens, tier: tier}, nil
}

func (u *usage) checkRates(now time.Time, tier int) error {
	if u.tokens != nil && !u.tokens.ready(now, tier) {
		return &Error{Kind: credit.KindTokens, RetryAfter: u.tokens.retryAfter(now)}
	}
	if u.requests != nil && !u.requests.allow(now, tier) {
		return &Error{Kind: credit.KindRequests, RetryAfter: u.requests.retryAfter(now)}
	}
	return nil
}
