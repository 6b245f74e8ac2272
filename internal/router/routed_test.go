package router_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestRequestAndAnswerAreForwardedUnchanged(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		got := call(g, client, "POST", "/once/a%2Fb//c?x=1&y=%20", "body", "X-Own", "1", "Team", "forged", "Te", "trailers")
		g.Expect(got.status).To(Equal(200))
		g.Expect(got.body).To(Equal("fine"))
		g.Expect(got.header.Get("Signed")).To(Equal("x"))
		at := w.received()[0]
		g.Expect(at.target).To(Equal("/once/a%2Fb//c?x=1&y=%20"))
		g.Expect(at.host).To(Equal(routeHost))
		g.Expect(at.body).To(Equal("body"))
		g.Expect(at.header.Get("X-Own")).To(Equal("1"))
		g.Expect(at.header.Get("Team")).To(Equal("acme"))
		g.Expect(at.header.Get("Meant-For")).To(Equal(at.endpoint))
		g.Expect(at.header).NotTo(HaveKey("Key"))
		g.Expect(at.header).NotTo(HaveKey("Te"))
	})
}

func TestKeyAuthorization(t *testing.T) {
	for _, c := range []struct {
		name, path, key string
		age             time.Duration
		noTable         bool
		status, runs    int
	}{
		{"known key", "/once/", "k", 0, false, 200, 1},
		{"unknown key", "/once/", "no", 0, false, 401, 0},
		{"no route", "/none/", "k", 0, false, 404, 0},
		{"no route in a table at maximum age", "/none/", "k", maxKeyAge, false, 404, 0},
		{"no route in a table too old", "/none/", "k", maxKeyAge + 1, false, 503, 0},
		{"key data at maximum age", "/once/", "k", maxKeyAge, false, 200, 1},
		{"key data too old", "/once/", "k", maxKeyAge + 1, false, 503, 0},
		{"unknown key with key data too old", "/once/", "no", maxKeyAge + 1, false, 503, 0},
		{"public route without a key", "/open/", "", maxKeyAge + 1, false, 200, 1},
		{"no table yet", "/once/", "k", 0, true, 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.keyAge = c.age
				if c.noTable {
					w.table = nil
				}
				got := call(g, client, "POST", c.path, "", "Key", c.key)
				g.Expect(got.status).To(Equal(c.status))
				g.Expect(w.receivedCount()).To(Equal(c.runs))
				if c.status == 503 {
					g.Expect(got.header.Get("Retry-After")).To(Equal("0.1"))
				}
			})
		})
	}
}

func TestRankOutsideTierRangeIsServed(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		for key, want := range map[string]string{"low": "12", "below": "0"} {
			g.Expect(call(g, client, "POST", "/once/", "x", "Key", key, "Prompt", "1").status).To(Equal(200))
			arrivals := w.received()
			g.Expect(arrivals[len(arrivals)-1].header.Get("Tier")).To(Equal(want))
		}
	})
}

func TestRouteTableLimitsAreEnforced(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		g.Expect(call(g, client, "POST", "/once/", strings.Repeat("x", 1000)).status).To(Equal(200))
		g.Expect(call(g, client, "POST", "/once/", strings.Repeat("x", 1001)).status).To(Equal(413))
		g.Expect(call(g, client, "POST", "/once/", "x", "Large", strings.Repeat("x", 4096)).status).To(Equal(431))
		g.Expect(w.receivedCount()).To(Equal(1))
	})
}

func TestTeamTierOverridesRouteTier(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		g.Expect(call(g, client, "POST", "/once/", "", "Key", "vip").status).To(Equal(200))
		g.Expect(w.received()[0].header.Get("Tier")).To(Equal("0"))
	})
}

func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		closed := make(chan struct{})
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			_, _ = conn.Read(make([]byte, 1)) // returns when the router closes the connection
			close(closed)
		}
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/stream/", strings.NewReader("x"))
		g.Expect(err).NotTo(HaveOccurred())
		req.Host = routeHost
		req.Header.Set("Id", "r1")
		req.Header.Set("Key", "k")
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		_, err = client.Do(req)
		g.Expect(err).To(HaveOccurred())
		select {
		case <-closed:
		case <-time.After(500 * time.Millisecond):
			t.Error("the connection to the endpoint is still open after 500 ms")
		}
	})
}

func TestCallerConnectionsCloseAfterCompleteAnswers(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		for _, closeConnections := range []bool{false, true} {
			w.closeConnections = closeConnections
			req, err := http.NewRequest("POST", "http://"+address+"/once/", strings.NewReader("x"))
			g.Expect(err).NotTo(HaveOccurred())
			req.Host = routeHost
			req.Header.Set("Id", "r1")
			req.Header.Set("Key", "k")
			resp, err := client.Do(req)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(200))
			g.Expect(resp.Close).To(Equal(closeConnections))
			g.Expect(resp.Body.Close()).To(Succeed())
		}
	})
}
