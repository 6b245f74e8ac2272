package router_test

import (
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
)

// setVersions sets the software versions of e1, e2 and so on. It is called before any request.
func (w *routerFixture) setVersions(versions ...string) {
	var endpoints []*bundle.Endpoint
	for i, version := range versions {
		e := *w.endpoints[i]
		e.Version = version
		endpoints = append(endpoints, &e)
	}
	w.endpoints = endpoints
}

// Without this a stream that changes the version can't be told from one that doesn't.
func TestLogLineContainsVersionsAndWhatIsResumed(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.setVersions("v1", "v1", "v1")
		w.handle = func(_ string, req *http.Request, conn net.Conn) { writeEvents(conn, req, true, "id: 5\ndata: e\n\n") }
		call(g, client, "POST", "/resume/", "x", "Resumes", "first", "Last", "4")
		g.Expect(lastLine(w)).To(MatchRegexp(`"attempt 1 at e\d \(v1\): complete, .*"resumes":"first","resumed_after":"4"`))
	})
}
