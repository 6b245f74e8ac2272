package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/memnet"
	"coveferry/internal/retry"
	"coveferry/internal/router"
	"coveferry/internal/server"
	"coveferry/internal/units"
)

const (
	testKey     = "test-key"
	address     = "127.0.0.1:80"
	bodyLimit   = 1 << 10
	bodyTimeout = 2 * time.Second
)

func testBundle() *bundle.Bundle {
	return &bundle.Bundle{
		Format: bundle.Format, Version: 1,
		Tiers: []bundle.Tier{{Name: "gold"}},
		Classes: []bundle.Class{
			{Name: "queries", FirstToken: units.Duration(time.Second), Deadline: units.Duration(time.Minute)},
			{Name: "other", FirstToken: units.Duration(time.Second), Deadline: units.Duration(time.Minute)},
		},
		Models: []bundle.Model{{Name: "m"}, {Name: "orphan"}},
		Teams: []bundle.Team{
			{Name: "free", KeyHashes: []string{bundle.HashKey(testKey)}, Grants: []bundle.Grant{{Class: "queries", Tier: "gold"}}},
			{
				Name: "limited", KeyHashes: []string{bundle.HashKey("limited-key")},
				Grants: []bundle.Grant{{Class: "queries", Tier: "gold"}},
				Limits: bundle.TeamLimits{RequestsPerSecond: 1},
			},
		},
		// Nothing listens at this address, so every attempt fails to connect.
		Endpoints: []bundle.Endpoint{{Name: "e", Address: "127.0.0.1:9", Models: []string{"m"}, Slots: 1}},
		Limits:    bundle.Limits{RequestBytes: bodyLimit, QueueEntries: 10, QueueBytes: 1 << 20},
	}
}

// serve runs test against a router in a synctest bubble.
func serve(t *testing.T, change func(*router.Config), test func(g *WithT, rt *router.Router, client *http.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		net := memnet.New()
		agents := server.NewClient(nil, net.Dialer("router"))
		cfg := router.Config{
			Snapshot: bundle.NewSnapshot(testBundle()),
			Pool:     balance.NewPool(balance.Config{}),
			Client:   agents, Scheme: "http", Retry: &retry.Policy{},
			BodyTimeout: bodyTimeout, MaxOpen: 10, MaxBodyBytes: 1 << 20,
			Rand: func() float64 { return 0.5 },
		}
		if change != nil {
			change(&cfg)
		}
		rt := router.New(cfg)
		l, err := net.Listen(address)
		g.Expect(err).NotTo(HaveOccurred())
		srv := server.New(server.Config{Listener: l, Handler: rt.Handler(), Grace: time.Minute, HeaderTimeout: time.Second})
		go func() { _ = srv.Run() }()
		client := server.NewClient(nil, net.Dialer("caller"))
		test(g, rt, client)
		client.CloseIdleConnections()
		g.Expect(srv.Stop()).To(Succeed())
	})
}

// errorAnswer is an error as a caller receives it.
type errorAnswer struct {
	status     int
	retryAfter string
	Error      struct {
		Type, Code, Message, Run string
		RequestID                string `json:"request_id"`
	}
}

func send(g *WithT, client *http.Client, method, path string, body io.Reader, header ...string) errorAnswer {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, body)
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	out := errorAnswer{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After")}
	g.Expect(json.NewDecoder(resp.Body).Decode(&out)).To(Succeed())
	return out
}

