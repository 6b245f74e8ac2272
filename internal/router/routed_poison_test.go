package router_test

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	poisonBody = "deadly"
	// restartTime is the time after which an endpoint that answers may have been restarted.
	restartTime = 1100 * time.Millisecond
)

// resetConnection simulates an endpoint that crashes while it runs a request.
func resetConnection(_ string, _ *http.Request, conn net.Conn) { _ = conn.Close() }

// truncateAnswer simulates an endpoint that crashes in the middle of its answer.
func truncateAnswer(_ string, req *http.Request, conn net.Conn) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Length: 10\r\n\r\nhalf", req.Header.Get("Id"))
	_ = conn.Close()
}

// The log must show which requests are the same: lines of different callers' retries couldn't
// be matched.
func TestLogLineIdentifiesRequestWhoseEndpointWasLost(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = resetConnection
		for _, c := range []struct{ id, body string }{{"r1", "deadly"}, {"r2", "deadly"}, {"r3", "other"}} {
			g.Expect(call(g, client, "POST", "/once/", c.body, "Id", c.id).status).To(Equal(502))
		}
		identities := regexp.MustCompile(`"lost":1,"identity":"([0-9a-f]{16})"`).FindAllStringSubmatch(w.log.String(), -1)
		g.Expect(identities).To(HaveLen(3))
		g.Expect(identities[1][1]).To(Equal(identities[0][1]))
		g.Expect(identities[2][1]).NotTo(Equal(identities[0][1]))
	})
}

// Requests that crash endpoints may differ in all but one part of their prompts.
func TestLogLineNamesPartsOfRequestWhoseEndpointWasLost(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = resetConnection
		call(g, client, "POST", "/once/", "a", "Parts", "5c1e07a2 91bd3f06 e4402b7d")
		g.Expect(w.log.String()).To(ContainSubstring(`"parts":["5c1e07a2:10","91bd3f06:10"]`))
		w.handle = func(_ string, req *http.Request, conn net.Conn) { writeOK(conn, req, "fine") }
		before := w.log.Len()
		call(g, client, "POST", "/once/", "b", "Parts", "5c1e07a2 91bd3f06 e4402b7d")
		g.Expect(w.log.String()[before:]).NotTo(ContainSubstring(`"parts"`))
	})
}

// Guards against a request that crashes every endpoint that runs it, together with all other
// requests there. Recording failures by endpoint only isn't enough: a caller that keeps
// retrying would get the request sent to a fourth endpoint after three losses. The tests in
// package platform cover a fleet of routers.
func TestRequestIsQuarantinedAfterThreeEndpointLosses(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(endpoint string, req *http.Request, conn net.Conn) {
			if req.Header.Get("X-Deadly") == "" {
				writeOK(conn, req, "fine")
				return
			}
			resetConnection(endpoint, req, conn)
		}
		lostEndpoints := func() map[string]bool {
			names := make(map[string]bool)
			for _, a := range w.received() {
				names[a.endpoint] = true
			}
			return names
		}
		ask := func(body string) reply {
			return call(g, client, "POST", "/once/", body, "X-Deadly", "1")
		}
		for tries := 0; len(lostEndpoints()) < 3 && tries < 30; tries++ {
			g.Expect(ask(poisonBody).status).To(Equal(502))
		}
		g.Expect(lostEndpoints()).To(HaveLen(3))
		before := w.receivedCount()
		got := ask(poisonBody)
		g.Expect(got.status).To(Equal(503))
		g.Expect(got.body).To(ContainSubstring(`"quarantined"`))
		g.Expect(got.body).To(ContainSubstring(`"not_run"`))
		g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(w.receivedCount()).To(Equal(before))
		g.Expect(call(g, client, "POST", "/once/", "another").status).To(Equal(200))
	})
}

// deadlyEndpoints returns the number of endpoints that received a request with the part "dead".
func (w *routerFixture) deadlyEndpoints() int {
	names := make(map[string]bool)
	for _, a := range w.received() {
		if strings.Contains(a.header.Get("Parts"), "dead") {
			names[a.endpoint] = true
		}
	}
	return len(names)
}

// Guards against requests that crash endpoints by one part of their prompts and differ otherwise.
func TestPartOfPromptsIsQuarantinedAfterThreeEndpointLosses(t *testing.T) {
	for _, parts := range []string{"dead 2 %x", "1 dead 2 %x", "1 2 dead %x"} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.handle = func(endpoint string, req *http.Request, conn net.Conn) {
				if strings.Contains(req.Header.Get("Parts"), "dead") {
					resetConnection(endpoint, req, conn)
					return
				}
				writeOK(conn, req, "fine")
			}
			sent := 0
			ask := func(parts string) reply {
				sent++
				return call(g, client, "POST", "/once/", fmt.Sprint("body", sent), "Parts", fmt.Sprintf(parts, 0x100+sent))
			}
			for tries := 0; w.deadlyEndpoints() < 3 && tries < 30; tries++ {
				ask(parts)
				time.Sleep(restartTime)
				g.Expect(ask("1 2 %x").status).To(Equal(200), "requests with the other parts")
			}
			before := w.receivedCount()
			got := ask(parts)
			g.Expect(got.status).To(Equal(503), parts)
			g.Expect(got.body).To(ContainSubstring(`"quarantined"`))
			g.Expect(got.body).To(ContainSubstring(`"not_run"`))
			g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
			g.Expect(w.receivedCount()).To(Equal(before))
			g.Expect(ask("1 2 %x").status).To(Equal(200), "requests with the other parts")
		})
	}
}

