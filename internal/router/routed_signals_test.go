package router_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// answerSaying returns a handler whose answers have a status and say something of the endpoint.
func answerSaying(status int, header string) func(string, *http.Request, net.Conn) {
	return func(_ string, req *http.Request, conn net.Conn) {
		writeAnswer(conn, status, "Id: "+req.Header.Get("Id")+"\r\nSigned: x\r\n"+header, "said")
	}
}

// Without this a request to an endpoint that left can't be told from one to an endpoint that never said so.
func TestLogLineContainsWhatTheEndpointSaidOfItself(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = answerSaying(200, "Leaving: 1\r\n")
		call(g, client, "POST", "/once/", "x")
		g.Expect(lastLine(w)).To(MatchRegexp(`"attempt 1 at e\d: complete, .*, leaving"`))
		w.handle = answerSaying(503, "Not-Run: 1\r\nBackoff: 3s\r\n")
		call(g, client, "POST", "/once/", "x")
		g.Expect(lastLine(w)).To(MatchRegexp(`"attempt 1 at e\d: .*not_run.*, backoff 3s"`))
	})
}

func lastLine(w *routerFixture) string {
	lines := strings.Split(strings.TrimSpace(w.log.String()), "\n")
	return lines[len(lines)-1]
}
