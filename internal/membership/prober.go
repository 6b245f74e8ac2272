package membership

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/wire"
)

const (
	// probeTick is how often a prober looks for endpoints to ask; with
	// Tuning.ProbeBatch it bounds a router's probes a second.
	probeTick = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxStatusBytes bounds the status that a probe reads.
	maxStatusBytes = 16 << 10
)

// Prober asks endpoints that aren't live for their status.
type Prober struct {
	tracker *Tracker
	client  *http.Client
	scheme  string
	// health asks an endpoint without an agent; nil if all have one.
	health Health
}

// Health asks an endpoint that has no agent whether it is healthy. sent says
// that a connection was had.
type Health func(ctx context.Context, endpoint string) (sent bool, err error)

// NewHealthProber returns a prober of endpoints that have no agent.
func NewHealthProber(t *Tracker, h Health) *Prober { return &Prober{tracker: t, health: h} }

// NewProber returns a prober that reaches agents as the router's attempts do.
func NewProber(t *Tracker, client *http.Client, scheme string) *Prober {
	return &Prober{tracker: t, client: client, scheme: scheme}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	tick := time.NewTicker(probeTick)
	defer tick.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, name := range p.tracker.probes() {
			open.Go(func() { p.probe(ctx, name) })
		}
	}
}

func (p *Prober) probe(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := p.ask(ctx, name)
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the router stops
	}
	p.tracker.metrics.probes.WithLabelValues(outcomeOf(err)).Inc()
	var failed *ProbeError
	if errors.As(err, &failed) {
		p.tracker.Failed(name, failed.Sent)
		return
	}
	p.tracker.checked(name, status.Clock, status.Load)
}

// ask asks once. Its error is a *ProbeError.
func (p *Prober) ask(ctx context.Context, name string) (wire.Status, error) {
	if p.health != nil {
		return p.askHealth(ctx, name)
	}
	sent := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true },
	})
	var status wire.Status
	url := p.scheme + "://" + p.tracker.address(name) + wire.PathStatus
	err := getJSON(ctx, p.client, url, maxStatusBytes, &status)
	if err == nil && status.Endpoint != name {
		err = errors.Newf("the address belongs to %q", status.Endpoint)
	}
	if err != nil {
		return wire.Status{}, &ProbeError{Endpoint: name, Sent: sent, Cause: err}
	}
	return status, nil
}

// askHealth turns the word of an endpoint without an agent into a status. The
// endpoint's name is that of one incarnation.
func (p *Prober) askHealth(ctx context.Context, name string) (wire.Status, error) {
	sent, err := p.health(ctx, name)
	if err != nil {
		return wire.Status{}, &ProbeError{Endpoint: name, Sent: sent, Cause: err}
	}
	return wire.Status{Endpoint: name, Clock: wire.Clock{Incarnation: name}}, nil
}

// address is that of an endpoint in the bundle in force, empty if it has none.
func (t *Tracker) address(endpoint string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.core.endpoints[endpoint]; e != nil {
		return e.place.Address
	}
	return ""
}
