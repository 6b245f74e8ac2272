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

// countTo counts the requests that an endpoint has received.
func (w *routerFixture) countTo(endpoint string) int {
	n := 0
	for _, a := range w.received() {
		if a.endpoint == endpoint {
			n++
		}
	}
	return n
}

// sayingAt answers as e1 does by the given handler, and as a sound endpoint elsewhere.
func sayingAt(endpoint string, say func(string, *http.Request, net.Conn)) func(string, *http.Request, net.Conn) {
	return func(name string, req *http.Request, conn net.Conn) {
		if name == endpoint {
			say(name, req, conn)
			return
		}
		writeOK(conn, req, "fine")
	}
}

func TestEachKindOfAnswerThatSaysLeavingEndsNewRequests(t *testing.T) {
	for name, say := range map[string]func(string, *http.Request, net.Conn){
		"success":              answerSaying(200, "Leaving: 1\r\n"),
		"failure":              answerSaying(500, "Leaving: 1\r\n"),
		"refusal":              answerSaying(503, "Not-Run: 1\r\nLeaving: 1\r\n"),
		"refusal with backoff": answerSaying(503, "Not-Run: 1\r\nLeaving: 1\r\nBackoff: 1s\r\n"),
		"a body that breaks off": func(_ string, req *http.Request, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nfi", req.Header.Get("Id"))
			_ = conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.handle = sayingAt("e1", say)
				for w.countTo("e1") == 0 {
					call(g, client, "POST", "/safe/", "x")
				}
				for range 50 {
					g.Expect(call(g, client, "POST", "/safe/", "x").status).To(Equal(200))
					time.Sleep(100 * time.Millisecond)
				}
				g.Expect(w.countTo("e1")).To(Equal(1))
			})
		})
	}
}

// The head of a stream counts, not its end.
func TestStreamThatBeginsWithLeavingEndsNewRequests(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		leaving := map[string]string{"e1": "Leaving: 1\r\n"}
		w.handle = func(name string, req *http.Request, conn net.Conn) {
			if strings.HasPrefix(req.RequestURI, "/once/") {
				writeOK(conn, req, "fine")
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\n%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", req.Header.Get("Id"), leaving[name])
			time.Sleep(5 * time.Second)
			_ = conn.Close()
		}
		for range 3 { // one stream at each endpoint
			go call(g, client, "POST", "/stream/", "x")
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(w.countTo("e1")).To(Equal(1))
		for range 30 {
			g.Expect(call(g, client, "POST", "/once/", "x").status).To(Equal(200))
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(w.countTo("e1")).To(Equal(1))
		time.Sleep(5 * time.Second)
	})
}

func TestEndpointThatAsksForBackoffIsLeftAloneAndThenUsedAgain(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = sayingAt("e1", answerSaying(503, "Not-Run: 1\r\nBackoff: 3s\r\n"))
		for w.countTo("e1") == 0 {
			g.Expect(call(g, client, "POST", "/once/", "x").status).To(Equal(200), "served elsewhere")
		}
		for range 28 {
			g.Expect(call(g, client, "POST", "/once/", "x").status).To(Equal(200))
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(w.countTo("e1")).To(Equal(1), "none within 3 s")
		g.Expect(lastLine(w)).To(MatchRegexp(`"backing_off":\["e1: asked 2\.\d+s ago, \d+ms left"\]`), "the line tells which signal decided")
		w.handle = func(_ string, req *http.Request, conn net.Conn) { writeOK(conn, req, "fine") }
		for range 22 {
			g.Expect(call(g, client, "POST", "/once/", "x").status).To(Equal(200))
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(w.countTo("e1")).To(BeNumerically(">", 2), "used again within 2 s")
	})
}

func TestRequestIsRefusedUntilTheFirstEndpointsBackoffEnds(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		backoffs := map[string]string{"e1": "4s", "e2": "1500ms", "e3": "9s"}
		w.handle = func(name string, req *http.Request, conn net.Conn) {
			answerSaying(503, "Not-Run: 1\r\nBackoff: "+backoffs[name]+"\r\n")(name, req, conn)
		}
		for range 3 {
			call(g, client, "POST", "/once/", "x")
		}
		g.Expect(w.receivedCount()).To(Equal(3), "one at each endpoint")
		refused := call(g, client, "POST", "/once/", "x")
		g.Expect(w.receivedCount()).To(Equal(3), "nothing is sent")
		g.Expect(refused.status).To(Equal(503))
		after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(after).To(BeNumerically("~", 1.6, 0.5), "seconds")
		w.handle = func(_ string, req *http.Request, conn net.Conn) { writeOK(conn, req, "fine") }
		time.Sleep(time.Duration(after * float64(time.Second)))
		g.Expect(call(g, client, "POST", "/once/", "x").status).To(Equal(200))
		g.Expect(w.countTo("e2")).To(Equal(2), "the first that is free again")
	})
}

func TestRefusalWithoutRetryAfterIsNoBackoff(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = sayingAt("e1", answerSaying(503, "Not-Run: 1\r\n"))
		for range 60 {
			call(g, client, "POST", "/once/", "x")
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(w.countTo("e1")).To(BeNumerically(">", 5), "it is tried again as before")
	})
}

// The last endpoint's refusal alone would have the caller come back at once.
func TestRequestTurnedAwayByTheLastEndpointLearnsWhenTheFirstIsFree(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		for range 20 { // so that retries are allowed
			call(g, client, "POST", "/once/", "x")
		}
		w.handle = answerSaying(503, "Not-Run: 1\r\nBackoff: 4s\r\n")
		refused := call(g, client, "POST", "/once/", "x")
		g.Expect(w.receivedCount()).To(Equal(23), "tried at each endpoint")
		g.Expect(refused.status).To(Equal(429))
		after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(after).To(BeNumerically("~", 4.25, 0.3), "seconds")
	})
}
