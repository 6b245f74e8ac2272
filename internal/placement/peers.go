package placement

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// extraPeersQueried is how many keepers more than needed are queried at a
	// time.
	extraPeersQueried    = 4
	maxConcurrentQueries = 8
)

// queryPeers queries keepers of the surplus models for their reports, shortly
// before the agent's slot to unload. It queries a bounded number, and others
// each time, so that unresponsive peers don't block an unload.
func (r *Runner) queryPeers(ctx context.Context, plan *Plan) map[string]TimedReport {
	now := wallTime(time.Now())
	if plan.UnloadSlots.Next(now).Sub(now) > r.cfg.MaxReportAge {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(queryTimeout, r.cfg.MaxReportAge/2))
	defer cancel()
	var mu sync.Mutex
	reports := make(map[string]TimedReport)
	var queries errgroup.Group
	queries.SetLimit(maxConcurrentQueries)
	for name, peer := range r.peersToQuery(plan) {
		queries.Go(func() error {
			at := wallTime(time.Now())
			var report Report
			if getJSON(ctx, r.cfg.Peers, r.cfg.Scheme+"://"+peer.Address+PathReport, &report) != nil || report.Endpoint != name {
				return nil // a peer without a valid report doesn't count
			}
			mu.Lock()
			defer mu.Unlock()
			reports[name] = TimedReport{Report: report, RequestedAt: at}
			return nil
		})
	}
	_ = queries.Wait() // the queries return no errors
	return reports
}

// peersToQuery selects the peers to query next.
func (r *Runner) peersToQuery(plan *Plan) map[string]Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Peer)
	for _, model := range Surplus(plan, &r.state) {
		keepers := plan.plannedKeepers(model)
		limit := min(plan.MinReady+extraPeersQueried, len(keepers))
		for i := range limit {
			peer := keepers[(r.queryOffset+i)%len(keepers)]
			out[peer.Name] = peer
		}
	}
	r.queryOffset += extraPeersQueried
	return out
}

// Wrap returns a handler that also serves this agent's report and status.
func (r *Runner) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("GET "+PathReport, r.serveReport)
	mux.HandleFunc("GET "+PathStatus, r.serveStatus)
	return mux
}

// serveReport queries the engine first, as the runner may not have noticed a
// crash.
func (r *Runner) serveReport(w http.ResponseWriter, req *http.Request) {
	if err := r.observe(req.Context()); err != nil {
		http.Error(w, "the engine's state isn't known", http.StatusServiceUnavailable)
		return
	}
	report, ok := r.report()
	if !ok {
		http.Error(w, "this agent places nothing", http.StatusNotFound)
		return
	}
	writeJSON(w, report)
}

func (r *Runner) report() (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plan == nil || r.fenced || r.leaving {
		return Report{}, false
	}
	return newReport(r.plan, &r.state), true
}

func (r *Runner) serveStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Status()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
