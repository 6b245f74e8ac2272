// Package limits enforces the limits that a bundle sets for teams. With several
// routers in the bundle a limit holds across all of them: each router is the
// owner of some teams' limits, chosen by rendezvous hash, and leases credits and
// permits (package credit) from the owners of the limits of the teams that it
// serves. All lease requests to one owner share one message per period. A
// caller's request is admitted or refused with the credits that the router holds
// at that time; it never waits for a message.
//
// With one router, without routers in the bundle, or without a Sender this
// router enforces the whole of each limit without messages.
package limits

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
)

// Defaults of a Config.
const (
	defaultPeriod = 250 * time.Millisecond
	defaultTTL    = time.Second
)

// Mode selects how limits are enforced with several routers.
type Mode string

// The modes. All except Shared exist for comparison.
const (
	// Shared leases credits from owners; it is the default.
	Shared Mode = ""
	// PerRouter enforces the whole of each limit at each router.
	PerRouter Mode = "alone"
	// FairShare enforces the limit divided by the number of routers at each.
	FairShare Mode = "fair-share"
)

// Config configures a Limiter. The zero value enforces limits at this router
// only.
type Config struct {
	// Name is this router's name in the bundle.
	Name string
	Mode Mode
	// Sender sends requests to owners. If it is nil, limits are enforced at this
	// router only.
	Sender Sender
	// Period is the time between two requests and TTL is how long a grant is
	// valid; all routers must use the same values. The defaults are 250 ms and
	// 1 s.
	Period, TTL time.Duration
	Log         zerolog.Logger
	// Metrics may be nil.
	Metrics prometheus.Registerer
}

// Limiter enforces the limits of teams. It is safe for concurrent use.
type Limiter struct {
	cfg Config
	// topologyMu serializes changes of the topology.
	topologyMu sync.Mutex

	topology    atomic.Pointer[topology]
	usages      teamUsages
	owned       ownedLimits
	peerTracker peerTracker
	calls       calls
	metrics     *metrics
}

// New returns a limiter without a bundle.
func New(cfg Config) *Limiter {
	cfg.Period = cmp.Or(cfg.Period, defaultPeriod)
	cfg.TTL = cmp.Or(cfg.TTL, defaultTTL)
	l := &Limiter{cfg: cfg, metrics: newMetrics(cfg.Metrics)}
	l.usages.init()
	l.owned.init()
	l.peerTracker.init()
	l.calls.init()
	return l
}

// Follow applies the limits and the list of routers of a bundle.
func (l *Limiter) Follow(b *bundle.Bundle) {
	l.topologyMu.Lock()
	defer l.topologyMu.Unlock()
	t := newTopology(l.cfg, b)
	l.topology.Store(t)
	l.owned.update(time.Now(), t)
	l.peerTracker.update(t)
}

// Ticket is an admitted request. The caller must call End.
type Ticket struct {
	shard       *usageShard
	concurrency concurrencyLimit
	tokens      rateLimit
	tier        int
}

// Admit admits a request of the team at a tier. The error is an *Error.
func (l *Limiter) Admit(now time.Time, team *bundle.Team, tier int) (Ticket, error) {
	sh := l.usages.shard(team.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	u := sh.usage(now, l.topology.Load(), team)
	ticket, err := u.admit(now, tier)
	if err != nil {
		var exceeded *Error
		if errors.As(err, &exceeded) {
			l.metrics.refused.WithLabelValues(string(exceeded.Kind)).Inc()
		}
		return Ticket{}, err
	}
	ticket.shard = sh
	return ticket, nil
}

// End ends an admitted request and charges the tokens that it produced.
func (t Ticket) End(now time.Time, tokens int) {
	t.shard.mu.Lock()
	defer t.shard.mu.Unlock()
	if t.concurrency != nil {
		t.concurrency.end(t.tier)
	}
	if t.tokens != nil && tokens > 0 {
		t.tokens.charge(now, t.tier, float64(tokens))
	}
}
