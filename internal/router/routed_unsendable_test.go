package router_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
)

// Guards against requests that end with 500, though nothing was sent, for as long as the list has an entry
// whose address is no valid part of a URL.
func TestRequestsGoElsewhereWhereTheRequestForAnEndpointCannotBeMade(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.handle = func(_ string, req *http.Request, conn net.Conn) { writeOK(conn, req, "id: 1\n\n") }
				odd := &bundle.Endpoint{Name: "e4", Address: "[fe80::1%a b]:80", Services: []string{"s"}, Slots: 4}
				w.endpoints = append(w.endpoints, odd)
				w.list(w.endpoints...)
				for range 20 {
					g.Expect(call(g, client, "POST", path, "x").status).To(Equal(200))
				}
				g.Expect(w.receivedCount()).To(Equal(20))
				g.Expect(w.pool.Usable(time.Now(), odd.Name)).To(BeFalse(), "it gets no share of the requests")
			})
		})
	}
}
