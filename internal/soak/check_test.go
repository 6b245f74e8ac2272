package soak

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// validRun returns a run without violations: two requests, served by two endpoints.
func validRun() Observations {
	return Observations{
		Calls: []Call{
			{ID: "a", Key: "k", Team: "t", Service: "s", Sent: at(10), End: at(11), Status: 200, Complete: true},
			{ID: "b", Key: "k", Team: "t", Service: "s", Sent: at(10), End: at(11), Status: 200, Complete: true, Repeatable: true},
		},
		Executions: []Execution{
			{ID: "a", Endpoint: "e1", Service: "s", Team: "t", Begin: at(10.1), End: at(10.9)},
			{ID: "b", Endpoint: "e2", Service: "s", Team: "t", Begin: at(10.1), End: at(10.9)},
		},
		Revoked: map[string]time.Time{}, Moved: map[string]Move{}, Drained: map[string]time.Time{}, RouterFaults: map[int][]Span{},
		Stops: map[int][]Span{}, Down: map[int][]Span{}, EndpointFaults: map[string][]Span{},
		Domains: map[string]string{}, Evacuated: map[string][]Span{}, Cold: map[string][]Span{}, RateLimited: map[string][]LimitSpan{},
		LastFault: at(0),
	}
}

// brokenPromises returns the promises that a run breaks.
func brokenPromises(s Observations) []Promise {
	var broken []Promise
	bounds := DefaultBounds()
	bounds.Config = configWithin
	for _, v := range Check(s, bounds) {
		broken = append(broken, v.Promise)
	}
	return broken
}

