package router_test

import (
	"net"
	"net/http"
	"regexp"
	"testing"

	. "github.com/onsi/gomega"
)

const deadly = "deadly"

// reset is an endpoint that ends while it runs a request.
func reset(_ string, _ *http.Request, conn net.Conn) { _ = conn.Close() }

// Which requests are the same couldn't be told from the lines of different callers' tries.
func TestTheLineOfARequestUnderWhichAnEndpointEndedTellsWhichItIs(t *testing.T) {
	playRouted(t, func(g *WithT, w *world, client *http.Client) {
		w.answer = reset
		for _, c := range []struct{ id, body string }{{"r1", "deadly"}, {"r2", "deadly"}, {"r3", "other"}} {
			g.Expect(call(g, client, "POST", "/once/", c.body, "Id", c.id).status).To(Equal(502))
		}
		identities := regexp.MustCompile(`"lost":1,"identity":"([0-9a-f]{16})"`).FindAllStringSubmatch(w.log.String(), -1)
		g.Expect(identities).To(HaveLen(3))
		g.Expect(identities[1][1]).To(Equal(identities[0][1]))
		g.Expect(identities[2][1]).NotTo(Equal(identities[0][1]))
	})
}

// The story: the same request came again and again, and each time the endpoint that ran it
// ended, with all else that ran there. The router had seen three end under it and sent it
// to a fourth, since it kept evidence of endpoints only. See the platform's tests for the
// evidence and for a fleet of routers.
func TestARequestUnderWhichThreeEndpointsEndedIsRefused(t *testing.T) {
	playRouted(t, func(g *WithT, w *world, client *http.Client) {
		w.answer = func(endpoint string, req *http.Request, conn net.Conn) {
			if req.Header.Get("X-Deadly") == "" {
				writeOK(conn, req, "fine")
				return
			}
			reset(endpoint, req, conn)
		}
		ended := func() map[string]bool {
			names := make(map[string]bool)
			for _, a := range w.arrived() {
				names[a.endpoint] = true
			}
			return names
		}
		ask := func(body string) reply {
			return call(g, client, "POST", "/once/", body, "X-Deadly", "1")
		}
		for tries := 0; len(ended()) < 3 && tries < 30; tries++ {
			g.Expect(ask(deadly).status).To(Equal(502))
		}
		g.Expect(ended()).To(HaveLen(3))
		before := w.count()
		got := ask(deadly)
		g.Expect(got.status).To(Equal(503))
		g.Expect(got.body).To(ContainSubstring(`"quarantined"`))
		g.Expect(got.body).To(ContainSubstring(`"not_run"`))
		g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(w.count()).To(Equal(before))
		g.Expect(call(g, client, "POST", "/once/", "another").status).To(Equal(200))
	})
}
