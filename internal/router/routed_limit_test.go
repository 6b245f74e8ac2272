package router_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// answerWithLimit returns a handler whose answers state a rate limit.
func answerWithLimit(limit string) func(string, *http.Request, net.Conn) {
	return func(_ string, req *http.Request, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nLimit: %s\r\nContent-Length: 4\r\n\r\nfine", req.Header.Get("Id"), limit)
	}
}

// The log must show which endpoint stated a limit to which router; otherwise limits can't be
// traced from outside.
func TestLogLineContainsEndpointRateLimit(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		g.Expect(call(g, client, "POST", "/once/", "x", "Id", "r1").status).To(Equal(200))
		g.Expect(w.log.String()).NotTo(ContainSubstring("limit"))
		w.handle = answerWithLimit("1.25")
		g.Expect(call(g, client, "POST", "/once/", "x", "Id", "r2").status).To(Equal(200))
		lines := strings.Split(strings.TrimSpace(w.log.String()), "\n")
		g.Expect(lines[len(lines)-1]).To(MatchRegexp(`"attempt 1 at e\d: complete, .*, limit 1.25/s"`))
	})
}

// When all endpoints of a service are limited, callers must learn immediately that their
// request didn't run and when one will be accepted.
func TestRateLimitedEndpointsYieldAccurateRetryAfter(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = answerWithLimit("0.5")
		ask := func() reply { return call(g, client, "POST", "/once/", "x") }
		var refused reply
		for range 20 {
			if got := ask(); got.status != 200 {
				refused = got
			}
		}
		g.Expect(len(w.received())).To(BeNumerically("<=", 6), "two at each of three endpoints")
		g.Expect(refused.status).To(Equal(503))
		g.Expect(refused.body).To(ContainSubstring("limited"))
		after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(after).To(BeNumerically("~", 1, 1), "seconds")
		time.Sleep(time.Duration(after * float64(time.Second)))
		g.Expect(ask().status).To(Equal(200), "Retry-After must be accurate")
		g.Expect(w.log.String()).To(MatchRegexp(`by part 0.5/s, .*/s used, of 0.5/s said .* ago, limit 0.5/s`))
	})
}
