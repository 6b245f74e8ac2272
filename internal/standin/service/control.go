package service

import (
	"net/http"

	"coveferry/internal/standin/web"
	"coveferry/internal/units"
)

// ServiceTimeRequest is the body of a request to /control/service-time.
type ServiceTimeRequest struct {
	ServiceTime units.Duration `json:"service_time"`
}

// FailRequest is the body of a request to /control/fail.
type FailRequest struct {
	At    Point `json:"at"`
	Times int   `json:"times"`
}

func (s *Service) addControls(mux *http.ServeMux) {
	mux.HandleFunc("GET /control/record", func(w http.ResponseWriter, _ *http.Request) {
		web.WriteJSON(w, http.StatusOK, s.Record())
	})
	mux.HandleFunc("POST /control/service-time", s.controlTime)
	mux.HandleFunc("POST /control/fail", s.controlFail)
	mux.HandleFunc("POST /control/crash", func(w http.ResponseWriter, _ *http.Request) {
		s.Crash()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /control/restart", func(w http.ResponseWriter, _ *http.Request) {
		s.Restart()
		w.WriteHeader(http.StatusNoContent)
	})
}

func (s *Service) controlTime(w http.ResponseWriter, r *http.Request) {
	req, err := web.ReadJSON[ServiceTimeRequest](w, r)
	if err != nil {
		web.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.SetServiceTime(req.ServiceTime.Std())
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) controlFail(w http.ResponseWriter, r *http.Request) {
	req, err := web.ReadJSON[FailRequest](w, r)
	if err != nil {
		web.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	if req.At != BeforeEffect && req.At != AfterEffect {
		web.WriteError(w, http.StatusBadRequest, `at must be "before" or "after"`)
		return
	}
	s.Fail(req.At, req.Times)
	w.WriteHeader(http.StatusNoContent)
}
