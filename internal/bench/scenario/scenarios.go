package scenario

import (
	"time"

	"coveferry/internal/bench/arrivals"
	"coveferry/internal/bench/measure"
)

const second = time.Second

// All returns all scenarios. Loads are multiples of the fleet's capacity.
func All() []Scenario {
	return []Scenario{
		{
			Name: "steady",
			Doc:  "0.6x capacity: every target should be met",
			Seed: 1,
			Load: arrivals.Load{Total: 0.6},
		},
		{
			Name: "full",
			Doc:  "1x capacity: the goodput that overload is compared with",
			Seed: 16,
			Load: arrivals.Load{Total: 1},
		},
		{
			Name: "overload",
			Doc:  "2x capacity: half has to be refused, the highest tier fits",
			Seed: 3,
			Load: arrivals.Load{Total: 2},
		},
		{
			Name: "burst",
			Doc:  "0.6x capacity, with one class (of each user) at 10x for 5 s",
			Seed: 4,
			Load: arrivals.Load{
				Total: 0.6,
				Steps: []arrivals.Step{
					{Role: arrivals.RoleMedium, From: 20 * second, To: 25 * second, Factor: 10},
				},
			},
			Phases: []measure.Phase{
				{Name: "before", From: 5 * second, To: 20 * second},
				{Name: "burst", From: 20 * second, To: 25 * second},
				{Name: "settling", From: 25 * second, To: 40 * second},
				{Name: "after", From: 40 * second, To: 60 * second},
			},
		},
		{
			Name:      "slow-engine",
			Doc:       "0.7x capacity, one engine in six at a fifth of its speed, load reported 2 s late",
			Seed:      13,
			Load:      arrivals.Load{Total: 0.7},
			ReportLag: 2 * second,
			Faults:    []Fault{{Action: ActionSlow, At: 10 * second, OneIn: 6}},
			Phases: []measure.Phase{
				{Name: "before", From: 2 * second, To: 10 * second},
				{Name: "slow", From: 10 * second, To: 60 * second},
			},
		},
		{
			Name: "starve",
			Doc:  "the highest tier alone at 1.2x capacity, the others at 0.2x each: no class may starve",
			Seed: 6,
			Load: arrivals.Load{ByTier: [3]float64{1.2, 0.2, 0.2}},
		},
		{
			Name: "recover",
			Doc:  "0.7x capacity, everything at 4x for 10 s, then 0.7x again: goodput has to come back",
			Seed: 7,
			Load: arrivals.Load{
				Total: 0.7,
				Steps: []arrivals.Step{{From: 20 * second, To: 30 * second, Factor: 4}},
			},
			Phases: []measure.Phase{
				{Name: "before", From: 5 * second, To: 20 * second},
				{Name: "burst", From: 20 * second, To: 30 * second},
				{Name: "settling", From: 30 * second, To: 40 * second},
				{Name: "after", From: 40 * second, To: 60 * second},
			},
		},
		{
			Name:   "crash",
			Doc:    "0.6x capacity, an engine dies each 2 s and is back a second later",
			Seed:   8,
			Load:   arrivals.Load{Total: 0.6},
			Faults: []Fault{{Action: ActionCrash, At: 2 * second, Every: 2 * second, Undo: ActionRestart, For: second}},
		},
		{
			Name:   "pause",
			Doc:    "0.6x capacity, an engine's process stops each 25 s for 20 s and wakes",
			Seed:   9,
			Load:   arrivals.Load{Total: 0.6},
			Faults: []Fault{{Action: ActionPause, At: 5 * second, Every: 25 * second, Undo: ActionResume, For: 20 * second}},
		},
		{
			Name:   "rolling",
			Doc:    "0.6x capacity, every router and agent replaced in turn, one each 3 s",
			Seed:   15,
			Load:   arrivals.Load{Total: 0.6},
			Faults: []Fault{{Action: ActionRoll, At: 3 * second, Every: 3 * second}},
		},
		{
			Name:   "churn",
			Doc:    "0.6x capacity, a tenth of the processes replaced each minute; let it run for minutes",
			Seed:   21,
			Load:   arrivals.Load{Total: 0.6},
			Faults: []Fault{{Action: ActionRoll, At: 3 * second, Share: 0.1}},
		},
		{
			Name: "partition",
			Doc:  "0.6x capacity, half the routers cut off from every third agent for 15 s",
			Seed: 11,
			Load: arrivals.Load{Total: 0.6},
			Faults: []Fault{
				{Action: ActionCut, At: 15 * second, OneIn: 3, Undo: ActionHeal, For: 15 * second},
			},
			Phases: []measure.Phase{
				{Name: "before", From: 5 * second, To: 15 * second},
				{Name: "cut", From: 15 * second, To: 30 * second},
				{Name: "after", From: 35 * second, To: 60 * second},
			},
		},
		{
			Name: "soak",
			Doc:  "many small requests at 0.5x capacity; crashes, pauses and replacements together",
			Seed: 12,
			Load: arrivals.Load{Total: 0.5},
			Mix:  arrivals.MixSmall,
			// A decode step with all slots in use takes 7.5 ms.
			TokenTime: 4 * time.Millisecond, BatchSlope: 500 * time.Microsecond,
			Faults: []Fault{
				{Action: ActionCrash, At: 2 * second, Every: 2 * second, Undo: ActionRestart, For: second},
				{Action: ActionPause, At: 5 * second, Every: 25 * second, Undo: ActionResume, For: 20 * second},
				{Action: ActionRoll, At: 3 * second, Every: 3 * second},
			},
		},
	}
}
