// Package fairshare shares the capacity of a service between teams by max-min fairness while not
// all requests can be served in time. A Ledger keeps decaying sums of the work that each team
// requests, adds those that other routers report, and refuses requests of teams above the fair
// level in proportion to their excess. It does no I/O; time and randomness are passed in.
package fairshare

import (
	"math"
	"sync"
	"time"
)

// minCoverage is the part of the known routers whose reports are needed for a decision. A team that reaches
// one router counts in full, and one that reaches all counts only with the routers that report. With a
// quarter missing, the first appears a third larger.
const minCoverage = 0.8

const (
	// halfLife is that of the sums. A longer one lags behind bursts, which last seconds; a shorter
	// one is mostly chance at some ten requests a second.
	halfLife = time.Second
	// maxTeams bounds the teams of a service and rank. The least recently used is dropped.
	maxTeams = 1000
	// maxGroups bounds the pairs of service and rank: five for each of a dozen services.
	maxGroups = 64
	// refreshInterval is how long a summary of all routers' sums is used. Peers report every 250 ms.
	refreshInterval = 100 * time.Millisecond
	// reportPressure is the pressure from which sums are reported to other routers, and
	// reportPeriod how long they are reported after that. It lies below thinningStart, so that
	// the sums of all routers are known when requests begin to be refused.
	reportPressure = 0.25
	reportPeriod   = 3 * time.Second
)

// Config configures a Ledger.
type Config struct {
	// Peers returns the sums that other routers report, and how many other routers are known. nil means
	// that there are none.
	Peers func() (sums Sums, known int)
	// Rand returns random numbers from [0, 1).
	Rand func() float64
}

// Ledger holds the sums of this router by service, rank and team. It is safe for concurrent use.
type Ledger struct {
	cfg    Config
	mu     sync.Mutex
	groups map[groupKey]*group
}

type groupKey struct {
	service string
	rank    int
}

// Verdict is the decision on a request.
type Verdict struct {
	Admitted bool
	// RetryAfter is when a refused caller may come back. It is random, so that callers that were
	// refused together don't come back together.
	RetryAfter time.Duration
	// Charge is that of an admitted request; nil for a refused one.
	Charge *Charge
	// Limiting reports that teams above the level are being refused.
	Limiting bool
	// Load is the team's work and Level the fair level, in seconds of work per second over the
	// fleet, as far as it is known. Both are 0 unless Limiting.
	Load, Level float64
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	if cfg.Peers == nil {
		cfg.Peers = func() (Sums, int) { return nil, 0 }
	}
	return &Ledger{cfg: cfg, groups: make(map[groupKey]*group)}
}

// Admit decides on a request of a team with the given work in seconds. pressure is the expected
// wait as a fraction of the wait at which requests are refused. The request counts towards the
// team's sum whether or not it is admitted: the sums are those of the requested work.
func (l *Ledger) Admit(now time.Time, service string, rank int, team string, work, pressure float64) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(now, groupKey{service, rank})
	pressure = g.smoothPressure(now, pressure)
	part := AdmittedPart(pressure)
	// The request itself doesn't count in the decision. Otherwise a team that sends a request now and
	// then would be above the level with each of them.
	own := g.value(now, team)
	charge := &Charge{ledger: l, key: groupKey{service, rank}, team: team, work: g.knownWork(work), at: now}
	g.add(now, team, charge.work)
	if part >= 1 {
		return Verdict{Admitted: true, Charge: charge}
	}
	if l.refresh(now, groupKey{service, rank}, g); !g.covered {
		return Verdict{Admitted: true, Charge: charge}
	}
	load, level := own+g.peers.of(team), fairLevel(g.loads, part)
	if math.IsInf(level, 1) {
		return Verdict{Admitted: true, Charge: charge} // no work is known
	}
	v := Verdict{Limiting: true, Load: ratePerSecond(load), Level: ratePerSecond(level)}
	if load <= level || l.cfg.Rand() < level/load {
		v.Admitted, v.Charge = true, charge
		return v
	}
	v.RetryAfter = retryAfter(level/load, l.cfg.Rand())
	return v
}

// Charge counts the work of a request that isn't decided on, such as a resumed stream.
func (l *Ledger) Charge(now time.Time, service string, rank int, team string, work float64) *Charge {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := groupKey{service, rank}
	g := l.group(now, key)
	charge := &Charge{ledger: l, key: key, team: team, work: g.knownWork(work), at: now}
	g.add(now, team, charge.work)
	return charge
}

// Charge is the work that an admitted request was charged.
type Charge struct {
	ledger  *Ledger
	key     groupKey
	team    string
	work    float64
	at      time.Time
	settled bool
}

// Settle corrects the charge to the work that the request took, in seconds. Only the first call
// counts. The correction decays like the charge. It applies to the team that was charged, even if
// the key belongs to another one by now. Settle of a nil Charge does nothing.
func (c *Charge) Settle(now time.Time, actual float64) {
	if c == nil {
		return
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	if c.settled {
		return
	}
	c.settled = true
	g, known := c.ledger.groups[c.key]
	if !known || g.teams[c.team] == nil {
		return // dropped since
	}
	g.add(now, c.team, (g.settledWork(actual, c.work)-c.work)*remaining(now.Sub(c.at)))
}

const (
	// minRetryAfter is about the time in which a queue of a few requests advances.
	minRetryAfter = 100 * time.Millisecond
	// retrySpread is the range of Retry-After of a team far above the level: the time in which the
	// sums lose three quarters.
	retrySpread = 2 * halfLife
)

// retryAfter returns when a refused caller may come back. admitted is the part of its team's
// requests that is admitted, random a number from [0, 1).
func retryAfter(admitted, random float64) time.Duration {
	return minRetryAfter + time.Duration(random*(1-admitted)*float64(retrySpread))
}

// maxWork is the largest work of a request that is believed, in seconds: an hour.
const maxWork = 3600.0

// UnknownWork is the work of a request that states nothing of it. It counts as the mean of the requests of its
// service and rank.
const UnknownWork = -1.0

// meanWeight is the weight of a request's work in the mean.
const meanWeight = 0.05

// knownWork returns the work to charge for stated work, which may be UnknownWork.
func (g *group) knownWork(stated float64) float64 {
	if stated == UnknownWork {
		return g.meanWork
	}
	work := clampWork(stated)
	if g.meanWork == 0 {
		g.meanWork = work
	}
	g.meanWork += meanWeight * (work - g.meanWork)
	return work
}

// settledWork returns the work that a request took; what was charged if that is unknown.
func (g *group) settledWork(actual, charged float64) float64 {
	if actual == UnknownWork {
		return charged
	}
	return clampWork(actual)
}

func clampWork(work float64) float64 {
	if math.IsNaN(work) {
		return 0
	}
	return min(max(work, 0), maxWork)
}

// remaining returns the fraction of a sum that is left after the given time.
func remaining(age time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

// ratePerSecond converts a decaying sum to the constant rate that results in it.
func ratePerSecond(sum float64) float64 { return sum * math.Ln2 / halfLife.Seconds() }
