// Package weights is a stub (stand-in) of the platform's weight store, from
// which engines fetch the weights of a model.
//
// It imitates an object store with quotas: GET /weights/{model} sends the
// model's bytes. A token bucket in bytes per second bounds all downloads
// together, and calls beyond a request rate are answered with 429 and
// Retry-After. The store can be slowed down, and taken down, which aborts
// downloads.
//
// The bytes are a function of the model's name. Left out: ranges, digests,
// authentication and uploads.
package weights

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/time/rate"

	"coveferry/internal/standin/web"
)

// Config describes a weight store.
type Config struct {
	// Sizes are the sizes of the models in bytes.
	Sizes map[string]int64
	// BytesPerSecond bounds all downloads together; 0 means 1 GiB/s.
	BytesPerSecond float64
	// RequestsPerSecond limits the calls; 0 means 100.
	RequestsPerSecond float64
	// RequestBurst is the number of calls allowed at once; 0 means 1.
	RequestBurst int
}

const (
	defaultBytes    = 1 << 30
	defaultRequests = 100
	// chunkBytes is the size of a write and the burst of the token bucket.
	chunkBytes = 64 << 10
)

// PathWeights is the prefix of a model's path.
const PathWeights = "/weights/"

// Stats counts the calls since the store was created.
type Stats struct {
	Calls   int   `json:"calls"`
	Limited int   `json:"limited"`
	Bytes   int64 `json:"bytes"`
	// Completed counts the downloads that were sent completely.
	Completed int `json:"completed"`
}

// Store is a stub weight store. It is safe for concurrent use.
type Store struct {
	sizes    map[string]int64
	bytes    *rate.Limiter
	requests *rate.Limiter
	gate     *web.Gate

	mu    sync.Mutex
	stats Stats
}

// New returns a store that is up.
func New(cfg Config) *Store {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = defaultBytes
	}
	if cfg.RequestsPerSecond == 0 {
		cfg.RequestsPerSecond = defaultRequests
	}
	return &Store{
		sizes:    cfg.Sizes,
		bytes:    rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), chunkBytes),
		requests: rate.NewLimiter(rate.Limit(cfg.RequestsPerSecond), max(1, cfg.RequestBurst)),
		gate:     web.NewGate(),
	}
}

// SetBytesPerSecond changes the rate of the token bucket. Chunks that already
// wait for tokens keep the old rate.
func (s *Store) SetBytesPerSecond(n float64) { s.bytes.SetLimit(rate.Limit(n)) }

// SetDown takes the store down, which aborts all downloads, or brings it up.
func (s *Store) SetDown(down bool) { s.gate.SetClosed(down) }

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Handler serves the weights.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathWeights+"{model...}", s.serve)
	return s.gate.Wrap(mux)
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	if !s.allowCall() {
		w.Header().Set("Retry-After", "1")
		web.WriteError(w, http.StatusTooManyRequests, "too many requests")
		return
	}
	model := r.PathValue("model")
	size, ok := s.sizes[model]
	if !ok {
		web.WriteError(w, http.StatusNotFound, "no such model")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	if err := s.send(r.Context(), w, model, size); err != nil {
		web.AbortConnection()
	}
}

func (s *Store) allowCall() bool {
	ok := s.requests.Allow()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Calls++
	if !ok {
		s.stats.Limited++
	}
	return ok
}

func (s *Store) send(ctx context.Context, w http.ResponseWriter, model string, size int64) error {
	src := contentStream(model)
	buf := make([]byte, chunkBytes)
	for remaining := size; remaining > 0; {
		n := int(min(remaining, chunkBytes))
		if err := s.bytes.WaitN(ctx, n); err != nil {
			return err
		}
		_, _ = src.Read(buf[:n]) // never fails
		if _, err := w.Write(buf[:n]); err != nil {
			return err
		}
		remaining -= int64(n)
		s.addStats(int64(n), 0)
	}
	s.addStats(0, 1)
	return nil
}

func (s *Store) addStats(bytes int64, completed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Bytes += bytes
	s.stats.Completed += completed
}

// contentStream returns the endless byte stream whose beginning is the model's
// weights.
func contentStream(model string) *rand.ChaCha8 {
	var seed [32]byte
	h := fnv.New128a()
	_, _ = h.Write([]byte(model)) // never fails
	h.Sum(seed[:0])
	return rand.NewChaCha8(seed)
}
