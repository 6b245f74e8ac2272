// Package configsvc is a stub (stand-in) of the platform's configuration
// service, which the system can read and watch but not write.
//
// It imitates a key-value service with long polling, in the manner of Consul's
// blocking queries and of HTTP entity tags: GET /v1/values/{key} answers with
// the value and its version in ETag and X-Version, or with 304 if If-None-Match
// holds the current version. With ?wait=VERSION the answer is delayed until
// there is a later version, or for Config.MaxWait, after which it is 304. All
// calls count against one rate limit shared by all readers, a watch as one call;
// beyond it the answer is 429. The service can be taken down, which aborts all
// connections, and pinned to an old version for both reads and watches.
//
// Publishing is a method without an HTTP interface, since the system can't
// write. Left out: authentication, listing, deletion, and replicas with different
// content; use two Services for those.
package configsvc

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"coveferry/internal/standin/web"
)

// Config describes a configuration service.
type Config struct {
	// ReadsPerSecond limits the calls of all readers; 0 means 2,000.
	ReadsPerSecond float64
	// Burst is the number of calls allowed at once; 0 means a tenth of
	// ReadsPerSecond.
	Burst int
	// MaxWait bounds how long a watch waits; 0 means 30 s.
	MaxWait time.Duration
}

const (
	defaultReads   = 2000
	defaultMaxWait = 30 * time.Second
	burstDivisor   = 10
	// historyLimit is how many versions of a value are kept for Pin.
	historyLimit = 64
)

// ValueLimit is the size of the largest value in bytes.
const ValueLimit = 1 << 20

// PathValues is the prefix of a value's path.
const PathValues = "/v1/values/"

// HeaderVersion holds the version of the value in an answer.
const HeaderVersion = "X-Version"

// The errors of Publish and Pin.
var (
	ErrTooLarge       = errors.New("configsvc: the value is larger than a megabyte")
	ErrUnknownVersion = errors.New("configsvc: this version of the value isn't kept")
)

// Stats counts the calls since the service was created.
type Stats struct {
	// Calls counts all calls, Watches those with ?wait=, Limited those
	// rejected by the rate limit.
	Calls       int   `json:"calls"`
	Watches     int   `json:"watches"`
	Limited     int   `json:"limited"`
	NotModified int   `json:"not_modified"`
	Bytes       int64 `json:"bytes"` // of values sent
	// Waiting is the number of watches waiting now.
	Waiting int `json:"waiting"`
}

// Service is a stub service. It is safe for concurrent use.
type Service struct {
	cfg     Config
	limiter *rate.Limiter
	gate    *web.Gate

	mu      sync.Mutex
	values  map[string][]version // oldest first
	pinned  map[string]uint64
	stats   Stats
	changed chan struct{} // closed and replaced with each change
}

type version struct {
	number uint64
	data   []byte
}

// New returns a service that is up and has no values.
func New(cfg Config) *Service {
	if cfg.ReadsPerSecond == 0 {
		cfg.ReadsPerSecond = defaultReads
	}
	if cfg.Burst == 0 {
		cfg.Burst = max(1, int(cfg.ReadsPerSecond/burstDivisor))
	}
	if cfg.MaxWait == 0 {
		cfg.MaxWait = defaultMaxWait
	}
	return &Service{
		cfg:     cfg,
		limiter: rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.Burst),
		gate:    web.NewGate(),
		values:  make(map[string][]version),
		pinned:  make(map[string]uint64),
		changed: make(chan struct{}),
	}
}

// Publish stores a new version of a value and returns its number, which starts
// at 1 for each key. It returns ErrTooLarge if the value exceeds ValueLimit.
func (s *Service) Publish(key string, data []byte) (uint64, error) {
	if len(data) > ValueLimit {
		return 0, ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := s.values[key]
	next := version{number: 1, data: append([]byte(nil), data...)}
	if len(versions) > 0 {
		next.number = versions[len(versions)-1].number + 1
	}
	if len(versions) == historyLimit {
		versions = versions[1:]
	}
	s.values[key] = append(versions, next)
	s.notifyWatches()
	return next.number, nil
}

// Pin makes reads and watches of the key see this version until Unpin. It
// returns ErrUnknownVersion if the version isn't kept.
func (s *Service) Pin(key string, number uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := findVersion(s.values[key], number); !ok {
		return ErrUnknownVersion
	}
	s.pinned[key] = number
	s.notifyWatches()
	return nil
}

// Unpin ends Pin.
func (s *Service) Unpin(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pinned, key)
	s.notifyWatches()
}

// SetDown takes the service down, which aborts all watches, or brings it up.
func (s *Service) SetDown(down bool) { s.gate.SetClosed(down) }

// Stats returns the counts so far.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Service) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func findVersion(versions []version, number uint64) (version, bool) {
	for _, v := range versions {
		if v.number == number {
			return v, true
		}
	}
	return version{}, false
}
