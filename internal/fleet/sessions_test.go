package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/fleet"
	"coveferry/internal/standin/engine"
)

const chatPath = "/v1/chat/completions"

// chat returns the body of a streamed request for an answer of the given length.
func chat(tokens int) string {
	return fmt.Sprintf(`{"model":"stand-in","stream":true,"messages":[{"role":"user","content":"hello [[tokens=%d]]"}]}`, tokens)
}

func nonIdempotent() http.Header { return http.Header{api.HeaderNonIdempotent: {"true"}} }

func ofClass(name string) http.Header { return http.Header{api.HeaderClass: {name}} }

// callInBackground makes a call that isn't part of the transcript.
func (s *session) callInBackground(header http.Header, tokens int) {
	go func() {
		quiet := &session{t: s.t, g: s.g, net: s.net, fleet: s.fleet, start: s.start}
		quiet.call(s.t.Context(), chatPath, chat(tokens), header, nil)
	}()
	synctest.Wait()
}

func TestSessionPlain(t *testing.T) {
	runSession(t, spec(), func(s *session) {
		s.call(s.t.Context(), chatPath, chat(6), nil, nil)
	})
}

func TestSessionCrashAndResume(t *testing.T) {
	runSession(t, spec(), func(s *session) {
		got := s.call(s.t.Context(), chatPath, chat(6), nil, func(events int) {
			if events == 3 {
				s.fleet.Agents()[0].Engine.Crash()
			}
		})
		uninterrupted := s.call(s.t.Context(), chatPath, chat(6), nil, nil)
		s.g.Expect(text(got)).To(Equal(text(uninterrupted)), "the resumed answer must equal the uninterrupted one")
	})
}

// A non-idempotent request isn't resumed; its caller learns that it has run.
func TestSessionCrashNonIdempotent(t *testing.T) {
	runSession(t, spec(), func(s *session) {
		s.call(s.t.Context(), chatPath, chat(6), nonIdempotent(), func(events int) {
			if events == 3 {
				s.fleet.Agents()[0].Engine.Crash()
			}
		})
		s.g.Expect(s.runs()).To(Equal(1))
	})
}

// The connection to the agent breaks before its answer. The router can't know
// whether the request ran, so it must not retry a non-idempotent one.
func TestSessionUnknownOutcome(t *testing.T) {
	runSession(t, spec(), func(s *session) {
		s.fleet.Agents()[0].Engine.Pause()
		time.AfterFunc(50*time.Millisecond, func() {
			s.net.Cut("router-00", s.fleet.Agents()[0].Address())
			s.fleet.Agents()[0].Engine.Resume()
		})
		s.call(s.t.Context(), chatPath, chat(6), nonIdempotent(), nil)
		s.g.Expect(s.fleet.Agents()[1].Engine.Record()).To(BeEmpty())
	})
}

func TestSessionPreempted(t *testing.T) {
	sp := spec()
	sp.Engines = []engine.Config{{Slots: 1, TokenTime: 200 * time.Millisecond, Priorities: true}}
	sp.Profile = fleet.Product()
	runSession(t, sp, func(s *session) {
		time.AfterFunc(450*time.Millisecond, func() { s.callInBackground(ofClass("queries"), 3) })
		s.call(s.t.Context(), chatPath, chat(20), ofClass("reviews"), nil)
	})
}

func TestSessionRefused(t *testing.T) {
	sp := spec()
	sp.Engines = sp.Engines[:1]
	sp.Engines[0].Slots = 1
	sp.Bundle.Limits.QueueEntries = 1
	runSession(t, sp, func(s *session) {
		// One request runs, one waits as the oldest of its class, one fills the queue.
		for range 3 {
			s.callInBackground(nil, 100)
		}
		s.call(s.t.Context(), chatPath, chat(6), nil, nil)
		s.g.Expect(s.runs()).To(Equal(1))
	})
}

func TestSessionLeavingEndpoint(t *testing.T) {
	runSession(t, spec(), func(s *session) {
		s.fleet.Agents()[0].Agent.Leave()
		s.call(s.t.Context(), chatPath, chat(2), nonIdempotent(), nil)
		s.call(s.t.Context(), chatPath, chat(2), nonIdempotent(), nil)
		s.g.Expect(s.fleet.Agents()[0].Engine.Record()).To(BeEmpty())
	})
}

// The engine stops working on a request when its caller disconnects.
func TestSessionCallerLeaves(t *testing.T) {
	runSession(t, spec(), func(s *session) {
		ctx, cancel := context.WithCancel(s.t.Context())
		s.call(ctx, chatPath, chat(100), nil, func(events int) {
			if events == 3 {
				cancel()
			}
		})
		time.Sleep(100 * time.Millisecond) // fake time
		run := s.fleet.Agents()[0].Engine.Record()[0]
		s.g.Expect(run.End).To(Equal(engine.EndCancelled))
		s.g.Expect(run.Produced).To(BeNumerically("<", 12))
	})
}

func TestSessionDeadline(t *testing.T) {
	runSession(t, spec(), func(s *session) {
		header := http.Header{api.HeaderDeadline: {"45ms"}}
		s.call(s.t.Context(), chatPath, chat(100), header, nil)
		synctest.Wait()
		s.g.Expect(s.fleet.Agents()[0].Engine.Record()[0].End).To(Equal(engine.EndCancelled))
	})
}

// runs returns the number of runs that all engines began.
func (s *session) runs() int {
	runs := 0
	for _, a := range s.fleet.Agents() {
		runs += len(a.Engine.Record())
	}
	return runs
}

// text concatenates the contents of an answer's chunks.
func text(stream string) string {
	var all strings.Builder
	for _, piece := range strings.Split(stream, `"content":"`)[1:] {
		content, _, _ := strings.Cut(piece, `"}`)
		all.WriteString(content)
	}
	return all.String()
}

// An address that now belongs to another endpoint's VM must get no request, even
// though that agent has a valid certificate.
func TestSessionAddressOfAnotherEndpoint(t *testing.T) {
	runSession(t, spec(), func(s *session) {
		b := *s.fleet.Bundle()
		b.Endpoints = b.Endpoints[:1:1]
		b.Endpoints[0].Address = s.fleet.Agents()[1].Address()
		s.fleet.Routers()[0].Router.Swap(bundle.NewSnapshot(&b))
		s.call(s.t.Context(), chatPath, chat(6), nonIdempotent(), nil)
		s.g.Expect(s.runs()).To(BeZero())
	})
}
