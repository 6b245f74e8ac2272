package fairshare

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation simulates routers before a service with a first-come-first-served queue. Routers report
// their sums to the reader of their failure domain, and readers to each other, as internal/peers
// does.
type simulation struct {
	routers  []*simRouter
	rng      *rand.Rand
	now      time.Time
	teams    []simTeam
	capacity float64 // seconds of work per second
	backlog  float64 // seconds of work
	sharing  bool
	onStep   func(p *simulation) // called before each step; may be nil
	elapsed  time.Duration
}

type simTeam struct {
	rate    float64 // requests per second
	factor  float64
	routers []int
	sent    float64 // work since the measurement began
	served  float64
}

type simRouter struct {
	ledger  *Ledger
	domain  int
	down    bool
	cut     bool // sends and receives no reports
	old     bool // of the previous version: no shares, no reports of sums
	pollAt  time.Duration
	reports map[int]simReport // by router, at readers
	domains map[int]simReport // by domain, at readers
	total   simReport         // the latest reply of a reader
}

type simReport struct {
	sums Sums
	at   time.Time
}

const (
	simStep    = 5 * time.Millisecond
	simPoll    = 500 * time.Millisecond // every second poll of internal/peers
	pollBytes  = 1024
	replyBytes = 2048
	simExpiry  = 1500 * time.Millisecond
	simWork    = 0.1 // mean work of a request in seconds
	simLimit   = 2.0 // wait in seconds at which requests are refused
	simRate    = 20.0
	// simWaitError is the largest error of a router's estimate of the wait, as a fraction of it.
	simWaitError = 0.2
	simTeams     = 24
	simOverload  = 1.2
	largeFactor  = 8
)

// newSimulation returns a simulation of 24 equal teams. A third of them reach one router, another third three and
// the others all. With the large team at largeFactor they request 1.2 times what fits.
func newSimulation(routers int, sharing bool) *simulation {
	p := &simulation{rng: rand.New(rand.NewPCG(7, uint64(routers))), now: time.Unix(1e9, 0), sharing: sharing}
	for i := range routers {
		p.routers = append(p.routers, &simRouter{domain: i % min(routers, 4), pollAt: time.Duration(p.rng.Int64N(int64(simPoll)))})
		p.start(i)
	}
	for t := range simTeams {
		reach := []int{1, 3, routers}[t%3]
		p.teams = append(p.teams, simTeam{rate: simRate, factor: 1, routers: p.rng.Perm(routers)[:min(reach, routers)]})
	}
	p.capacity = simRate * simWork * (simTeams - 1 + largeFactor) / simOverload
	return p
}

// start starts a router without any state.
func (p *simulation) start(i int) {
	r := p.routers[i]
	r.down, r.reports, r.domains, r.total = false, make(map[int]simReport), make(map[int]simReport), simReport{}
	r.ledger = New(Config{Peers: func() (Sums, int) { return p.peers(i), p.up() - 1 }, Rand: p.rng.Float64})
}

// up returns the number of routers that are up.
func (p *simulation) up() (n int) {
	for _, r := range p.routers {
		if !r.down {
			n++
		}
	}
	return n
}

// reader returns the first router of a domain that is up, which reads for the others.
func (p *simulation) reader(domain int) int {
	return slices.IndexFunc(p.routers, func(r *simRouter) bool { return r.domain == domain && !r.down && !r.cut && !r.old })
}

func (p *simulation) fresh(report simReport) Sums {
	if p.now.Sub(report.at) > simExpiry {
		return nil
	}
	return report.sums
}

// peers returns the sums that a router has of others.
func (p *simulation) peers(i int) Sums {
	r := p.routers[i]
	if p.reader(r.domain) == i {
		return p.known(i, -1)
	}
	return p.fresh(r.total)
}

