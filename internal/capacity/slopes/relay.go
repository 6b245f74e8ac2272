package slopes

import (
	"context"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/agent"
	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/capacity"
	"coveferry/internal/retry"
	"coveferry/internal/router"
	"coveferry/internal/sched/tiered"
	"coveferry/internal/server"
	"coveferry/internal/wire"
)

// relaySubstitute describes the difference from a real fleet, in which router and
// agent use HTTP/2 over mutual TLS.
const relaySubstitute = "plain HTTP/1.1 between router and agent; a source of tokens as the engine"

// Limits of the relays, too high to affect the measurement.
const (
	relayBodyLimit = 1 << 20
	relayMaxOpen   = 1 << 14
	relayDeadline  = 10 * 60 * 1000 // ms
	relayAttempts  = 1
	relayKey       = "team-0000-key-0"
)

func relayProbes() []probe {
	return []probe{
		{
			name:  "router-streams",
			sizes: []int{50, 100, 200, 400},
			series: append(relaySeries("router", capacity.RouterStreamMemory, capacity.RouterTokenCPU, capacity.RouterRequestCPU),
				capacity.Slope{ID: capacity.TokenBytes, Title: "token on the wire of one connection", Unit: capacity.UnitBytes, Per: "token", Substitute: relaySubstitute}),
			measure: func(ctx context.Context, n int) ([]float64, error) {
				r, err := measureRelay(ctx, n, setUpRouter)
				return []float64{r.memory, r.token, r.open, r.bytes}, err
			},
		},
		{
			name:   "agent-streams",
			sizes:  []int{50, 100, 200, 400},
			series: relaySeries("agent", capacity.AgentStreamMemory, capacity.AgentTokenCPU, capacity.AgentRequestCPU),
			measure: func(ctx context.Context, n int) ([]float64, error) {
				r, err := measureRelay(ctx, n, setUpAgent)
				return []float64{r.memory, r.token, r.open}, err
			},
		},
	}
}

func relaySeries(role string, memory, token, request capacity.SlopeID) []capacity.Slope {
	return []capacity.Slope{
		{ID: memory, Title: "open stream in the " + role + ", both its connections", Unit: capacity.UnitBytes, Per: "stream", Substitute: relaySubstitute},
		{ID: token, Title: "token relayed by the " + role, Unit: capacity.UnitSeconds, Per: "token", Substitute: relaySubstitute},
		{ID: request, Title: "request opened through the " + role + ", with its connections", Unit: capacity.UnitSeconds, Per: "request", Substitute: relaySubstitute},
	}
}

// measureRelay measures streams through a relay. The cost of the source and the
// callers is measured without the relay and subtracted.
func measureRelay(ctx context.Context, n int, setUp func(*tokenSource) (route, error)) (streamReading, error) {
	direct, err := runAndSettle(func() (streamReading, error) { return measureStreams(ctx, n, setUpDirect) })
	if err != nil {
		return streamReading{}, errors.Wrap(err, "direct")
	}
	relayed, err := measureStreams(ctx, n, setUp)
	if err != nil {
		return streamReading{}, errors.Wrap(err, "relayed")
	}
	return relayed.minus(direct), nil
}

func setUpDirect(src *tokenSource) (route, error) {
	url, stop, err := serve(src)
	return route{url: url, header: make(http.Header), stop: stop}, err
}

// setUpRouter sets up a router in front of the source, which replaces an agent.
func setUpRouter(src *tokenSource) (route, error) {
	origin, stopOrigin, err := serve(src)
	if err != nil {
		return route{}, err
	}
	client := server.NewClient(nil, nil)
	rt := router.New(router.Config{
		Snapshot:     relaySnapshot(strings.TrimPrefix(origin, "http://")),
		Pool:         balance.NewPool(balance.Config{Seed: 1}),
		Client:       client,
		Scheme:       "http",
		Retry:        retry.Naive{Max: relayAttempts},
		BodyTimeout:  handshakeTimeout,
		MaxOpen:      relayMaxOpen,
		MaxBodyBytes: relayMaxOpen * relayBodyLimit,
		Log:          zerolog.Nop(),
		Metrics:      prometheus.NewRegistry(),
	})
	front, stopFront, err := serve(rt.Handler())
	header := make(http.Header)
	header.Set("Authorization", "Bearer "+relayKey)
	header.Set("Content-Type", "application/json")
	return route{url: front + "/v1/chat/completions", header: header, stop: func() {
		stopFront()
		client.CloseIdleConnections()
		stopOrigin()
	}}, err
}

// relaySnapshot returns a snapshot with one endpoint and a team without limits.
func relaySnapshot(address string) *bundle.Snapshot {
	b := makeBundle(shape{endpoints: 1, teams: 1})
	b.Endpoints[0].Address = address
	b.Teams[0].Limits = bundle.TeamLimits{}
	return bundle.NewSnapshot(b)
}

// setUpAgent sets up an agent in front of the source, which replaces its engine.
func setUpAgent(src *tokenSource) (route, error) {
	origin, stopOrigin, err := serve(src)
	if err != nil {
		return route{}, err
	}
	client := server.NewClient(nil, nil)
	name := makeEndpoint(0).Name
	ag := agent.New(agent.Config{
		Endpoint: name,
		Engine:   agent.Engine{URL: origin},
		Policy:   tiered.New(tiered.Config{Slots: relayMaxOpen}),
		MaxBody:  relayBodyLimit,
		Log:      zerolog.Nop(),
		Metrics:  prometheus.NewRegistry(),
		Client:   client,
	})
	front, stopFront, err := serve(ag.Handler())
	header := make(http.Header)
	header.Set("Content-Type", "application/json")
	encoded := wire.Encode(header, wire.HeaderEnvelope, wire.Envelope{
		Request: "request-1", Endpoint: name, Epoch: 1, Kind: wire.KindChat, Team: "team-0000", Class: className(0),
		FirstTokenMillis: relayDeadline, DeadlineMillis: relayDeadline,
	})
	return route{url: front + wire.PathAttempts, header: header, stop: func() {
		stopFront()
		client.CloseIdleConnections()
		stopOrigin()
	}}, errors.CombineErrors(err, encoded)
}
