package slo

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Path is the HTTP path of a router's report.
const Path = "/slo"

// Config configures a Tracker.
type Config struct {
	// Router is the router's name in reports.
	Router string
	// Now is the clock.
	Now func() time.Time
	// Objectives is called for each report, because bundles change.
	Objectives func() Objectives
	// Registry receives the metrics.
	Registry prometheus.Registerer
}

// Tracker combines a Recorder with a clock, the metrics and an HTTP handler. It is
// safe for concurrent use.
type Tracker struct {
	cfg     Config
	rec     *Recorder
	metrics *Metrics
}

// NewTracker returns a tracker and registers its metrics.
func NewTracker(cfg Config) *Tracker {
	t := &Tracker{cfg: cfg, rec: NewRecorder()}
	t.metrics = NewMetrics(cfg.Registry, t.rows)
	return t
}

// Record counts a request that has just ended.
func (t *Tracker) Record(key Key, o Outcome) {
	res := Classify(o)
	key = t.rec.Record(t.cfg.Now(), key, res)
	t.metrics.Count(key, res)
}

func (t *Tracker) rows() []Row { return t.rec.Rows(t.cfg.Now(), t.cfg.Objectives()) }

// Report returns the current report.
func (t *Tracker) Report() Report {
	return Report{Format: Format, Routers: []string{t.cfg.Router}, At: t.cfg.Now().UTC(), Rows: t.rows()}
}

// ServeHTTP serves the report as JSON.
func (t *Tracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "use GET", http.StatusMethodNotAllowed)
		return
	}
	text, err := json.Marshal(t.Report())
	if err != nil {
		http.Error(w, "the report can't be written as JSON", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(append(text, '\n')) // fails only if the client disconnected
}
