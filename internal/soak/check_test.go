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

// good is a run in which nothing is wrong: two requests, served by two endpoints.
func good() Seen {
	return Seen{
		Calls: []Call{
			{ID: "a", Key: "k", Team: "t", Service: "s", Sent: at(10), End: at(11), Status: 200, Whole: true},
			{ID: "b", Key: "k", Team: "t", Service: "s", Sent: at(10), End: at(11), Status: 200, Whole: true, Repeatable: true},
		},
		Runs: []Execution{
			{ID: "a", Endpoint: "e1", Service: "s", Team: "t", Begin: at(10.1), End: at(10.9)},
			{ID: "b", Endpoint: "e2", Service: "s", Team: "t", Begin: at(10.1), End: at(10.9)},
		},
		Revoked: map[string]time.Time{}, Drained: map[string]time.Time{}, Harmed: map[int][]Span{},
		Stops: map[int][]Span{}, EndpointHarmed: map[string][]Span{},
		Domains: map[string]string{}, Evacuated: map[string][]Span{}, Cold: map[string][]Span{}, Limited: map[string][]Limited{},
		LastFault: at(0),
	}
}

// promises are those that a run breaks.
func promises(s Seen) []Promise {
	var broken []Promise
	bounds := DefaultBounds()
	bounds.Config = configWithin
	for _, v := range Check(s, bounds) {
		broken = append(broken, v.Promise)
	}
	return broken
}

func TestEachBrokenPromiseIsFound(t *testing.T) {
	NewWithT(t).Expect(promises(good())).To(BeEmpty())
	for _, c := range []struct {
		promise Promise
		spoil   func(*Seen)
	}{
		{PromiseWhole, func(s *Seen) { s.Calls[0].Wrong = "another's answer" }},
		{PromiseOnce, func(s *Seen) { s.Runs[1].ID = "a" }},
		{PromiseNotRun, func(s *Seen) { s.Calls[0].Status, s.Calls[0].Whole, s.LastFault = 503, false, at(10) }},
		{PromiseRevoked, func(s *Seen) { s.Revoked["k"] = at(4) }},
		{PromiseValid, func(s *Seen) { s.Calls[0].Status, s.LastFault = 401, at(10) }},
		{PromiseConfig, func(s *Seen) { s.Calls[0].Status, s.Calls[0].Whole, s.LastFault = 404, false, at(10) }},
		{PromiseConfig, func(s *Seen) {
			s.Calls[0].Status, s.Calls[0].Whole, s.LastFault = 404, false, at(10)
			s.Calls[0].Added = at(6)
		}},
		{PromiseDrain, func(s *Seen) { s.Drained["e1"] = at(7) }},
		{PromiseRoute, func(s *Seen) { s.Runs[0].Service = "other" }},
		{PromiseRoute, func(s *Seen) { s.Runs[0].Team = "other" }},
		{PromiseRoute, func(s *Seen) { s.Runs[0].ID = "unheard of" }},
		{PromiseCancel, func(s *Seen) { s.Calls[1].Left, s.Runs[1].End = true, at(12.5) }},
		{PromiseStop, func(s *Seen) {
			s.Calls[0].Whole, s.LastFault = false, at(10)
			s.Stops[0] = []Span{{From: at(10.5), To: at(16)}}
		}},
		{PromiseRecovery, func(s *Seen) { s.Calls[0].Status = 502 }},
		{PromiseDeadly, func(s *Seen) {
			for i := range 7 {
				id := fmt.Sprint("deadly-", i)
				s.Calls = append(s.Calls, Call{ID: id, Key: "k", Team: "t", Service: "s", Sent: at(10 + float64(2*i)), End: at(10.1 + float64(2*i)), Deadly: true})
				s.Runs = append(s.Runs, Execution{ID: id, Endpoint: fmt.Sprint("m", i), Service: "s", Team: "t", Begin: at(10 + float64(2*i))})
			}
			s.Runs = append(s.Runs, Execution{ID: "deadly-6", Endpoint: "m9", Service: "s", Team: "t", Begin: at(23)})
			s.Runs = append(s.Runs, Execution{ID: "deadly-6", Endpoint: "m10", Service: "s", Team: "t", Begin: at(24)})
		}},
		{PromiseEvacuate, func(s *Seen) {
			s.Domains["e1"], s.Evacuated["d"] = "d", []Span{{From: at(4), To: at(11)}}
		}},
		{PromiseCold, func(s *Seen) {
			s.Cold["e1"] = []Span{{From: at(9), To: at(12)}}
			for i := range 13 {
				s.Runs = append(s.Runs, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(10 + float64(i)/20)})
			}
		}},
		{PromiseLimit, func(s *Seen) {
			s.Limited["e1"] = []Limited{{Span: Span{From: at(5), To: at(14)}, PerSecond: 1}}
			for i := range 12 {
				s.Runs = append(s.Runs, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(9 + float64(i)/4)})
			}
		}},
		{PromiseAlive, func(s *Seen) { s.Exits = []string{"router-0 ended by itself"} }},
		{PromiseRetries, func(s *Seen) {
			for range 60 {
				s.Runs = append(s.Runs, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Begin: at(10.5)})
			}
		}},
		{PromiseRetries, func(s *Seen) {
			for range 60 {
				s.Runs = append(s.Runs, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(10.5)})
			}
		}},
		{PromiseRetries, func(s *Seen) { // few in all, many in a window
			for i := range 1000 {
				s.Calls = append(s.Calls, Call{ID: fmt.Sprint("c", i), Key: "k", Service: "s", Sent: at(100 + float64(i)), Status: 200, Whole: true})
			}
			for i := range 60 {
				s.Runs = append(s.Runs, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Begin: at(11 + float64(i)/10)})
			}
		}},
		{PromiseTold, func(s *Seen) {
			s.Told = map[string]int{"b": 1}
			s.Runs = append(s.Runs, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Begin: at(10.5)})
		}},
		{PromisePlaces, func(s *Seen) {
			s.Runs = append(s.Runs, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Begin: at(10.5)})
			s.Runs = append(s.Runs, Execution{ID: "b", Endpoint: "e3", Service: "s", Team: "t", Begin: at(10.6)})
		}},
	} {
		seen := good()
		c.spoil(&seen)
		NewWithT(t).Expect(promises(seen)).To(ContainElement(c.promise), "%s", c.promise)
	}
}