func TestRefusalsAreTypedAndReportNotRun(t *testing.T) {
	const chat, good = "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	cases := []struct {
		name, path, body string
		header           []string
		status           int
		kind, code       string
	}{
		{"no key", chat, good, []string{"Authorization", ""}, 401, "authentication_error", "missing_key"},
		{"wrong key", chat, good, []string{"Authorization", "Bearer no"}, 401, "authentication_error", "wrong_key"},
		{"class not granted", chat, good, []string{"Coveferry-Class", "other"}, 403, "permission_error", "unknown_class"},
		{"unknown class", chat, good, []string{"Coveferry-Class", "nil"}, 403, "permission_error", "unknown_class"},
		{"bad deadline", chat, good, []string{"Coveferry-Deadline", "30"}, 400, "invalid_request_error", "bad_header"},
		{"deadline passed", chat, good, []string{"Coveferry-Deadline", "-1s"}, 400, "invalid_request_error", "bad_header"},
		{"bad non-idempotent header", chat, good, []string{"Coveferry-Non-Idempotent", "yes"}, 400, "invalid_request_error", "bad_header"},
		{"unknown model", chat, `{"model":"x","messages":[{}]}`, nil, 404, "invalid_request_error", "unknown_model"},
		{"model without endpoints", chat, `{"model":"orphan","messages":[{}]}`, nil, 404, "invalid_request_error", "unknown_model"},
		{"not JSON", chat, `{"model":`, nil, 400, "invalid_request_error", "malformed_body"},
		{"not an object", chat, `[]`, nil, 400, "invalid_request_error", "malformed_body"},
		{"no messages", chat, `{"model":"m"}`, nil, 400, "invalid_request_error", "malformed_body"},
		{"two answers", chat, `{"model":"m","n":2,"messages":[{}]}`, nil, 400, "invalid_request_error", "malformed_body"},
		{"no prompt", "/v1/completions", `{"model":"m"}`, nil, 400, "invalid_request_error", "malformed_body"},
		{"too large", chat, strings.Repeat("x", bodyLimit+1), nil, 413, "invalid_request_error", "body_too_large"},
		{"deeply nested", chat, strings.Repeat("[", bodyLimit), nil, 400, "invalid_request_error", "malformed_body"},
		{"unknown service", "/services/none/x", ``, nil, 404, "invalid_request_error", "unknown_service"},
		{"unknown path", "/v2/chat", good, nil, 404, "invalid_request_error", "unknown_path"},
		{"endpoint down", chat, good, nil, 503, "upstream_error", "endpoint_lost"},
	}
	serve(t, nil, func(g *WithT, _ *router.Router, client *http.Client) {
		for _, c := range cases {
			got := send(g, client, http.MethodPost, c.path, strings.NewReader(c.body), c.header...)
			description := fmt.Sprintf("%s: %+v", c.name, got)
			g.Expect(got.status).To(Equal(c.status), description)
			g.Expect(got.Error.Type).To(Equal(c.kind), description)
			g.Expect(got.Error.Code).To(Equal(c.code), description)
			g.Expect(got.Error.Run).To(Equal("not_run"), description)
			g.Expect(got.Error.Message).NotTo(BeEmpty(), description)
		}
	})
}

// A body without a Content-Length is bounded while it arrives.
func TestChunkedBodyIsBounded(t *testing.T) {
	serve(t, nil, func(g *WithT, _ *router.Router, client *http.Client) {
		body := io.MultiReader(strings.NewReader(strings.Repeat("x", bodyLimit)), strings.NewReader("x"))
		got := send(g, client, http.MethodPost, "/v1/completions", body)
		g.Expect(got.status).To(Equal(http.StatusRequestEntityTooLarge))
	})
}

func TestSlowBodyTimesOut(t *testing.T) {
	serve(t, nil, func(g *WithT, _ *router.Router, client *http.Client) {
		body, w := io.Pipe()
		began := time.Now()
		got := send(g, client, http.MethodPost, "/v1/completions", body)
		g.Expect(got.Error.Code).To(Equal("body_too_slow"))
		g.Expect(time.Since(began)).To(Equal(bodyTimeout))
		g.Expect(w.Close()).To(Succeed())
	})
}

func TestTeamLimitSetsRetryAfter(t *testing.T) {
	const body = `{"model":"m","prompt":"x"}`
	serve(t, nil, func(g *WithT, _ *router.Router, client *http.Client) {
		// With such a short deadline the router doesn't wait until the endpoint is used again.
		header := []string{"Authorization", "Bearer limited-key", "Coveferry-Deadline", "100ms"}
		ask := func() errorAnswer {
			return send(g, client, http.MethodPost, "/v1/completions", strings.NewReader(body), header...)
		}
		g.Expect(ask().Error.Code).To(Equal("endpoint_lost"))
		refused := ask()
		g.Expect(refused.status).To(Equal(http.StatusTooManyRequests))
		g.Expect(refused.Error.Code).To(Equal("team_requests"))
		g.Expect(refused.retryAfter).To(Equal("1"))
		time.Sleep(time.Second) // fake time
		g.Expect(ask().Error.Code).To(Equal("endpoint_lost"))
	})
}

func TestOpenRequestsAndBodyMemoryAreBounded(t *testing.T) {
	const body = `{"model":"m","prompt":"x"}`
	smallBodyMemory := func(c *router.Config) { c.MaxBodyBytes = int64(len(body)) - 1 }
	serve(t, smallBodyMemory, func(g *WithT, _ *router.Router, client *http.Client) {
		got := send(g, client, http.MethodPost, "/v1/completions", strings.NewReader(body))
		g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(got.Error.Code).To(Equal("router_full"))
		g.Expect(got.retryAfter).To(Equal("1"))
	})
	noOpenRequests := func(c *router.Config) { c.MaxOpen = 0 }
	serve(t, noOpenRequests, func(g *WithT, _ *router.Router, client *http.Client) {
		got := send(g, client, http.MethodPost, "/v1/completions", strings.NewReader(body))
		g.Expect(got.Error.Code).To(Equal("router_full"))
	})
}
