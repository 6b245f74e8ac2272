package agent_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/agent"
	"coveferry/internal/filters/relay"
	"coveferry/internal/request"
	"coveferry/internal/sched/fifo"
	"coveferry/internal/wire"
)

// fixedEngine is an engine that answers each request with the same bytes.
type fixedEngine string

func (c fixedEngine) RoundTrip(*http.Request) (*http.Response, error) {
	body := io.NopCloser(strings.NewReader(string(c)))
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body}, nil
}

// Whatever an engine sends, the agent and the router must agree on whether the
// answer is complete, and only a complete answer may end with the final event.
func FuzzHostileEngine(f *testing.F) {
	for _, stream := range []string{
		textChunk + endChunk + doneEvent, textChunk + doneEvent, textChunk, toolChunk + endChunk, endChunk + textChunk,
		"event: error\ndata: {}\n\n" + doneEvent, "data: {\"error\":{}}\n\n", strings.Replace(endChunk, "stop", "abort", 1) + doneEvent,
	} {
		f.Add(stream)
	}
	f.Fuzz(func(t *testing.T, stream string) {
		g := NewWithT(t)
		ag := agent.New(agent.Config{
			Endpoint: "e", Engine: agent.Engine{URL: "http://engine"}, MaxBody: 1 << 10,
			Policy: fifo.New(fifo.Config{Slots: 1}), Client: &http.Client{Transport: fixedEngine(stream)},
		})
		resp := attempt(g, ag, wire.Envelope{Request: "r", DeadlineMillis: 60_000})
		end := ending(g, resp)
		if end != wire.EndingComplete && end != wire.EndingEngineFailed {
			t.Fatalf("ending %q", end)
		}
		caller := httptest.NewRecorder()
		err := relay.Filter{}.Do(context.Background(), &request.Request{
			Kind: wire.KindChat, Stream: true, Writer: caller, Answer: resp,
		}, nil)
		whole := strings.HasSuffix(caller.Body.String(), doneEvent)
		if (err == nil) != (end == wire.EndingComplete) || whole != (err == nil) {
			t.Fatalf("the agent reports %q, the router %v, the caller received %q", end, err, caller.Body)
		}
		for _, event := range strings.Split(caller.Body.String(), "\n\n") {
			data := strings.TrimPrefix(event, "data: ")
			if data != "" && data != "[DONE]" && !json.Valid([]byte(strings.ReplaceAll(data, "\ndata: ", "\n"))) {
				t.Fatalf("the caller received %q", event)
			}
		}
	})
}
