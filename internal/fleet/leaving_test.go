package fleet_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/server"
	"coveferry/internal/standin/engine"
)

// oneSlot is two engines with a slot each.
func oneSlot() (first, second engine.Config) {
	one := engine.Config{Slots: 1, TokenTime: 10 * time.Millisecond, Priorities: true}
	return one, one
}

// What waits at an endpoint that leaves begins elsewhere, also if it must not
// run twice: it truly didn't run.
func TestSessionLeavingGivesBackItsQueue(t *testing.T) {
	sp := spec()
	a, b := oneSlot()
	sp.Engines = []engine.Config{a, b}
	runSession(t, sp, func(s *session) {
		s.aside(nil, 100)
		s.aside(nil, 10)
		time.AfterFunc(20*time.Millisecond, s.fleet.Agents()[0].Agent.Leave)
		s.call(s.t.Context(), chatPath, chat(2), nonIdempotent(), nil)
		s.g.Expect(s.fleet.Agents()[0].Engine.Record()).To(HaveLen(1))
	})
}

// At the handover an answer that may run twice is finished elsewhere, seen by
// its caller as one; one that must not stays until its end.
func TestSessionHandOver(t *testing.T) {
	sp := spec()
	sp.Engines = append(sp.Engines, sp.Engines[0])
	runSession(t, sp, func(s *session) {
		var stays string
		var wg sync.WaitGroup
		first := s.fleet.Agents()[0]
		wg.Go(func() {
			quiet := &session{t: s.t, g: s.g, net: s.net, fleet: s.fleet, start: s.start}
			stays = quiet.call(s.t.Context(), chatPath, chat(12), nonIdempotent(), nil)
		})
		synctest.Wait()
		s.aside(nil, 1)
		time.Sleep(2 * time.Millisecond) // so that they end one after the other
		s.aside(nil, 1)
		got := s.call(s.t.Context(), chatPath, chat(12), nil, func(pieces int) {
			if pieces == 4 {
				first.Agent.Leave()
				moved, stay := first.Agent.HandOver()
				s.g.Expect([]int{moved, stay}).To(Equal([]int{1, 1}))
			}
		})
		wg.Wait()
		s.g.Expect(text(got)).To(Equal(text(s.whole(chatPath, chat(12)))))
		s.g.Expect(text(stays)).To(Equal(text(got)))
		ends := []engine.End{}
		for _, run := range first.Engine.Record() {
			ends = append(ends, run.End)
		}
		s.g.Expect(ends).To(ConsistOf(engine.EndCompleted, engine.EndCancelled))
	})
}

// Every process is replaced while requests come, and each gets a whole answer.
func TestRollingReplacementCutsOffNothing(t *testing.T) {
	sp := spec()
	sp.Routers = 2
	sp.RouterStop = server.ShutdownPlan{DrainTime: time.Second, Grace: time.Minute, HandoverMargin: time.Second}
	sp.AgentStop = server.ShutdownPlan{DrainTime: 500 * time.Millisecond, Grace: 4 * time.Second, HandoverMargin: 2 * time.Second}
	playSession(t, sp, func(s *session) {
		before := s.fleet.Bundle().Version
		var wg sync.WaitGroup
		for i := range 30 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 200 * time.Millisecond)
				quiet := &session{t: s.t, g: s.g, net: s.net, fleet: s.fleet, start: s.start}
				var header http.Header
				tokens := 600
				if i%2 == 0 {
					header, tokens = nonIdempotent(), 300
				}
				got := quiet.call(s.t.Context(), chatPath, chat(tokens), header, nil)
				s.g.Expect(got).To(HaveSuffix("data: [DONE]\n\n"))
			})
		}
		for i := range 2 {
			time.Sleep(time.Second)
			s.g.Expect(s.fleet.RollRouter(i)).To(Succeed())
			s.g.Expect(s.fleet.RollAgent(i)).To(Succeed())
		}
		wg.Wait()
		s.g.Expect(s.fleet.Bundle().Version).To(BeNumerically(">", before))
		moved := 0
		for _, old := range s.fleet.Retired() {
			for _, run := range old.Engine.Record() {
				s.g.Expect(run.Start).To(BeTemporally("<", s.start.Add(3*time.Second)), "an agent that left began nothing")
				if run.End == engine.EndCancelled {
					moved++
				}
			}
		}
		s.g.Expect(moved).To(BeNumerically(">", 0))
	})
}

// A router's stop doesn't suffice for an answer: its caller is told.
func TestSessionRouterEnds(t *testing.T) {
	runSession(t, spec(), func(s *session) {
		rt := s.fleet.Routers()[0].Router
		rt.CloseCallerConnections()
		s.call(s.t.Context(), chatPath, chat(100), nil, func(pieces int) {
			if pieces == 3 {
				rt.AbortOpenRequests()
			}
		})
		time.Sleep(100 * time.Millisecond) // fake time
		s.g.Expect(s.fleet.Agents()[0].Engine.Record()[0].End).To(Equal(engine.EndCancelled))
	})
}
