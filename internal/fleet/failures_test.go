package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/standin/engine"
)

// completionBody is the body of a request without streaming.
const completionBody = `{"model":"stand-in","prompt":"hello [[tokens=6]]"}`

// uninterrupted returns the answer to a call without failures.
func (s *session) uninterrupted(path, body string) string {
	return s.call(s.t.Context(), path, body, nil, nil)
}

// An engine ends an aborted answer in the same form as a complete one.
func TestSessionAborted(t *testing.T) {
	runSession(t, spec(), func(s *session) {
		got := s.call(s.t.Context(), chatPath, chat(6), nil, func(events int) {
			if events == 3 {
				s.fleet.Agents()[0].Engine.Abort("request-1.1", engine.EndCancelled)
			}
		})
		s.g.Expect(text(got)).To(Equal(text(s.uninterrupted(chatPath, chat(6)))))
	})
}

func TestSessionCrashCollected(t *testing.T) {
	runSession(t, spec(), func(s *session) {
		time.AfterFunc(35*time.Millisecond, s.fleet.Agents()[0].Engine.Crash)
		s.call(s.t.Context(), "/v1/completions", completionBody, nil, nil)
		s.uninterrupted("/v1/completions", completionBody)
	})
}

// All engines crash; one restarts after a second, before the deadline.
func TestSessionAllCrashAndOneReturns(t *testing.T) {
	runSession(t, spec(), func(s *session) {
		got := s.call(s.t.Context(), chatPath, chat(6), nil, func(events int) {
			if events != 3 {
				return
			}
			for _, a := range s.fleet.Agents() {
				a.Engine.Crash()
			}
			time.AfterFunc(time.Second, s.fleet.Agents()[1].Engine.Restart)
		})
		s.g.Expect(text(got)).To(Equal(text(s.uninterrupted(chatPath, chat(6)))))
	})
}

// An answer that is resumed at any token must equal the uninterrupted one.
func TestResumedAnswerIsIdenticalAtEachToken(t *testing.T) {
	for at := 1; at <= 8; at++ {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			runInBubble(t, spec(), func(s *session) {
				got := s.call(s.t.Context(), chatPath, chat(6), nil, func(events int) {
					if events == at {
						s.fleet.Agents()[0].Engine.Crash()
					}
				})
				s.g.Expect(text(got)).To(Equal(text(s.uninterrupted(chatPath, chat(6)))))
				s.g.Expect(got).To(HaveSuffix("data: [DONE]\n\n"))
			})
		})
	}
}

// A crashed engine accepts connections and breaks them. The outcome of the first
// request is unknown; for the following ones the agent knows that they haven't run,
// so they run elsewhere.
func TestStoppedEngineGetsNoRequests(t *testing.T) {
	runInBubble(t, spec(), func(s *session) {
		s.fleet.Agents()[0].Engine.Crash()
		s.call(s.t.Context(), chatPath, chat(2), nonIdempotent(), nil)
		for range 4 {
			got := s.call(s.t.Context(), chatPath, chat(2), nonIdempotent(), nil)
			s.g.Expect(got).To(HaveSuffix("data: [DONE]\n\n"))
		}
		s.g.Expect(s.fleet.Agents()[0].Engine.Record()).To(BeEmpty())
		s.fleet.Agents()[0].Engine.Restart()
		for range 2 {
			s.uninterrupted(chatPath, chat(2))
		}
		s.g.Expect(s.fleet.Agents()[0].Engine.Record()).To(HaveLen(1), "it must get requests again")
	})
}

// An engine hangs during an answer with its connections open. An idempotent request
// is resumed elsewhere and a non-idempotent one waits. The engine gets no further
// requests until it recovers.
func TestAnswerIsResumedWhenEngineHangs(t *testing.T) {
	runInBubble(t, spec(), func(s *session) {
		first := s.fleet.Agents()[0].Engine
		got := s.call(s.t.Context(), chatPath, chat(6), nil, func(events int) {
			if events == 3 {
				first.Pause()
			}
		})
		s.g.Expect(text(got)).To(Equal(text(s.uninterrupted(chatPath, chat(6)))))
		s.g.Expect(time.Since(s.start)).To(BeNumerically("<", 8*time.Second))
		s.uninterrupted(chatPath, chat(2))
		s.g.Expect(first.Record()).To(HaveLen(1))
		first.Resume()
	})
	runInBubble(t, spec(), func(s *session) {
		first := s.fleet.Agents()[0].Engine
		got := s.call(s.t.Context(), chatPath, chat(6), nonIdempotent(), func(events int) {
			if events == 3 {
				first.Pause()
				time.AfterFunc(20*time.Second, first.Resume)
			}
		})
		s.g.Expect(got).To(HaveSuffix("data: [DONE]\n\n"))
		s.g.Expect(s.runs()).To(Equal(1))
	})
}
