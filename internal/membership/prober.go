package membership

import (
	"cmp"
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/wire"
)

const (
	// probeTick is how often a prober checks for due probes; with Tuning.ProbeBatch it
	// bounds a router's probes per second.
	probeTick = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxStatusBytes bounds the status that a probe reads.
	maxStatusBytes = 16 << 10
)

// Prober probes endpoints that aren't live.
type Prober struct {
	tracker *Tracker
	client  *http.Client
	scheme  string
	// healthCheck checks an endpoint without an agent; nil if all have one.
	healthCheck HealthCheck
}

// ErrProbeSkipped is returned by a HealthCheck that sent nothing, because the endpoint must not
// be contacted at this time. It doesn't count as a failure of the endpoint.
var ErrProbeSkipped = errors.New("membership: probe skipped: the endpoint must not be contacted now")

// HealthCheck checks the health of an endpoint that has no agent. Its error means that the
// endpoint failed the check, unless it is ErrProbeSkipped.
type HealthCheck func(ctx context.Context, endpoint string) (HealthResult, error)

// HealthResult is the result of a health check.
type HealthResult struct {
	// Connected reports whether a connection was established.
	Connected bool
	// Leaving says that the endpoint answered that it is leaving, which is no failure.
	Leaving bool
}

// NewHealthProber returns a prober for endpoints without agents.
func NewHealthProber(t *Tracker, h HealthCheck) *Prober { return &Prober{tracker: t, healthCheck: h} }

// NewProber returns a prober that connects to agents in the same way as the router's
// attempts.
func NewProber(t *Tracker, client *http.Client, scheme string) *Prober {
	return &Prober{tracker: t, client: client, scheme: scheme}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	due := func(time.Time) []string { return p.tracker.dueProbes() }
	RunChecks(ctx, probeTick, due, p.probe)
}

func (p *Prober) probe(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	spec := p.tracker.endpointSpec(name)
	sent := time.Now()
	status, err := p.fetchStatus(ctx, spec)
	if errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, ErrProbeSkipped) {
		return // the router is stopping, or the probe was skipped
	}
	p.tracker.metrics.probes.WithLabelValues(outcomeOf(err)).Inc()
	var failed *ProbeError
	if errors.As(err, &failed) {
		p.tracker.Failed(name, spec.Incarnation, failed.Connected)
		return
	}
	status.Sent = sent
	p.tracker.handleStatus(status)
}

// fetchStatus sends one probe. Its error is a *ProbeError.
func (p *Prober) fetchStatus(ctx context.Context, spec EndpointSpec) (AgentStatus, error) {
	if p.healthCheck != nil {
		return p.checkHealth(ctx, spec)
	}
	name := spec.Endpoint
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	var status wire.Status
	url := p.scheme + "://" + spec.Address + wire.PathStatus
	err := getJSON(ctx, p.client, url, maxStatusBytes, &status)
	if err == nil && status.Endpoint != name {
		err = errors.Newf("the address belongs to %q", status.Endpoint)
	}
	if err != nil {
		return AgentStatus{}, &ProbeError{Endpoint: name, Connected: connected, Cause: err}
	}
	return AgentStatus{
		Endpoint: name, Incarnation: status.Clock.Incarnation, Seq: status.Load.Seq,
		Leaving: status.Load.Leaving, Via: ReasonCheck,
	}, nil
}

// checkHealth returns the result of a health check as a status. The status is attributed to
// the incarnation that was known when the check was sent.
func (p *Prober) checkHealth(ctx context.Context, spec EndpointSpec) (AgentStatus, error) {
	result, err := p.healthCheck(ctx, spec.Endpoint)
	if err != nil {
		return AgentStatus{}, &ProbeError{Endpoint: spec.Endpoint, Connected: result.Connected, Cause: err}
	}
	return AgentStatus{
		Endpoint: spec.Endpoint, Incarnation: cmp.Or(spec.Incarnation, spec.Endpoint),
		Leaving: result.Leaving, Accepting: !result.Leaving, Via: ReasonCheck,
	}, nil
}

// endpointSpec returns an endpoint of the bundle in force; only the name is set if the bundle
// doesn't define it.
func (t *Tracker) endpointSpec(endpoint string) EndpointSpec {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.core.endpoints[endpoint]; e != nil {
		return e.spec
	}
	return EndpointSpec{Endpoint: endpoint}
}
