// Package scenario declares the scenarios of the bench: the load as a multiple
// of the fleet's capacity, and the faults injected during the run.
package scenario

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bench/arrivals"
	"coveferry/internal/bench/measure"
)

// BaseDuration is the default duration of the load, and the one that the times
// of steps, phases and faults are declared for. For other durations these times
// are scaled proportionally; the intervals of faults aren't.
const BaseDuration = 60 * time.Second

// Scenario is one experiment.
type Scenario struct {
	Name string
	// Doc is a one-line description.
	Doc  string
	Seed uint64
	// Load is declared for BaseDuration.
	Load arrivals.Load
	// Phases are measured separately; they are declared for BaseDuration.
	Phases []measure.Phase
	Faults []Fault
	// ReportLag is the age of the load that engines report.
	ReportLag time.Duration
	// Mix is the default mix; empty means that of all users.
	Mix string
	// TokenTime and BatchSlope replace the engines' usual decode step, if set.
	TokenTime  time.Duration
	BatchSlope time.Duration
}

// Action is an action on the fleet.
type Action string

// The actions on a fleet.
const (
	ActionSlow    Action = "slow"    // an engine works at SlowSpeed
	ActionCrash   Action = "crash"   // an engine loses its requests and memory
	ActionRestart Action = "restart" // a crashed engine serves again
	ActionPause   Action = "pause"   // an engine's process stops
	ActionResume  Action = "resume"  // a stopped engine's process continues
	ActionRoll    Action = "roll"    // the next process is replaced
	ActionCut     Action = "cut"     // some routers are partitioned from an agent
	ActionHeal    Action = "heal"    // all partitions end
)

// SlowSpeed is the speed of an engine after ActionSlow.
const SlowSpeed = 0.2

// Fault is an action on the fleet, performed once or repeatedly.
type Fault struct {
	Action Action
	// At is the time of the first occurrence, declared for BaseDuration.
	At time.Duration
	// Every is the interval of repetition; 0 means none. Repetitions hit the
	// engines in turn.
	Every time.Duration
	// Share, if set, replaces Every: the fault occurs Share times the number of
	// engines per minute, at even intervals.
	Share float64
	// OneIn hits every engine whose index is a multiple of it, all at once; 0
	// hits a single engine.
	OneIn int
	// Undo is performed after For, if For is set.
	Undo Action
	For  time.Duration
}

// Event is one action at one time of a run.
type Event struct {
	At     time.Duration
	Action Action
	Engine int
}

// Undoes reports whether the event ends an earlier fault of the same engine.
func (e Event) Undoes() bool { return e.Action == ActionRestart || e.Action == ActionResume }

// ErrUnknown marks the error for an unknown scenario name.
var ErrUnknown = errors.New("unknown scenario")

// ByName returns the scenario with the name; its error is marked ErrUnknown.
func ByName(name string) (Scenario, error) {
	for _, s := range All() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, errors.Mark(errors.Newf("no scenario %q; bench list names all", name), ErrUnknown)
}

// WithDuration returns the scenario with its times scaled to a duration.
func (s Scenario) WithDuration(d time.Duration) Scenario {
	s.Load.Steps = slices.Clone(s.Load.Steps)
	for i := range s.Load.Steps {
		step := &s.Load.Steps[i]
		step.From, step.To = scaleTime(step.From, d), scaleTime(step.To, d)
	}
	s.Phases = slices.Clone(s.Phases)
	for i := range s.Phases {
		p := &s.Phases[i]
		p.From, p.To = scaleTime(p.From, d), scaleTime(p.To, d)
	}
	s.Faults = slices.Clone(s.Faults)
	for i := range s.Faults {
		s.Faults[i].At = scaleTime(s.Faults[i].At, d)
	}
	return s
}

func scaleTime(at, d time.Duration) time.Duration {
	return time.Duration(float64(at) * float64(d) / float64(BaseDuration))
}

// Events returns the events of a run of the given duration, in order of time.
// Faults that begin after its end are omitted.
func (s Scenario) Events(d time.Duration, engines int) []Event {
	var events []Event
	for _, f := range s.Faults {
		events = append(events, f.events(d, engines)...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

func (f Fault) events(d time.Duration, engines int) []Event {
	var events []Event
	round := 0
	interval := f.interval(engines)
	for at := f.At; at < d; at += interval {
		for _, e := range f.targets(round, engines) {
			events = append(events, Event{At: at, Action: f.Action, Engine: e})
			if f.For > 0 {
				events = append(events, Event{At: at + f.For, Action: f.Undo, Engine: e})
			}
		}
		round++
		if interval <= 0 {
			break
		}
	}
	return events
}

func (f Fault) interval(engines int) time.Duration {
	if f.Share <= 0 {
		return f.Every
	}
	return time.Duration(float64(time.Minute) / (f.Share * float64(engines)))
}

func (f Fault) targets(round, engines int) []int {
	if f.OneIn == 0 {
		return []int{round % engines}
	}
	var targets []int
	for e := 0; e < engines; e += f.OneIn {
		targets = append(targets, e)
	}
	return targets
}
