package peers

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/directory"
	"coveferry/internal/follow"
	"coveferry/internal/idle"
)

// failureTTL is how long after a failed call the origin counts as unavailable. A router that gets
// its updates from peers may never call it again. Routers that do keep calling call more often
// than this, even if each call runs into its timeout.
const failureTTL = 3 * originCallInterval

// configResponseBytes is the size from which a response is taken to contain a configuration
// rather than changes of endpoints.
const configResponseBytes = 64 << 10

// Values of the label "for". A full read takes several requests to the origin.
const (
	callFull    = "everything"
	callUpdates = "news"
	callLatest  = "newest"
)

func newCallCounter(metrics prometheus.Registerer) *prometheus.CounterVec {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "coveferry_source_calls_total",
		Help: "Calls of this router to the source of the configuration and the list of endpoints, by what they ask for.",
	}, []string{"for"})
	if metrics != nil {
		metrics.MustRegister(calls)
	}
	return calls
}

// monitoredOrigin tracks for how long the calls to an origin have been failing.
type monitoredOrigin struct {
	Origin
	// onAnswer is called after each answer.
	onAnswer func()
	calls    *prometheus.CounterVec
	mu       sync.Mutex
	// failingSince is when the first of the current series of failed calls was sent; zero
	// while calls succeed or before the first. lastFailure is when the last call failed.
	failingSince, lastFailure time.Time
	// received counts the bytes of the last call's response. configPending is set once a
	// response grows long enough to contain a configuration, and cleared by a successful call.
	received      int
	configPending bool
}

// startCall resets the byte count and returns the context for a call.
func (m *monitoredOrigin) startCall(ctx context.Context) context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.received = 0
	return idle.WithCounter(ctx, m.countBytes)
}

// countBytes counts received bytes of a response.
func (m *monitoredOrigin) countBytes(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.received += bytes
	m.configPending = m.configPending || m.received >= configResponseBytes
}

// isConfigPending reports whether the origin has begun a long response, mostly a configuration,
// that this router hasn't received completely.
func (m *monitoredOrigin) isConfigPending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.configPending
}

// unavailableFor returns for how long calls have been failing; 0 while they succeed, or if no
// call failed recently.
func (m *monitoredOrigin) unavailableFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failingSince.IsZero() || time.Since(m.lastFailure) > failureTTL {
		return 0
	}
	return time.Since(m.failingSince)
}

// recordResult records the result of a call and when the call was sent.
func (m *monitoredOrigin) recordResult(sent time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if err == nil || errors.Is(err, follow.ErrHistoryLost) {
		m.failingSince, m.configPending = time.Time{}, false
		m.onAnswer()
		return
	}
	if m.failingSince.IsZero() || now.Sub(m.lastFailure) > failureTTL {
		m.failingSince = sent
	}
	m.lastFailure = now
}

// Read implements follow.Source.
func (m *monitoredOrigin) Read(ctx context.Context, fresh bool) (follow.Reading, error) {
	m.calls.WithLabelValues(callFull).Inc()
	sent := time.Now()
	r, err := m.Origin.Read(m.startCall(ctx), fresh)
	m.recordResult(sent, err)
	return r, err
}

// Await implements follow.Source. ErrHistoryLost counts as an answer.
func (m *monitoredOrigin) Await(ctx context.Context, after directory.Revision, wait time.Duration) (follow.Reading, error) {
	m.calls.WithLabelValues(callUpdates).Inc()
	sent := time.Now()
	r, err := m.Origin.Await(m.startCall(ctx), after, wait)
	m.recordResult(sent, err)
	return r, err
}

// CatchUp implements Origin.
func (m *monitoredOrigin) CatchUp(ctx context.Context, after directory.Revision) (follow.Reading, error) {
	m.calls.WithLabelValues(callLatest).Inc()
	sent := time.Now()
	r, err := m.Origin.CatchUp(m.startCall(ctx), after)
	m.recordResult(sent, err)
	return r, err
}

// OriginUnavailableFor returns for how long this router's own calls to the origin have been
// failing; 0 while they succeed or if it made none recently. Its state may still be fresh, by
// updates from peers.
func (s *Source) OriginUnavailableFor() time.Duration { return s.origin.unavailableFor() }
