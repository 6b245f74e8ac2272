package quarantine_test

import (
	"context"
	"errors"
	"io"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/clock"
	"coveferry/internal/filters/dispatch"
	"coveferry/internal/filters/quarantine"
	"coveferry/internal/filters/relay"
	"coveferry/internal/poison"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// repeatAttempt sends the same request to one endpoint the given number of times, each
// time with a new request ID. Each attempt ends with err. It reports whether the last one
// was quarantined.
func repeatAttempt(kind wire.Kind, times int, err error) (refused bool) {
	f := quarantine.New(poison.NewTable(poison.Config{}), clock.Boot, zerolog.Nop())
	for i := range times {
		r := &request.Request{Kind: kind, ID: string(rune('a' + i)), Epoch: 1, Body: []byte("same"), Endpoint: &bundle.Endpoint{Name: "e", Address: "a"}}
		got := f.Do(context.Background(), r, func(context.Context, *request.Request) error { return err })
		var quarantined *quarantine.QuarantinedError
		refused = errors.As(got, &quarantined)
	}
	return refused
}

// An agent outlives its engine, so three engine failures reported by one agent are three
// lost engines, even with a single endpoint.
func TestEachEngineFailureReportedByAnAgentCounts(t *testing.T) {
	g := NewWithT(t)
	failed := &dispatch.RefusedError{Refusal: wire.Refusal{Reason: wire.ReasonEngineFailed, Run: wire.RunUnknown}}
	g.Expect(repeatAttempt(wire.KindChat, 3, failed)).To(BeFalse())
	g.Expect(repeatAttempt(wire.KindChat, 4, failed)).To(BeTrue())
	g.Expect(repeatAttempt(wire.KindChat, 4, &relay.BrokenError{Ending: wire.EndingEngineFailed})).To(BeTrue())
	answered := &dispatch.RefusedError{Refusal: wire.Refusal{Reason: wire.ReasonEngineFailed, Run: wire.RunUnknown, EngineStatus: 500}}
	g.Expect(repeatAttempt(wire.KindChat, 9, answered)).To(BeFalse(), "an engine that responds is alive")
}

// Without an agent, one process can't be lost twice. Repeated connection failures of the
// same process have another cause.
func TestEndpointProcessWithoutAgentCountsOnce(t *testing.T) {
	broke := &dispatch.NoResponseError{Sent: true, Cause: io.EOF}
	NewWithT(t).Expect(repeatAttempt(wire.KindRouted, 9, broke)).To(BeFalse())
}

// Any response of the endpoint after a loss shows that it survived. A response of another
// instance at its address does not.
func TestAnswerAfterLossClearsTheLoss(t *testing.T) {
	for name, c := range map[string]struct {
		answer error
		alive  bool
	}{
		"complete response": {nil, true},
		"error response":    {&relay.EndpointError{}, true},
		"refusal":           {&dispatch.RefusedError{Refusal: wire.Refusal{Reason: "queue_full"}}, true},
		"another instance":  {&dispatch.RefusedError{Refusal: wire.Refusal{Reason: wire.ReasonWrongEndpoint}}, false},
		"broken connection": {&dispatch.NoResponseError{Sent: true, Cause: io.EOF}, false},
		"timeout":           {context.DeadlineExceeded, false},
	} {
		f := quarantine.New(poison.NewTable(poison.Config{}), clock.Boot, zerolog.Nop())
		send := func(endpoint, body string, outcome error) error {
			r := &request.Request{Kind: wire.KindRouted, Body: []byte(body), Endpoint: &bundle.Endpoint{Name: endpoint, Address: "a"}}
			return f.Do(context.Background(), r, func(context.Context, *request.Request) error { return outcome })
		}
		for _, e := range []string{"e0", "e1", "e2"} {
			_ = send(e, "popular", &dispatch.NoResponseError{Sent: true, Cause: io.EOF})
		}
		_ = send("e2", "another", c.answer)
		var quarantined *quarantine.QuarantinedError
		NewWithT(t).Expect(errors.As(send("e3", "popular", nil), &quarantined)).To(Equal(!c.alive), name)
	}
}
