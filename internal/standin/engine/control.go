package engine

import (
	"net/http"
	"slices"

	"coveferry/internal/standin/web"
)

// State is the response of /control/state: injected faults, load, and the
// effects of orders.
type State struct {
	Speed    float64       `json:"speed"`
	Crashed  bool          `json:"crashed"`
	Paused   bool          `json:"paused"`
	Hung     bool          `json:"hung"`
	Running  int           `json:"running"`
	Waiting  int           `json:"waiting"`
	KVUsed   int           `json:"kv_used"`
	Models   []string      `json:"models"`
	Adapters []string      `json:"adapters"`
	Version  string        `json:"version"`
	Role     string        `json:"role"`
	Fence    uint64        `json:"fence"`
	Orders   []OrderRecord `json:"orders"`
}

// RecordReply is the response of /control/record.
type RecordReply struct {
	Totals Totals `json:"totals"`
	Runs   []Run  `json:"runs"`
}

// SpeedRequest is the body of a request to /control/speed.
type SpeedRequest struct {
	Speed float64 `json:"speed"`
}

// State returns the current state, without LoadLag.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{
		Speed:    e.speed,
		Crashed:  e.crashed,
		Paused:   e.paused,
		Hung:     e.hung,
		Running:  len(e.running),
		Waiting:  e.waiting.Len(),
		KVUsed:   e.kvUsed,
		Models:   slices.Clone(e.assets.models),
		Adapters: slices.Clone(e.assets.adapters),
		Version:  e.assets.version,
		Role:     e.assets.role,
		Fence:    e.assets.fence,
		Orders:   slices.Clone(e.orders),
	}
}

// controls serves /control/, in every state of the engine.
func (e *Engine) controls() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/state", func(w http.ResponseWriter, _ *http.Request) {
		web.WriteJSON(w, http.StatusOK, e.State())
	})
	mux.HandleFunc("GET /control/record", func(w http.ResponseWriter, _ *http.Request) {
		web.WriteJSON(w, http.StatusOK, RecordReply{Totals: e.Totals(), Runs: e.Record()})
	})
	mux.HandleFunc("POST /control/speed", e.controlSpeed)
	e.control(mux, "crash", e.Crash)
	e.control(mux, "restart", e.Restart)
	e.control(mux, "pause", e.Pause)
	e.control(mux, "hang", e.Hang)
	e.control(mux, "resume", e.Resume)
	return mux
}

func (e *Engine) control(mux *http.ServeMux, name string, do func()) {
	mux.HandleFunc("POST /control/"+name, func(w http.ResponseWriter, _ *http.Request) {
		do()
		web.WriteJSON(w, http.StatusOK, e.State())
	})
}

func (e *Engine) controlSpeed(w http.ResponseWriter, r *http.Request) {
	req, err := readJSON[SpeedRequest](w, r)
	if err == nil && req.Speed <= 0 {
		err = badRequest("speed must be above 0")
	}
	if err != nil {
		writeError(w, err)
		return
	}
	e.SetSpeed(req.Speed)
	web.WriteJSON(w, http.StatusOK, e.State())
}
