package agent_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/agent"
	"coveferry/internal/bundle"
	"coveferry/internal/memnet"
	"coveferry/internal/once"
	"coveferry/internal/sched/fifo"
	"coveferry/internal/server"
	"coveferry/internal/standin/service"
	"coveferry/internal/wire"
)

// newKeyedRequest returns a call with an idempotency key to the service "filings".
func newKeyedRequest(g *WithT, request string, issued time.Time) *http.Request {
	req := httptest.NewRequestWithContext(context.Background(), http.MethodPost, wire.PathAttempts, strings.NewReader("x"))
	env := wire.Envelope{
		Request: request, Endpoint: "e", Epoch: 1, Kind: wire.KindService, Method: http.MethodPost, Path: "/x",
		Team: "registry", DeadlineMillis: 60_000, SentUnixMillis: time.Now().UnixMilli(),
		NonIdempotent: true, IdempotencyKey: request, KeyIssuedMillis: issued.UnixMilli(), Target: once.ServiceTarget("filings"),
	}
	g.Expect(wire.Encode(req.Header, wire.HeaderEnvelope, env)).To(Succeed())
	return req
}

func keyedBundle(version uint64, endpoints ...string) *bundle.Snapshot {
	b := &bundle.Bundle{Version: version}
	for _, name := range endpoints {
		b.Endpoints = append(b.Endpoints, bundle.Endpoint{Name: name, Services: []string{"filings"}})
	}
	return bundle.NewSnapshot(b)
}

// withKeys calls run with an agent of one slot that is the home of all keys.
func withKeys(t *testing.T, run func(g *WithT, ag *agent.Agent, svc *service.Service)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		net := memnet.New()
		svc := service.New(service.Config{ServiceTime: time.Second})
		l, err := net.Listen(serviceAddress)
		g.Expect(err).NotTo(HaveOccurred())
		srv := server.New(server.Config{Listener: l, Handler: svc.Handler()})
		go func() { _ = srv.Run() }()
		client := server.NewClient(nil, net.Dialer("agent"))
		cfg := once.DefaultConfig(once.Member{Name: "e"})
		cfg.Bootstrap = true
		ag := agent.New(agent.Config{
			Endpoint: "e", Engine: agent.Engine{URL: "http://" + serviceAddress},
			Policy: fifo.New(fifo.Config{Slots: 1}), MaxBody: 1 << 10, Client: client,
			Keys: agent.Keys{Once: cfg},
		})
		ag.UpdateKeyHomes(keyedBundle(1, "e"))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = ag.RunKeys(ctx) }()
		time.Sleep(2 * cfg.MaxClockSkew)
		run(g, ag, svc)
		cancel()
		client.CloseIdleConnections()
		g.Expect(srv.Kill()).To(Succeed())
		time.Sleep(time.Minute)
	})
}

// A queued attempt whose key moves to another home must not run at this agent.
func TestQueuedAttemptIsRefusedWhenKeyHomeChanges(t *testing.T) {
	withKeys(t, func(g *WithT, ag *agent.Agent, svc *service.Service) {
		firstResp, secondResp := httptest.NewRecorder(), httptest.NewRecorder()
		go ag.Handler().ServeHTTP(firstResp, newKeyedRequest(g, "first", time.Now()))
		synctest.Wait()
		go ag.Handler().ServeHTTP(secondResp, newKeyedRequest(g, "second", time.Now()))
		synctest.Wait()
		ag.UpdateKeyHomes(keyedBundle(2, "f"))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		g.Expect(firstResp.Code).To(Equal(http.StatusOK))
		var refusal wire.Refusal
		g.Expect(json.NewDecoder(secondResp.Body).Decode(&refusal)).To(Succeed())
		g.Expect(refusal.Reason).To(Equal(wire.ReasonNotKeyHome))
		g.Expect(refusal.Run).To(Equal(wire.RunNot))
		g.Expect(svc.Record().Calls).To(HaveLen(1))
	})
}

// withPeer sets the TLS state of a request from the given peer.
func withPeer(req *http.Request, peer string) *http.Request {
	uri, _ := url.Parse(peer) // a valid constant
	req.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{{URIs: []*url.URL{uri}}}}
	return req
}

func TestPeerRoleRestrictsRequests(t *testing.T) {
	withKeys(t, func(g *WithT, ag *agent.Agent, svc *service.Service) {
		query := `{"target":"service:filings","from":{"name":"f","vm":""},"list":"x"}`
		for _, c := range []struct {
			req  *http.Request
			peer string
			want int
		}{
			{newKeyedRequest(g, "a", time.Now()), "coveferry://agent/f", http.StatusForbidden},
			{newKeyedRequest(g, "b", time.Now()), "coveferry://router/r", http.StatusOK},
			{httptest.NewRequest(http.MethodPost, wire.PathAgree, strings.NewReader(query)), "coveferry://router/f", http.StatusForbidden},
			{httptest.NewRequest(http.MethodPost, wire.PathAgree, strings.NewReader(query)), "coveferry://agent/g", http.StatusForbidden},
			{httptest.NewRequest(http.MethodPost, wire.PathAgree, strings.NewReader(query)), "coveferry://agent/f", http.StatusOK},
		} {
			w := httptest.NewRecorder()
			ag.Handler().ServeHTTP(w, withPeer(c.req, c.peer))
			g.Expect(w.Code).To(Equal(c.want), c.peer)
		}
		g.Expect(svc.Record().Calls).To(HaveLen(1))
	})
}