// Any answer, however wrong, shows that the endpoint is alive and must not count towards
// quarantine.
func TestOnlyLostEndpointsCauseQuarantine(t *testing.T) {
	answer := func(status int, header, body string) func(string, *http.Request, net.Conn) {
		return func(_ string, req *http.Request, conn net.Conn) {
			writeAnswer(conn, status, strings.ReplaceAll(header, "ID", req.Header.Get("Id")), body)
		}
	}
	for _, c := range []struct {
		name        string
		handle      func(string, *http.Request, net.Conn)
		quarantined bool
	}{
		{"crashes", resetConnection, true},
		{"crashes in mid-answer", truncateAnswer, true},
		{"fails", answer(500, "Id: ID\r\nSigned: f\r\n", "sorry"), false},
		{"refuses for lack of capacity", answer(503, "Id: ID\r\nNot-Run: 1\r\n", ""), false},
		{"answers another request", answer(200, "Id: other\r\nSigned: x\r\n", "no"), false},
		{"doesn't sign", answer(200, "Id: ID\r\n", "no"), false},
		{"doesn't speak HTTP", func(_ string, _ *http.Request, conn net.Conn) { _, _ = conn.Write([]byte("nonsense\r\n\r\n")) }, false},
	} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.handle = c.handle
			quarantined := false
			for range 12 {
				quarantined = quarantined || strings.Contains(call(g, client, "POST", "/once/", poisonBody).body, "quarantined")
			}
			g.Expect(quarantined).To(Equal(c.quarantined), c.name)
		})
	}
}

// Where answers have neither a length nor chunks, a crash looks like the end of an answer.
func TestAnswersThatEndWithTheirConnectionAsEvidence(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for _, c := range []struct {
		path, answer string
		quarantined  bool
	}{
		{"/stream/", "", true},
		{"/stream/", event + "id: 2\nda", true},
		{"/stream/", event, false},
		{"/once/", "answer", false},
	} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.handle = func(_ string, req *http.Request, conn net.Conn) { writeUntilClose(conn, req, "HTTP/1.1", c.answer) }
			quarantined := false
			for range 12 {
				quarantined = quarantined || strings.Contains(call(g, client, "POST", c.path, poisonBody).body, "quarantined")
			}
			g.Expect(quarantined).To(Equal(c.quarantined), "%s %q", c.path, c.answer)
		})
	}
}

// An empty answer that ends with its connection may be a crash, and must not clear losses.
func TestEmptyAnswerThatEndsWithItsConnectionClearsNoLosses(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.processesEnd = true
		quarantined := false
		for i := range 24 {
			w.handle = resetConnection
			if i%2 == 1 {
				w.handle = func(_ string, req *http.Request, conn net.Conn) { writeUntilClose(conn, req, "HTTP/1.1", "") }
			}
			quarantined = quarantined || strings.Contains(call(g, client, "POST", "/once/", poisonBody).body, "quarantined")
			time.Sleep(restartTime)
		}
		g.Expect(quarantined).To(BeTrue())
	})
}

// A request that has run must not be reported as not run because a later attempt was
// quarantined.
func TestQuarantineAfterAnAttemptDoesNotReportNotRun(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = resetConnection
		var statuses []int
		for range 4 {
			before := w.receivedCount()
			got := call(g, client, "POST", "/safe/", poisonBody)
			statuses = append(statuses, got.status)
			if w.receivedCount() > before {
				g.Expect(got.status).To(Equal(502))
			}
		}
		g.Expect(statuses[len(statuses)-1]).To(Equal(503))
	})
}

// A stream that is quarantined halfway ends like any broken stream.
func TestStreamThatCrashesEndpointsIsNotResumedIndefinitely(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
			_, _ = fmt.Fprint(conn, "d\r\nid: 1\ndata: a\r\n")
			_ = conn.Close()
		}
		for range 6 {
			call(g, client, "POST", "/resume/", poisonBody)
		}
		g.Expect(w.receivedCount()).To(BeNumerically("<=", 5))
		g.Expect(call(g, client, "POST", "/resume/", poisonBody).status).To(Equal(503))
	})
}
