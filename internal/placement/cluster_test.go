package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/memnet"
	"coveferry/internal/standin/engine"
	"coveferry/internal/standin/weights"
)

// testCluster is a set of agents with stand-in engines and one weight store, on
// an in-memory network and in fake time.
type testCluster struct {
	*gomega.WithT
	t       *testing.T
	net     *memnet.Net
	engines []*engine.Engine
	runners []*Runner
	store   *weights.Store
	servers map[string]*http.Server // by address
}

const storeRate = 10.0 // requests per second

func agentAddress(i int) string  { return fmt.Sprintf("10.0.%d.%d:7410", i/200, i%200+1) }
func engineAddress(i int) string { return fmt.Sprintf("10.1.%d.%d:8000", i/200, i%200+1) }
func endpointName(i int) string  { return fmt.Sprintf("engine-%02d", i) }

// newTestCluster starts engines that hold the model "old", but no agents.
func newTestCluster(t *testing.T, n int) *testCluster {
	s := &testCluster{WithT: gomega.NewWithT(t), t: t, net: memnet.New(), servers: make(map[string]*http.Server)}
	s.store = weights.New(weights.Config{RequestsPerSecond: storeRate, Sizes: map[string]int64{"new": 1, "old": 1, "adapter": 1}})
	s.serve("store:1", s.store.Handler())
	for i := range n {
		eng := engine.New(engine.Config{Models: []string{"old"}, Fenced: true})
		s.engines = append(s.engines, eng)
		s.serve(engineAddress(i), s.withWeightFetch(eng.Handler(), s.client("engine")))
	}
	return s
}

func (s *testCluster) serve(address string, h http.Handler) {
	l, err := s.net.Listen(address)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	srv := &http.Server{Handler: h}
	s.servers[address] = srv
	go func() { _ = srv.Serve(l) }() // ends on cleanup
	s.t.Cleanup(func() { _ = srv.Close() })
}

func (s *testCluster) client(from string) *http.Client {
	tr := &http.Transport{DialContext: s.net.Dialer(from)}
	s.t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

// withWeightFetch makes an engine fetch the weights before it carries out an
// order to load, and forward a refusal of the store.
func (s *testCluster) withWeightFetch(h http.Handler, c *http.Client) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // reads from memory
		r.Body = io.NopCloser(bytes.NewReader(body))
		var o Order
		if json.Unmarshal(body, &o) != nil || o.Kind != LoadModel && o.Kind != LoadAdapter {
			h.ServeHTTP(w, r)
			return
		}
		resp, err := c.Get("http://store:1" + weights.PathWeights + o.Target)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			w.Header().Set("Retry-After", resp.Header.Get("Retry-After"))
			w.WriteHeader(resp.StatusCode)
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body) // the weights are one byte
		h.ServeHTTP(w, r)
	})
}

// start starts an agent; the returned function stops it.
func (s *testCluster) start(i int) (stop func()) {
	c := s.client(endpointName(i))
	r := New(Config{
		Endpoint: endpointName(i), EngineURL: "http://" + engineAddress(i), Engine: c, Peers: c, Scheme: "http",
		Rand: rand.New(rand.NewPCG(uint64(i), 1)).Float64,
	})
	s.runners = append(s.runners, r)
	s.serve(agentAddress(i), r.Wrap(http.NotFoundHandler()))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	return func() { cancel(); <-done }
}

// restart starts a new agent in place of one that left.
func (s *testCluster) restart(i int) (stop func()) {
	_ = s.servers[agentAddress(i)].Close() // the listener is in memory
	stop = s.start(i)
	s.runners[i] = s.runners[len(s.runners)-1]
	s.runners = s.runners[:len(s.runners)-1]
	return stop
}

// startAll starts an agent for each engine, until the test ends.
func (s *testCluster) startAll() {
	for i := range s.engines {
		s.t.Cleanup(s.start(i))
	}
}

// setPlacement activates a bundle at all agents at once; want returns the
// placement of each endpoint.
func (s *testCluster) setPlacement(version uint64, want func(i int) bundle.Placement) {
	b := &bundle.Bundle{Version: version, Models: []bundle.Model{{Name: "old"}, {Name: "new"}}}
	b.Limits.WeightFetchesPerSecond = storeRate
	for i := range s.engines {
		b.Endpoints = append(b.Endpoints, bundle.Endpoint{Name: endpointName(i), Address: agentAddress(i), Placement: want(i)})
	}
	for _, r := range s.runners {
		r.SetBundle(b)
	}
}

func placementOf(models ...string) bundle.Placement {
	return bundle.Placement{Models: models, Role: "decode"}
}

// countHolders counts the engines that hold a model.
func (s *testCluster) countHolders(model string) int {
	n := 0
	for _, e := range s.engines {
		for _, m := range e.State().Models {
			if m == model {
				n++
			}
		}
	}
	return n
}

// waitFor waits in fake time until the condition holds, and returns how long
// that took. It fails after the limit.
func (s *testCluster) waitFor(limit time.Duration, condition func() bool) time.Duration {
	begin := time.Now()
	for !condition() {
		s.Expect(time.Since(begin)).To(gomega.BeNumerically("<", limit))
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}
