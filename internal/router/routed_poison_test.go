package router_test

import (
	"net"
	"net/http"
	"regexp"
	"testing"

	. "github.com/onsi/gomega"
)

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
