package agent_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"coveferry/internal/agent"
	"coveferry/internal/memnet"
	"coveferry/internal/sched/fifo"
	"coveferry/internal/server"
	"coveferry/internal/standin/service"
	"coveferry/internal/wire"
)

const serviceAddress = "127.0.0.1:8001"

// withService calls run with an agent in front of a plain service.
func withService(t *testing.T, run func(g *WithT, ag *agent.Agent, svc *service.Service)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		net := memnet.New()
		svc := service.New(service.Config{})
		l, err := net.Listen(serviceAddress)
		g.Expect(err).NotTo(HaveOccurred())
		srv := server.New(server.Config{Listener: l, Handler: svc.Handler()})
		go func() { _ = srv.Run() }()
		client := server.NewClient(nil, net.Dialer("agent"))
		ag := agent.New(agent.Config{
			Endpoint: "e", Engine: agent.Engine{URL: "http://" + serviceAddress},
			Policy: fifo.New(fifo.Config{Slots: 1}), MaxBody: 1 << 10, Client: client,
		})
		run(g, ag, svc)
		client.CloseIdleConnections()
		g.Expect(srv.Kill()).To(Succeed())
	})
}

func callService(g *WithT, ag *agent.Agent, body string) *http.Response {
	req := httptest.NewRequestWithContext(context.Background(), http.MethodPost, wire.PathAttempts, strings.NewReader(body))
	env := wire.Envelope{
		Request: "r", Endpoint: "e", Epoch: 1, Kind: wire.KindService, Method: http.MethodPost, Path: "/x",
		DeadlineMillis: 60_000, IdempotencyKey: "k", NonIdempotent: true,
	}
	g.Expect(wire.Encode(req.Header, wire.HeaderEnvelope, env)).To(Succeed())
	w := httptest.NewRecorder()
	ag.Handler().ServeHTTP(w, req)
	return w.Result()
}

// A connection that breaks after the service handled the call must not make the
// HTTP library send the call again, with or without a body.
func TestServiceCallWithBrokenConnectionIsSentOnce(t *testing.T) {
	for _, body := range []string{"x", ""} {
		withService(t, func(g *WithT, ag *agent.Agent, svc *service.Service) {
			g.Expect(callService(g, ag, body).StatusCode).To(Equal(http.StatusOK)) // leaves an idle connection in the pool
			svc.Fail(service.AfterEffect, 1)
			resp := callService(g, ag, body)
			var refusal wire.Refusal
			g.Expect(json.NewDecoder(resp.Body).Decode(&refusal)).To(Succeed())
			g.Expect(refusal.Run).To(Equal(wire.RunUnknown))
			g.Expect(svc.Record().Effects).To(Equal(2), "%q", body)
		})
	}
}

func TestServiceAnswerIsRelayed(t *testing.T) {
	withService(t, func(g *WithT, ag *agent.Agent, svc *service.Service) {
		resp := callService(g, ag, "x")
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(json.Valid(body)).To(BeTrue())
		g.Expect(resp.Header.Get(wire.HeaderStatus)).To(Equal("200"))
		var end wire.End
		g.Expect(wire.Decode(resp.Trailer, wire.HeaderEnd, &end)).To(Succeed())
		g.Expect(end.Ending).To(Equal(wire.EndingComplete))
	})
}
