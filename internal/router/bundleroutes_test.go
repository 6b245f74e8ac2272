package router_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/memnet"
	"coveferry/internal/router"
	"coveferry/internal/server"
	"coveferry/internal/units"
)

// routedBundle is testBundle with a route to a direct endpoint.
func routedBundle() *bundle.Bundle {
	b := testBundle()
	b.Services = []bundle.Service{{Name: "filings"}}
	b.Routes = []bundle.Route{{
		Name: "receipts", Host: routeHost, Prefix: "/receipts/", Service: "filings",
		Kind: bundle.RouteNonIdempotent, Tier: "gold", Timeout: units.Duration(2e9),
	}}
	b.Endpoints = append(b.Endpoints, bundle.Endpoint{
		Name: "filings-1", Address: "10.0.0.1:80", Direct: true, Services: []string{"filings"}, Slots: 1,
	})
	return b
}

func TestBundleRoutesAreServedAlongsideModels(t *testing.T) {
	var endpoint *server.Server
	var direct *http.Client
	serve(t, func(cfg *router.Config) {
		network := memnet.New()
		l, err := network.Listen("10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		endpoint = startPlain(l)
		direct = server.NewClient(nil, network.Dialer("router"))
		snapshot := bundle.NewSnapshot(routedBundle())
		cfg.Snapshot = snapshot
		cfg.Routing = router.BundleRouting(func() *bundle.Snapshot { return snapshot }, direct)
	}, func(g *WithT, _ *router.Router, client *http.Client) {
		got := call(g, client, "POST", "/receipts/7", "x", "Authorization", "Bearer "+testKey)
		g.Expect(got.status).To(Equal(200))
		g.Expect(got.body).To(Equal("filed for free"))
		g.Expect(call(g, client, "POST", "/receipts/7", "x", "Authorization", "Bearer no").status).To(Equal(401))
		g.Expect(call(g, client, "GET", "/elsewhere/", "").status).To(Equal(404))
		models := send(g, client, "GET", "/v1/models", nil)
		g.Expect(models.status).To(Equal(200))
		direct.CloseIdleConnections()
		g.Expect(endpoint.Stop()).To(Succeed())
	})
}

// startPlain starts a plain HTTP service that knows nothing of the router's protocol.
func startPlain(l net.Listener) *server.Server {
	srv := server.New(server.Config{Listener: l, Grace: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("filed for " + r.Header.Get("Coveferry-Team")))
	})})
	go func() { _ = srv.Run() }()
	return srv
}