func TestCheckFindsEachViolation(t *testing.T) {
	NewWithT(t).Expect(brokenPromises(validRun())).To(BeEmpty())
	moved := validRun()
	moved.Moved["k"] = Move{At: at(9), Team: "heir"}
	moved.Executions[1].Team = "heir"
	NewWithT(t).Expect(brokenPromises(moved)).To(BeEmpty(), "both teams within the bound")
	for _, c := range []struct {
		promise      Promise
		breakPromise func(*Observations)
	}{
		{PromiseComplete, func(s *Observations) { s.Calls[0].ContentError = "another's answer" }},
		{PromiseOnce, func(s *Observations) { s.Executions[1].ID = "a" }},
		{PromiseOneRun, func(s *Observations) {
			s.Calls[1].Stream = true
			s.Executions = append(s.Executions, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Begin: at(10.45), End: at(10.95)})
		}},
		{PromiseOneRun, func(s *Observations) { // in whichever order their records came, and from a copy
			s.Calls[0].Stream = true
			s.Executions = append([]Execution{{ID: "a", Endpoint: "e2", Service: "s", Team: "t", Begin: at(10.45), End: at(10.95), FromCopy: true}}, s.Executions...)
		}},
		{PromiseNotRun, func(s *Observations) { s.Calls[0].Status, s.Calls[0].Complete, s.LastFault = 503, false, at(10) }},
		{PromiseRevoked, func(s *Observations) { s.Revoked["k"] = at(4) }},
		{PromiseValid, func(s *Observations) { s.Calls[0].Status, s.LastFault = 401, at(10) }},
		{PromiseConfig, func(s *Observations) { s.Calls[0].Status, s.Calls[0].Complete, s.LastFault = 404, false, at(10) }},
		{PromiseConfig, func(s *Observations) {
			s.Calls[0].Status, s.Calls[0].Complete, s.LastFault = 404, false, at(10)
			s.Calls[0].Added = at(6)
		}},
		{PromiseDrain, func(s *Observations) { s.Drained["e1"] = at(7) }},
		{PromiseRoute, func(s *Observations) { s.Executions[0].Service = "other" }},
		{PromiseRoute, func(s *Observations) { s.Executions[0].Team = "other" }},
		{PromiseRoute, func(s *Observations) { s.Executions[0].ID = "unheard of" }},
		{PromiseRoute, func(s *Observations) { // the old team, too late
			s.Moved["k"] = Move{At: at(4), Team: "heir"}
			s.Executions[1].Team = "heir"
		}},
		{PromiseRoute, func(s *Observations) { // the new team, too early
			s.Moved["k"] = Move{At: at(11.5), Team: "heir"}
			s.Executions[1].Team = "heir"
		}},
		{PromiseCancel, func(s *Observations) { s.Calls[1].CallerLeft, s.Executions[1].End = true, at(12.5) }},
		{PromiseStop, func(s *Observations) {
			s.Calls[0].Complete, s.LastFault = false, at(10)
			s.Stops[0] = []Span{{From: at(10.5), To: at(16)}}
		}},
		{PromiseRecovery, func(s *Observations) { s.Calls[0].Status = 502 }},
		{PromiseQuarantine, func(s *Observations) {
			for i := range 7 {
				id := fmt.Sprint("deadly-", i)
				s.Calls = append(s.Calls, Call{ID: id, Key: "k", Team: "t", Service: "s", Sent: at(10 + float64(2*i)), End: at(10.1 + float64(2*i)), Crashing: true})
				s.Executions = append(s.Executions, Execution{ID: id, Endpoint: fmt.Sprint("m", i), Service: "s", Team: "t", Begin: at(10 + float64(2*i))})
			}
			s.Executions = append(s.Executions, Execution{ID: "deadly-6", Endpoint: "m9", Service: "s", Team: "t", Begin: at(23)})
			s.Executions = append(s.Executions, Execution{ID: "deadly-6", Endpoint: "m10", Service: "s", Team: "t", Begin: at(24)})
		}},
		{PromiseEvacuate, func(s *Observations) {
			s.Domains["e1"], s.Evacuated["d"] = "d", []Span{{From: at(4), To: at(11)}}
		}},
		{PromiseCold, func(s *Observations) {
			s.Cold["e1"] = []Span{{From: at(9), To: at(12)}}
			for i := range 13 {
				s.Executions = append(s.Executions, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(10 + float64(i)/20)})
			}
		}},
		{PromiseLimit, func(s *Observations) {
			s.RateLimited["e1"] = []LimitSpan{{Span: Span{From: at(5), To: at(14)}, PerSecond: 1}}
			for i := range 12 {
				s.Executions = append(s.Executions, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(9 + float64(i)/4)})
			}
		}},
		{PromiseBackoff, func(s *Observations) {
			s.TurnedAway = []TurnedAway{{ID: "b", Endpoint: "e1", At: at(10.05), For: 3 * time.Second}}
			for i := range 3 {
				s.TurnedAway = append(s.TurnedAway, TurnedAway{ID: "a", Endpoint: "e1", At: at(11 + float64(i)/2)})
			}
		}},
		{PromiseDrain, func(s *Observations) { // at a router cut off from the store
			s.LeavingAnswers = []LeavingAnswer{{ID: "a", Endpoint: "e1", At: at(10.9)}}
			s.RouterFaults[0] = []Span{{From: at(10), To: at(20)}}
			s.Calls = append(s.Calls, Call{ID: "c", Key: "k", Team: "t", Service: "s", Sent: at(14), End: at(15), Status: 200, Complete: true})
			s.Executions = append(s.Executions, Execution{ID: "c", Endpoint: "e1", Service: "s", Team: "t", Begin: at(14.1), End: at(14.9)})
		}},
		{PromiseVersion, func(s *Observations) {
			s.Versions = map[string]string{"e1": "v1", "e2": "v2"}
			s.Calls[1].Sources = []string{"e1", "e2"}
		}},
		{PromiseVersion, func(s *Observations) { // over two requests of its caller
			s.Versions = map[string]string{"e1": "v1", "e2": "v2"}
			s.Calls[0].Sources = []string{"e1"}
			s.Calls[1].Resumes, s.Calls[1].Sources = s.Calls[0].ID, []string{"e2"}
		}},
		{PromiseNoExit, func(s *Observations) { s.Exits = []string{"router-0 ended by itself"} }},
		{PromiseRetries, func(s *Observations) {
			for range 60 {
				s.Executions = append(s.Executions, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Begin: at(10.5)})
			}
		}},
		{PromiseRetries, func(s *Observations) {
			for range 60 {
				s.Executions = append(s.Executions, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(10.5)})
			}
		}},
		{PromiseRetries, func(s *Observations) { // within the budget in total, but not in one window
			for i := range 1000 {
				s.Calls = append(s.Calls, Call{ID: fmt.Sprint("c", i), Key: "k", Service: "s", Sent: at(100 + float64(i)), Status: 200, Complete: true})
			}
			for i := range 60 {
				s.Executions = append(s.Executions, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Begin: at(11 + float64(i)/10)})
			}
		}},
		{PromiseLogged, func(s *Observations) {
			s.LoggedAttempts = map[string]int{"b": 1}
			s.Executions = append(s.Executions, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Begin: at(10.5)})
		}},
		{PromiseMaxEndpoints, func(s *Observations) {
			s.Executions = append(s.Executions, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Begin: at(10.5)})
			s.Executions = append(s.Executions, Execution{ID: "b", Endpoint: "e3", Service: "s", Team: "t", Begin: at(10.6)})
		}},
	} {
		seen := validRun()
		c.breakPromise(&seen)
		NewWithT(t).Expect(brokenPromises(seen)).To(ContainElement(c.promise), "%s", c.promise)
	}
}

