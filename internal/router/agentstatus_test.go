package router_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/router"
	"coveferry/internal/wire"
)

// agentStub answers each attempt in place of an agent.
type agentStub func(w http.ResponseWriter)

// RoundTrip implements http.RoundTripper.
func (a agentStub) RoundTrip(req *http.Request) (*http.Response, error) {
	_, _ = io.Copy(io.Discard, req.Body)
	w := httptest.NewRecorder()
	a(w)
	return w.Result(), nil
}

// Guards against callers who get no answer since an agent passes on a status that is none.
func TestEngineRefusalWithoutAFinalStatusIsAnError(t *testing.T) {
	refuse := agentStub(func(w http.ResponseWriter) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(wire.Refusal{Reason: wire.ReasonEngineRefused, Run: wire.RunNot})
	})
	before := func(c *router.Config) { c.Client = &http.Client{Transport: refuse} }
	serve(t, before, func(g *WithT, _ *router.Router, client *http.Client) {
		got := send(g, client, http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"x"}`))
		g.Expect(got.status).To(Equal(http.StatusBadGateway), "%+v", got)
		g.Expect(got.Error.Run).To(Equal(string(wire.RunUnknown)))
	})
}
