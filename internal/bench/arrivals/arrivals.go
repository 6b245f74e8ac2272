// Package arrivals generates the open-loop load of the bench: a list of requests
// and the times at which they are sent, independent of earlier answers. The list
// is generated in advance from a seed, so that all compared policies get the same
// requests at the same times.
package arrivals

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Arrival is one request of the load.
type Arrival struct {
	// ID is unique within the list and part of the prompt.
	ID string
	// At is the time of sending, relative to the start of the run.
	At    time.Duration
	User  string
	Class string
	Team  string
	Tier  string
	// FirstToken and Deadline are the class's targets, relative to At.
	FirstToken time.Duration
	Deadline   time.Duration
	// Tokens is the length of the answer that the prompt requests.
	Tokens        int
	Prompt        string
	NonIdempotent bool
	// Pick modulo the number of routers selects the router.
	Pick uint32
}

// Step multiplies the rate of a role, or of all roles if Role is empty, from
// From to To.
type Step struct {
	Role     Role
	From, To time.Duration
	Factor   float64
}

// Load is the amount of work that arrives, as a multiple of the fleet's
// capacity.
type Load struct {
	// Total is divided among the tiers by the weights of their teams.
	Total float64
	// ByTier replaces Total if any element is set: one multiple for each of
	// Tiers().
	ByTier [3]float64
	// Steps change the rate temporarily.
	Steps []Step
}

// Plan holds all inputs of Generate.
type Plan struct {
	Seed     uint64
	Mix      Mix
	Duration time.Duration
	// Shape is the fleet that the load is a multiple of.
	Shape Shape
	Load  Load
}

// arrivalProcess is the Poisson process of one class and tier of one user.
type arrivalProcess struct {
	user  User
	class Class
	tier  string
	rate  float64 // requests per second, before steps
}

// Generate returns the arrivals of a plan in order of time. It is deterministic.
func Generate(p Plan) []Arrival {
	var all []Arrival
	for i, s := range p.processes() {
		rnd := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		all = append(all, s.generate(p, rnd)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	prompts := newSharedPrompts(p.Mix)
	for i := range all {
		a := &all[i]
		a.ID = fmt.Sprintf("r%06d", i)
		a.Prompt = prompts.prompt(a)
	}
	return all
}

func (p Plan) processes() []arrivalProcess {
	var processes []arrivalProcess
	for _, u := range p.Mix.Users {
		// Every user contributes an equal part of the load.
		atCapacity := p.Shape.RequestsPerSecond(u) / float64(len(p.Mix.Users))
		for _, c := range u.Classes {
			for rank, tier := range Tiers() {
				rate := atCapacity * c.Share * p.Load.tierLoad(u, rank, tier)
				processes = append(processes, arrivalProcess{user: u, class: c, tier: tier, rate: rate})
			}
		}
	}
	return processes
}

// tierLoad returns the load of one tier as a multiple of capacity.
func (l Load) tierLoad(u User, rank int, tier string) float64 {
	if l.ByTier != ([3]float64{}) {
		return l.ByTier[rank]
	}
	total, part := 0.0, 0.0
	for _, t := range u.Teams {
		total += t.Weight
		if t.Tier == tier {
			part += t.Weight
		}
	}
	return l.Total * part / total
}

// generate iterates over the intervals of constant rate. A Poisson process is
// memoryless, so each interval can be generated independently.
func (s arrivalProcess) generate(p Plan, rnd *rand.Rand) []Arrival {
	var out []Arrival
	times := p.rateChanges()
	for i := 0; i+1 < len(times); i++ {
		rate := s.rate * p.Load.rateFactor(s.class.Role, times[i])
		if rate <= 0 {
			continue
		}
		at := times[i] + interarrivalTime(rate, rnd)
		for at < times[i+1] {
			out = append(out, s.arrival(at, rnd))
			at += interarrivalTime(rate, rnd)
		}
	}
	return out
}

// rateChanges returns the times at which a rate changes, including the start and
// end of the run.
func (p Plan) rateChanges() []time.Duration {
	times := []time.Duration{0, p.Duration}
	for _, s := range p.Load.Steps {
		times = append(times, min(s.From, p.Duration), min(s.To, p.Duration))
	}
	slices.Sort(times)
	return slices.Compact(times)
}

func (l Load) rateFactor(role Role, at time.Duration) float64 {
	factor := 1.0
	for _, s := range l.Steps {
		if (s.Role == "" || s.Role == role) && at >= s.From && at < s.To {
			factor *= s.Factor
		}
	}
	return factor
}

func interarrivalTime(rate float64, rnd *rand.Rand) time.Duration {
	return time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
}

func (s arrivalProcess) arrival(at time.Duration, rnd *rand.Rand) Arrival {
	return Arrival{
		At:            at,
		User:          s.user.Name,
		Class:         s.class.Name,
		Team:          s.pickTeam(rnd),
		Tier:          s.tier,
		FirstToken:    s.class.FirstToken,
		Deadline:      s.class.Deadline,
		Tokens:        s.class.tokensAt(rnd.Float64()),
		NonIdempotent: rnd.Float64() < s.class.NonIdempotent,
		Pick:          rnd.Uint32(),
	}
}

// pickTeam picks one of the tier's teams at random, by weight.
func (s arrivalProcess) pickTeam(rnd *rand.Rand) string {
	total := 0.0
	for _, t := range s.user.Teams {
		if t.Tier == s.tier {
			total += t.Weight
		}
	}
	remaining := rnd.Float64() * total
	last := ""
	for _, t := range s.user.Teams {
		if t.Tier != s.tier {
			continue
		}
		last = t.Name
		remaining -= t.Weight
		if remaining < 0 {
			break
		}
	}
	return last
}

// tokensAt returns the quantile q of the answer length.
func (c Class) tokensAt(q float64) int {
	dist := distuv.LogNormal{Mu: math.Log(c.MedianTokens), Sigma: c.Sigma}
	n := int(dist.Quantile(q) + 0.5)
	return max(1, min(n, c.MaxTokens))
}

// hash64 returns a seed that doesn't depend on Plan.Seed.
func hash64(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
