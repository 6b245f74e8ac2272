package router_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/route"
)

// Guards against requests that endpoints get with another path or query than the caller sent.
func TestTargetArrivesUnchangedOrIsRefused(t *testing.T) {
	for target, status := range map[string]int{
		"/search/1?": 200, "/?": 200, "/": 200, "//x%20y/z": 200, "//x%2Fy": 200, "//x/y?": 200, "///": 200, "/a%2fb//c?x=%20": 200,
		"//\xff": 400, "//x\"y": 400, "/\xff": 200,
	} {
		t.Run(fmt.Sprintf("%q", target), func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, _ *http.Client) {
				c := testConfig()
				c.Routes = append(c.Routes, route.Route{Name: "all", Host: routeHost, Prefix: "/", Targets: c.Routes[0].Targets, Timeout: c.Routes[0].Timeout, MaxRuns: 1})
				w.table = mustTable(c)
				conn, err := w.net.Dialer("caller")(context.Background(), "tcp", address)
				g.Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nId: r1\r\nKey: k\r\n\r\n", target, routeHost)
				g.Expect(err).NotTo(HaveOccurred())
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(status))
				if status != 200 {
					g.Expect(w.receivedCount()).To(BeZero())
					return
				}
				g.Expect(w.received()[0].target).To(Equal(target))
			})
		})
	}
}
