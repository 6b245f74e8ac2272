package router_test

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const deadly = "deadly"

// reset is an endpoint that ends while it runs a request.
func reset(_ string, _ *http.Request, conn net.Conn) { _ = conn.Close() }

// short is one that ends in the middle of its answer.
func short(_ string, req *http.Request, conn net.Conn) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Length: 10\r\n\r\nhalf", req.Header.Get("Id"))
	_ = conn.Close()
}

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

// What an endpoint answers, however wrong, shows that it lives: the request is sent on.
func TestOnlyEndpointsThatEndHoldARequestBack(t *testing.T) {
	answer := func(status int, header, body string) func(string, *http.Request, net.Conn) {
		return func(_ string, req *http.Request, conn net.Conn) {
			writeAnswer(conn, status, strings.ReplaceAll(header, "ID", req.Header.Get("Id")), body)
		}
	}
	for _, c := range []struct {
		name string
		does func(string, *http.Request, net.Conn)
		held bool
	}{
		{"ends", reset, true},
		{"ends in mid-answer", short, true},
		{"fails", answer(500, "Id: ID\r\nSigned: f\r\n", "sorry"), false},
		{"is full", answer(503, "Id: ID\r\nNot-Run: 1\r\n", ""), false},
		{"answers another request", answer(200, "Id: other\r\nSigned: x\r\n", "no"), false},
		{"doesn't sign", answer(200, "Id: ID\r\n", "no"), false},
		{"talks nonsense", func(_ string, _ *http.Request, conn net.Conn) { _, _ = conn.Write([]byte("nonsense\r\n\r\n")) }, false},
	} {
		playRouted(t, func(g *WithT, w *world, client *http.Client) {
			w.answer = c.does
			held := false
			for range 12 {
				held = held || strings.Contains(call(g, client, "POST", "/once/", deadly).body, "quarantined")
			}
			g.Expect(held).To(Equal(c.held), c.name)
		})
	}
}

// A caller isn't told that its request didn't run because a later attempt was held back.
func TestARequestThatRanBeforeItIsHeldBackIsNotSaidNotToHaveRun(t *testing.T) {
	playRouted(t, func(g *WithT, w *world, client *http.Client) {
		w.answer = reset
		var statuses []int
		for range 4 {
			before := w.count()
			got := call(g, client, "POST", "/safe/", deadly)
			statuses = append(statuses, got.status)
			if w.count() > before {
				g.Expect(got.status).To(Equal(502))
			}
		}
		g.Expect(statuses[len(statuses)-1]).To(Equal(503))
	})
}

// A stream that is held back in its middle ends as one that broke off.
func TestAStreamThatEndsItsEndpointsIsNotResumedForEver(t *testing.T) {
	playRouted(t, func(g *WithT, w *world, client *http.Client) {
		w.answer = func(_ string, req *http.Request, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
			_, _ = fmt.Fprint(conn, "d\r\nid: 1\ndata: a\r\n")
			_ = conn.Close()
		}
		for range 6 {
			call(g, client, "POST", "/resume/", deadly)
		}
		g.Expect(w.count()).To(BeNumerically("<=", 5))
		g.Expect(call(g, client, "POST", "/resume/", deadly).status).To(Equal(503))
	})
}
