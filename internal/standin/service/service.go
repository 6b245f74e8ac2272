// Package service is a stub (stand-in) of a plain HTTP service beside the model
// engines, such as one that issues filing receipts or accepts damage
// reports. It answers every POST, whatever the path, with a hash of the body
// and a run number, so that a repeated call can be detected.
//
// It imitates a service whose calls have an effect that must not happen twice:
// it works for a configured service time, then applies the effect, then sends the
// answer. As with most such services, the work continues when the caller
// disconnects. A crash can hit a call before or after its effect; the caller sees
// the same aborted connection in both cases.
//
// /control/ holds fault injection for experiments: POST /control/service-time,
// /fail, /crash and /restart, GET /control/record. Left out: authentication, other
// methods, and idempotency on the service's side; the Idempotency-Key header
// is recorded and otherwise ignored.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"

	"coveferry/internal/standin/web"
)

// Config describes a service.
type Config struct {
	// ServiceTime is the time from the start of a call to its effect.
	ServiceTime time.Duration
	// RecordLimit bounds the number of recorded calls; 0 means 1,000,000.
	RecordLimit int
}

const (
	defaultRecordLimit = 1_000_000
	// bodyLimit bounds the body of a call in bytes.
	bodyLimit = 64 << 20
)

// Headers that are recorded.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Point is a stage of a call at which it can fail.
type Point string

// The points at which a call can fail.
const (
	BeforeEffect Point = "before"
	AfterEffect  Point = "after"
)

// Receipt is the answer to a call.
type Receipt struct {
	// Run is the number of effects so far, including this one.
	Run int `json:"run"`
	// Hash is the body's SHA-256 in hexadecimal.
	Hash  string `json:"hash"`
	Bytes int    `json:"bytes"`
	Path  string `json:"path"`
}

// Call is a recorded call.
type Call struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Path           string    `json:"path"`
	Hash           string    `json:"hash"`
	Start          time.Time `json:"start"`
	// Run is the number of the call's effect; 0 if it has none, or not yet.
	Run int `json:"run"`
	// Effect is the time of the effect.
	Effect time.Time `json:"effect,omitzero"`
	// Cut reports whether a failure aborted the call's connection.
	Cut bool `json:"cut"`
}

// Record holds the calls in order of arrival.
type Record struct {
	Calls []Call `json:"calls"`
	// Effects counts all effects, Dropped the calls not recorded because of
	// Config.RecordLimit.
	Effects int `json:"effects"`
	Dropped int `json:"dropped"`
}

// Service is a stub service. It is safe for concurrent use.
type Service struct {
	recordLimit int

	mu          sync.Mutex
	serviceTime time.Duration
	failures    map[Point]int
	calls       []*Call
	effects     int
	dropped     int
	// crashed is closed by a crash, nil while the service is down, and created
	// anew by each restart.
	crashed chan struct{}
}

// New returns a service that is up.
func New(cfg Config) *Service {
	if cfg.RecordLimit == 0 {
		cfg.RecordLimit = defaultRecordLimit
	}
	return &Service{
		recordLimit: cfg.RecordLimit,
		serviceTime: cfg.ServiceTime,
		failures:    make(map[Point]int),
		crashed:     make(chan struct{}),
	}
}

// SetServiceTime sets the service time of subsequent calls.
func (s *Service) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = d
}

// Fail aborts the connections of the next calls that reach the point, as many as
// times says. The service stays up.
func (s *Service) Fail(at Point, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures[at] = times
}

// Crash aborts the calls in progress before their effect, and fails further
// calls until Restart.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed == nil {
		return
	}
	close(s.crashed)
	s.crashed = nil
}

// Restart brings a crashed service up again. The record survives a crash.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed == nil {
		s.crashed = make(chan struct{})
	}
}

// Record returns the calls so far.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Record{Calls: make([]Call, 0, len(s.calls)), Effects: s.effects, Dropped: s.dropped}
	for _, c := range s.calls {
		r.Calls = append(r.Calls, *c)
	}
	return r
}

// Handler serves the service and /control/.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", s.serve)
	s.addControls(mux)
	return mux
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		web.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	sum := sha256.Sum256(body)
	c := &Call{
		RequestID:      r.Header.Get(HeaderRequestID),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Path:           r.URL.Path,
		Hash:           hex.EncodeToString(sum[:]),
		Start:          time.Now(),
	}
	t, ok := s.startCall(c)
	if !ok {
		web.AbortConnection()
	}
	t.work()
	if !s.applyEffect(t) {
		s.abortCall(c)
	}
	web.WriteJSON(w, http.StatusOK, Receipt{Run: c.Run, Hash: c.Hash, Bytes: len(body), Path: c.Path})
}

// task is a call in progress.
type task struct {
	call        *Call
	serviceTime time.Duration
	crashed     chan struct{} // Service.crashed at the start of the call
}

// startCall records a call; it returns false if the service is down.
func (s *Service) startCall(c *Call) (task, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed == nil {
		return task{}, false
	}
	if len(s.calls) < s.recordLimit {
		s.calls = append(s.calls, c)
	} else {
		s.dropped++
	}
	return task{call: c, serviceTime: s.serviceTime, crashed: s.crashed}, true
}

// work waits for the service time, or until the service crashes.
func (t task) work() {
	timer := time.NewTimer(t.serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.crashed:
	}
}

// applyEffect applies the call's effect. It returns false if the call fails
// before or after it.
func (s *Service) applyEffect(t task) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.crashed != s.crashed || s.consumeFailure(BeforeEffect) {
		return false
	}
	s.effects++
	t.call.Run = s.effects
	t.call.Effect = time.Now()
	return !s.consumeFailure(AfterEffect)
}

func (s *Service) consumeFailure(at Point) bool {
	if s.failures[at] == 0 {
		return false
	}
	s.failures[at]--
	return true
}

func (s *Service) abortCall(c *Call) {
	s.mu.Lock()
	c.Cut = true
	s.mu.Unlock()
	web.AbortConnection()
}
