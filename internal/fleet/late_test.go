package fleet_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/api"
	"coveferry/internal/fleet"
)

// pairSpec returns a fleet of two engines with one slot and 10 ms per token, with late
// binding.
func pairSpec() fleet.Spec {
	sp := spec()
	for i := range sp.Engines {
		sp.Engines[i].Slots = 1
	}
	sp.Profile.LateBinding = true
	return sp
}

// fillSlots fills both engines' slots, the first one for longer. Idempotency keys
// direct each call to its engine.
func (s *session) fillSlots() {
	for i, tokens := range []int{30, 10} {
		s.callInBackground(http.Header{
			api.HeaderIdempotencyKey: {s.keyWithHome(s.fleet.Agents()[i].Name)},
			api.HeaderKeyTime:        {time.Now().Format(time.RFC3339Nano)},
		}, tokens)
	}
}

// A request that waits at two endpoints runs at the one that is free first, and the
// other one drops it.
func TestSessionLateBinding(t *testing.T) {
	runSession(t, pairSpec(), func(s *session) {
		s.fillSlots()
		s.call(s.t.Context(), chatPath, chat(2), nonIdempotent(), nil)
		time.Sleep(time.Second) // fake time, until engine-00 is free
		s.g.Expect(s.fleet.Agents()[0].Engine.Record()).To(HaveLen(1))
		s.g.Expect(s.fleet.Agents()[1].Engine.Record()).To(HaveLen(2))
	})
}

// The endpoint that runs a request is partitioned before it answers. The other one,
// where the request also waited, must not run it.
func TestSessionLateBindingWinnerLost(t *testing.T) {
	runSession(t, pairSpec(), func(s *session) {
		s.fillSlots()
		winner := s.fleet.Agents()[1]
		time.AfterFunc(105*time.Millisecond, winner.Engine.Hang)
		time.AfterFunc(150*time.Millisecond, func() { s.net.Cut("router-00", winner.Address()) })
		s.call(s.t.Context(), chatPath, chat(2), nonIdempotent(), nil)
		time.Sleep(time.Second)
		s.g.Expect(s.fleet.Agents()[0].Engine.Record()).To(HaveLen(1))
	})
}

// One of the two endpoints refuses; the request still runs at the other.
func TestSessionLateBindingOneLeaves(t *testing.T) {
	runSession(t, pairSpec(), func(s *session) {
		s.fillSlots()
		time.AfterFunc(50*time.Millisecond, s.fleet.Agents()[1].Agent.Leave)
		s.call(s.t.Context(), chatPath, chat(2), nonIdempotent(), nil)
		s.g.Expect(s.fleet.Agents()[0].Engine.Record()).To(HaveLen(2))
	})
}
