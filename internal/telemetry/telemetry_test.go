package telemetry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"coveferry/internal/telemetry"
)

func get(mux *http.ServeMux, path string) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	mux.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, path, nil))
	return rec
}

func TestReadyListsClosedGates(t *testing.T) {
	g := gomega.NewWithT(t)
	ready := telemetry.NewReadiness("bundle", "serving")
	mux := telemetry.NewMux(telemetry.NewRegistry(), ready)

	rec := get(mux, telemetry.PathReady)
	g.Expect(rec.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(rec.Body.String()).To(gomega.MatchJSON(`{"ready":false,"waiting":["bundle","serving"]}`))
	g.Expect(rec.Header().Get("Content-Type")).To(gomega.Equal("application/json"))

	ready.Open("bundle")
	g.Expect(get(mux, telemetry.PathReady).Body.String()).To(gomega.MatchJSON(`{"ready":false,"waiting":["serving"]}`))
	ready.Open("serving")
	rec = get(mux, telemetry.PathReady)
	g.Expect(rec.Code).To(gomega.Equal(http.StatusOK))
	g.Expect(rec.Body.String()).To(gomega.MatchJSON(`{"ready":true}`))

	// Closing a gate twice lists it once, and one Open opens it.
	ready.Close("serving")
	ready.Close("serving")
	g.Expect(get(mux, telemetry.PathReady).Body.String()).To(gomega.MatchJSON(`{"ready":false,"waiting":["serving"]}`))
	ready.Open("serving")
	g.Expect(get(mux, telemetry.PathReady).Code).To(gomega.Equal(http.StatusOK))
}

// Liveness does not depend on readiness.
func TestHealthyWhileNotReady(t *testing.T) {
	g := gomega.NewWithT(t)
	mux := telemetry.NewMux(telemetry.NewRegistry(), telemetry.NewReadiness("bundle"))
	g.Expect(get(mux, telemetry.PathHealth).Code).To(gomega.Equal(http.StatusOK))
}

func TestMetricsIncludeProcessAndBuildInfo(t *testing.T) {
	g := gomega.NewWithT(t)
	rec := get(telemetry.NewMux(telemetry.NewRegistry(), telemetry.NewReadiness()), telemetry.PathMetrics)
	g.Expect(rec.Code).To(gomega.Equal(http.StatusOK))
	for _, name := range []string{"go_build_info", "go_goroutines", "process_open_fds"} {
		g.Expect(rec.Body.String()).To(gomega.ContainSubstring(name))
	}
}