func TestWhatFaultsExplainIsNoBrokenPromise(t *testing.T) {
	for name, c := range map[string]func(*Seen){
		"a leaving endpoint at a router that was cut off": func(s *Seen) {
			s.Drained["e1"] = at(7)
			s.Harmed[0] = []Span{{From: at(6), To: at(8)}}
		},
		"work after its caller left, at a paused endpoint": func(s *Seen) {
			s.Calls[1].Left, s.Runs[1].End = true, at(12.5)
			s.EndpointHarmed["e2"] = []Span{{From: at(10), To: at(12)}}
		},
		"a revoked key within the bound": func(s *Seen) { s.Revoked["k"] = at(6) },
		"a stop after the answer": func(s *Seen) {
			s.Stops[0] = []Span{{From: at(12), To: at(16)}}
		},
		"an evacuation that is over, or within the bound": func(s *Seen) {
			s.Domains["e1"] = "d"
			s.Evacuated["d"] = []Span{{From: at(1), To: at(10)}, {From: at(6), To: at(20)}}
		},
		"a cold endpoint that gets its rate": func(s *Seen) {
			s.Cold["e1"] = []Span{{From: at(9), To: at(12)}}
			for i := range 13 {
				s.Runs = append(s.Runs, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(9 + float64(i)/5)})
			}
		},
		"an endpoint that gets its limit, and more in the time in which routers hear of it": func(s *Seen) {
			s.Limited["e1"] = []Limited{{Span: Span{From: at(7), To: at(14)}, PerSecond: 1}}
			for i := range 20 {
				s.Runs = append(s.Runs, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(8 + float64(i)/5)})
			}
		},
		"an endpoint that names a limit, at a router that was paused": func(s *Seen) {
			s.Limited["e1"] = []Limited{{Span: Span{From: at(5), To: at(14)}, PerSecond: 1}}
			s.Harmed[0] = []Span{{From: at(6), To: at(9)}}
			for i := range 12 {
				s.Runs = append(s.Runs, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(9 + float64(i)/4)})
			}
		},
		"runs that go on from others, within the operator's bound": func(s *Seen) {
			for range 50 {
				s.Runs = append(s.Runs, Execution{ID: "b", Endpoint: "e1", Service: "s", Team: "t", Resumed: true, Begin: at(10.5)})
			}
		},
	} {
		seen := good()
		c(&seen)
		NewWithT(t).Expect(promises(seen)).To(BeEmpty(), name)
	}
}

func TestAPlanFollowsFromItsSeed(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Plan(7, 30*time.Second)).To(Equal(Plan(7, 30*time.Second)))
	g.Expect(Plan(7, 30*time.Second)).NotTo(Equal(Plan(8, 30*time.Second)))
	struck := make(map[Kind]bool)
	overlap := 0
	for seed := range uint64(20) {
		plan := Plan(seed, 30*time.Second)
		g.Expect(plan).NotTo(BeEmpty())
		for i, f := range plan {
			struck[f.Kind] = true
			g.Expect(f.At).To(BeNumerically(">=", calmStart))
			g.Expect(f.At + f.For).To(BeNumerically("<=", 30*time.Second-CalmEnd))
			if i > 0 && plan[i-1].At+plan[i-1].For > f.At {
				overlap++
			}
		}
	}
	g.Expect(struck).To(HaveLen(len(kinds)+3), "and growth, restarts and strange entries")
	g.Expect(overlap).To(BeNumerically(">", 100))
}