// known adds up what a reader knows of others, except one router.
func (p *simulation) known(i, except int) Sums {
	var sums Sums
	for from, report := range p.routers[i].reports {
		if from != except {
			sums = sums.Add(p.fresh(report))
		}
	}
	for _, report := range p.routers[i].domains {
		sums = sums.Add(p.fresh(report))
	}
	return sums
}

// transmit encodes and checks sums as a message.
func transmit(sums Sums) Sums {
	text, err := json.Marshal(sums)
	if err != nil {
		panic(err)
	}
	var out Sums
	if err := json.Unmarshal(text, &out); err != nil {
		panic(err)
	}
	return out.Checked(1000, anyService)
}

// exchange has a router poll the reader of its domain, or a reader report to the other readers.
func (p *simulation) exchange(i int) {
	r := p.routers[i]
	if r.down || r.cut || r.old {
		return
	}
	reader := p.reader(r.domain)
	if reader != i {
		p.routers[reader].reports[i] = simReport{transmit(r.ledger.Report(p.now).Trim(pollBytes)), p.now}
		r.total = simReport{transmit(p.known(reader, i).Add(p.routers[reader].ledger.Report(p.now)).TrimTotal(replyBytes)), p.now}
		return
	}
	own := r.ledger.Report(p.now)
	for _, report := range r.reports {
		own = own.Add(p.fresh(report))
	}
	for domain := range 4 {
		if other := p.reader(domain); domain != r.domain && other >= 0 {
			p.routers[other].domains[r.domain] = simReport{transmit(own.Trim(pollBytes)), p.now}
		}
	}
}

// run simulates the given time.
func (p *simulation) run(duration time.Duration) {
	for end := p.elapsed + duration; p.elapsed < end; p.elapsed += simStep {
		p.now = p.now.Add(simStep)
		p.backlog = max(0, p.backlog-p.capacity*simStep.Seconds())
		if p.onStep != nil {
			p.onStep(p)
		}
		for i, r := range p.routers {
			if (p.elapsed+r.pollAt)%simPoll < simStep {
				p.exchange(i)
			}
		}
		for _, t := range p.rng.Perm(len(p.teams)) {
			team := &p.teams[t]
			for n := team.rate * team.factor * simStep.Seconds(); p.rng.Float64() < n; n-- {
				p.request(t)
			}
		}
	}
}

func (p *simulation) request(t int) {
	team := &p.teams[t]
	work := simWork * (0.5 + p.rng.Float64())
	team.sent += work
	r := p.routers[team.routers[p.rng.IntN(len(team.routers))]]
	for r.down {
		r = p.routers[p.rng.IntN(len(p.routers))]
	}
	wait := p.backlog / p.capacity
	// A router's estimate of the wait has an error of its own for each endpoint.
	pressure := wait / simLimit * (1 + simWaitError*(2*p.rng.Float64()-1))
	if p.sharing && !r.old {
		v := r.ledger.Admit(p.now, "s", 1, fmt.Sprint("team-", t), work, pressure)
		if !v.Admitted {
			return
		}
	}
	if pressure > 1 {
		return
	}
	p.backlog += work
	if wait <= simLimit {
		team.served += work
	}
}

// measure resets the counts, continues, and returns the part of each team's work that was answered
// in time, within simLimit.
func (p *simulation) measure(duration time.Duration) []float64 {
	for t := range p.teams {
		p.teams[t].sent, p.teams[t].served = 0, 0
	}
	p.run(duration)
	var parts []float64
	for _, team := range p.teams {
		parts = append(parts, team.served/max(team.sent, 1e-9))
	}
	return parts
}

// worstTenth returns the mean of the lowest tenth, and mean that of all.
func worstTenth(parts []float64) float64 {
	sorted := slices.Sorted(slices.Values(parts))
	return mean(sorted[:(len(sorted)+9)/10])
}

func mean(parts []float64) float64 {
	sum := 0.0
	for _, part := range parts {
		sum += part
	}
	return sum / float64(len(parts))
}
