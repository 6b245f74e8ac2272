package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/api"
	"coveferry/internal/standin/engine"
)

// An answer that stalls for longer than the write timeout of one event must still
// end with an error event instead of a closed connection. Here the request is
// preempted until its deadline.
func TestSessionErrorAfterAStandstill(t *testing.T) {
	sp := spec()
	sp.Engines = []engine.Config{{Slots: 1, TokenTime: 200 * time.Millisecond, Priorities: true}}
	runSession(t, sp, func(s *session) {
		time.AfterFunc(450*time.Millisecond, func() { s.callInBackground(ofClass("queries"), 250) })
		header := ofClass("reviews")
		header.Set(api.HeaderDeadline, "45s")
		got := s.call(s.t.Context(), chatPath, chat(20), header, nil)
		s.g.Expect(got).To(ContainSubstring("event: error"))
	})
}