func TestCheckToleratesEffectsOfFaults(t *testing.T) {
	for name, c := range map[string]func(*Observations){
		"a draining endpoint, at a partitioned router": func(s *Observations) {
			s.Drained["e1"] = at(7)
			s.RouterFaults[0] = []Span{{From: at(6), To: at(8)}}
		},
		"work after the caller disconnected, at a paused endpoint": func(s *Observations) {
			s.Calls[1].CallerLeft, s.Executions[1].End = true, at(12.5)
			s.EndpointFaults["e2"] = []Span{{From: at(10), To: at(12)}}
		},
		"a revoked key within the bound": func(s *Observations) { s.Revoked["k"] = at(6) },
		"a stop after the answer": func(s *Observations) {
			s.Stops[0] = []Span{{From: at(12), To: at(16)}}
		},
		"an evacuation that has ended, or is within the bound": func(s *Observations) {
			s.Domains["e1"] = "d"
			s.Evacuated["d"] = []Span{{From: at(1), To: at(10)}, {From: at(6), To: at(20)}}
		},
		"a cold endpoint within its rate limit": func(s *Observations) {
			s.Cold["e1"] = []Span{{From: at(9), To: at(12)}}
			for i := range 13 {
				s.Executions = append(s.Executions, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(9 + float64(i)/5)})
			}
		},
		"an endpoint within its stated limit, except before routers must enforce it": func(s *Observations) {
			s.RateLimited["e1"] = []LimitSpan{{Span: Span{From: at(7), To: at(14)}, PerSecond: 1}}
			for i := range 20 {
				s.Executions = append(s.Executions, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(8 + float64(i)/5)})
			}
		},
		"an endpoint over its stated limit, at a paused router": func(s *Observations) {
			s.RateLimited["e1"] = []LimitSpan{{Span: Span{From: at(5), To: at(14)}, PerSecond: 1}}
			s.RouterFaults[0] = []Span{{From: at(6), To: at(9)}}
			for i := range 12 {
				s.Executions = append(s.Executions, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(9 + float64(i)/4)})
			}
		},
		"two requests during a backoff, or more at a paused router": func(s *Observations) {
			s.TurnedAway = []TurnedAway{
				{ID: "b", Endpoint: "e1", At: at(10.05), For: 3 * time.Second}, {ID: "b", Endpoint: "e1", At: at(10.4)},
				{ID: "b", Endpoint: "e1", At: at(11)}, {ID: "b", Endpoint: "e1", At: at(12)}, {ID: "b", Endpoint: "e1", At: at(13.1)},
			}
			s.RouterFaults[1] = []Span{{From: at(9), To: at(12)}}
			s.Calls = append(s.Calls, Call{ID: "c", Key: "k", Team: "t", Service: "s", Router: 1, Sent: at(10), End: at(15), Status: 200, Complete: true})
			s.Executions = append(s.Executions, Execution{ID: "c", Endpoint: "e2", Service: "s", Team: "t", Begin: at(14), End: at(14.9)})
			for i := range 5 {
				s.TurnedAway = append(s.TurnedAway, TurnedAway{ID: "c", Endpoint: "e2", At: at(11 + float64(i)/2), For: 3 * time.Second})
			}
		},
		"a request to an endpoint that told another router that it leaves, or a process before": func(s *Observations) {
			s.LeavingAnswers = []LeavingAnswer{{ID: "a", Endpoint: "e1", At: at(10.9)}, {ID: "b", Endpoint: "e2", At: at(10.9)}}
			s.Down[1] = []Span{{From: at(20), To: at(21)}}
			s.Calls = append(s.Calls, Call{ID: "c", Key: "k", Team: "t", Service: "s", Router: 1, Sent: at(14), End: at(15), Status: 200, Complete: true})
			s.Executions = append(s.Executions, Execution{ID: "c", Endpoint: "e1", Service: "s", Team: "t", Begin: at(14.1), End: at(14.9)})
			s.Down[0] = []Span{{From: at(12), To: at(13)}}
			s.Calls = append(s.Calls, Call{ID: "d", Key: "k", Team: "t", Service: "s", Sent: at(14), End: at(15), Status: 200, Complete: true})
			s.Executions = append(s.Executions, Execution{ID: "d", Endpoint: "e2", Service: "s", Team: "t", Begin: at(14.1), End: at(14.9)})
		},
		"resumed runs within the retry budget": func(s *Observations) {
			for range 50 {
				s.Executions = append(s.Executions, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(10.5)})
			}
		},
	} {
		seen := validRun()
		c(&seen)
		NewWithT(t).Expect(brokenPromises(seen)).To(BeEmpty(), name)
	}
}

func TestPlanIsDeterminedBySeed(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Plan(7, 30*time.Second)).To(Equal(Plan(7, 30*time.Second)))
	g.Expect(Plan(7, 30*time.Second)).NotTo(Equal(Plan(8, 30*time.Second)))
	injected := make(map[Kind]bool)
	overlap := 0
	for seed := range uint64(20) {
		plan := Plan(seed, 30*time.Second)
		g.Expect(plan).NotTo(BeEmpty())
		for i, f := range plan {
			injected[f.Kind] = true
			g.Expect(f.At).To(BeNumerically(">=", faultFreeStart))
			g.Expect(f.At + f.Duration).To(BeNumerically("<=", 30*time.Second-FaultFreeEnd))
			if i > 0 && plan[i-1].At+plan[i-1].Duration > f.At {
				overlap++
			}
		}
	}
	g.Expect(injected).To(HaveLen(len(kinds)+3), "plus growth, restarts and invalid entries")
	g.Expect(overlap).To(BeNumerically(">", 100))
}
