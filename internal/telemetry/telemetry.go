// Package telemetry serves the metrics, liveness and readiness of a process over
// HTTP: /metrics, /healthz and /readyz.
package telemetry

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// HTTP paths.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
)

// Readiness is a set of gates. A process is ready while all gates are open.
// Readiness is safe for concurrent use.
type Readiness struct {
	mu     sync.Mutex
	closed []string
	notes  map[string]string
}

// NewReadiness returns a Readiness with the given gates, all closed.
func NewReadiness(gates ...string) *Readiness {
	return &Readiness{closed: slices.Clone(gates)}
}

// Open opens a gate.
func (r *Readiness) Open(gate string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = slices.DeleteFunc(r.closed, func(g string) bool { return g == gate })
}

// Close closes a gate.
func (r *Readiness) Close(gate string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.closed, gate) {
		r.closed = append(r.closed, gate)
	}
}

// Closed returns the names of the closed gates.
func (r *Readiness) Closed() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.closed)
}

// SetNote sets the note of a topic in the health report. Notes don't affect
// readiness. An empty text removes the note.
func (r *Readiness) SetNote(topic, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if text == "" {
		delete(r.notes, topic)
		return
	}
	if r.notes == nil {
		r.notes = make(map[string]string)
	}
	r.notes[topic] = text
}

// health returns the current health report.
func (r *Readiness) health() Health {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Health{Ready: len(r.closed) == 0, Waiting: slices.Clone(r.closed), Notes: maps.Clone(r.notes)}
}

// Health is the body of /readyz and /healthz.
type Health struct {
	Ready bool `json:"ready"`
	// Waiting lists the closed gates.
	Waiting []string `json:"waiting,omitempty"`
	// Notes are further information for operators, by topic.
	Notes map[string]string `json:"notes,omitempty"`
}

// NewRegistry returns a registry with Go runtime, process and build metrics.
func NewRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewBuildInfoCollector(),
	)
	return reg
}

// NewMux returns a mux that serves metrics and health. A process may add handlers
// of its own.
func NewMux(reg *prometheus.Registry, ready *Readiness) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		h := ready.health()
		writeHealth(w, Health{Ready: h.Ready, Notes: h.Notes}, http.StatusOK)
	})
	mux.HandleFunc("GET "+PathReady, func(w http.ResponseWriter, _ *http.Request) {
		h := ready.health()
		status := http.StatusOK
		if !h.Ready {
			status = http.StatusServiceUnavailable
		}
		writeHealth(w, h, status)
	})
	return mux
}

func writeHealth(w http.ResponseWriter, h Health, status int) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(h) // the client may have disconnected
}
