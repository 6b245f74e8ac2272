package router_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestWhatMayRunAgain plays a first answer and says how often the request then
// arrives and what its caller gets.
func TestWhatMayRunAgain(t *testing.T) {
	notRun := func(_ string, req *http.Request, conn net.Conn) {
		writeAnswer(conn, 503, "Id: "+req.Header.Get("Id")+"\r\nNot-Run: 1\r\n", "")
	}
	moved := func(_ string, req *http.Request, conn net.Conn) {
		writeAnswer(conn, 421, "Id: "+req.Header.Get("Id")+"\r\n", "")
	}
	failed := func(_ string, req *http.Request, conn net.Conn) {
		writeAnswer(conn, 500, "Id: "+req.Header.Get("Id")+"\r\nSigned: f\r\n", "sorry")
	}
	unmarked := func(_ string, req *http.Request, conn net.Conn) {
		writeAnswer(conn, 503, "Id: "+req.Header.Get("Id")+"\r\nSigned: f\r\n", "busy")
	}
	foreign := func(_ string, _ *http.Request, conn net.Conn) {
		writeAnswer(conn, 200, "Id: other\r\nSigned: x\r\n", "not yours")
	}
	unsigned := func(_ string, req *http.Request, conn net.Conn) {
		writeAnswer(conn, 200, "Id: "+req.Header.Get("Id")+"\r\n", "between")
	}
	garbage := func(_ string, _ *http.Request, conn net.Conn) { _, _ = conn.Write([]byte("garbage\r\n\r\n")) }
	for _, c := range []struct {
		name   string
		first  func(string, *http.Request, net.Conn)
		path   string
		method string
		status int
		runs   int
	}{
		{"not run, non-idempotent", notRun, "/once/", "POST", 200, 2},
		{"not run, idempotent", notRun, "/safe/", "GET", 200, 2},
		{"moved", moved, "/once/", "POST", 200, 2},
		{"failed, non-idempotent", failed, "/once/", "POST", 500, 1},
		{"failed, idempotent", failed, "/safe/", "GET", 200, 2},
		{"a refusal without the mark", unmarked, "/once/", "POST", 503, 1},
		{"reset, non-idempotent", reset, "/once/", "POST", 502, 1},
		{"reset, non-idempotent without a body", reset, "/once/", "GET", 502, 1},
		{"reset, idempotent", reset, "/safe/", "GET", 200, 2},
		{"another's answer, non-idempotent", foreign, "/once/", "POST", 502, 1},
		{"another's answer, idempotent", foreign, "/safe/", "GET", 200, 2},
		{"unsigned", unsigned, "/once/", "POST", 502, 1},
		{"garbage", garbage, "/once/", "POST", 502, 1},
		{"cut short, non-idempotent", short, "/once/", "POST", 502, 1},
		{"cut short, idempotent", short, "/safe/", "GET", 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			playRouted(t, func(g *WithT, w *world, client *http.Client) {
				good := w.answer
				w.answer = func(e string, req *http.Request, conn net.Conn) {
					if w.count() == 1 {
						c.first(e, req, conn)
						return
					}
					good(e, req, conn)
				}
				got := call(g, client, c.method, c.path, "x"[:len(c.method)-3])
				g.Expect(got.status).To(Equal(c.status), got.body)
				g.Expect(w.count()).To(Equal(c.runs))
				g.Expect(got.body).NotTo(ContainSubstring("not yours"))
			})
		})
	}
}

func TestAnIdempotencyHeaderHasTheLibraryRepeatNothing(t *testing.T) {
	playRouted(t, func(g *WithT, w *world, client *http.Client) {
		g.Expect(call(g, client, "POST", "/once/", "x").status).To(Equal(200)) // leaves a connection
		w.answer = func(_ string, _ *http.Request, conn net.Conn) { _ = conn.Close() }
		for range 3 {
			before := w.count()
			got := call(g, client, "POST", "/once/", "x", "Idempotency-Key", "i")
			g.Expect(got.status).To(Equal(502))
			g.Expect(w.count()).To(Equal(before + 1))
		}
	})
}

func TestARequestThatRanOftenEnoughEndsWithTheEndpointsAnswer(t *testing.T) {
	playRouted(t, func(g *WithT, w *world, client *http.Client) {
		w.answer = func(_ string, req *http.Request, conn net.Conn) {
			writeAnswer(conn, 500, "Id: "+req.Header.Get("Id")+"\r\nSigned: f\r\n", "sorry")
		}
		got := call(g, client, "GET", "/safe/", "")
		g.Expect(got.status).To(Equal(500))
		g.Expect(got.body).To(Equal("sorry"))
		g.Expect(got.header.Get("Signed")).To(Equal("f"))
		g.Expect(w.count()).To(Equal(2))
	})
}

func TestWhatAllRefuseIsRefusedAtOnceWithATimeToComeBack(t *testing.T) {
	playRouted(t, func(g *WithT, w *world, client *http.Client) {
		w.answer = func(_ string, req *http.Request, conn net.Conn) {
			writeAnswer(conn, 503, "Id: "+req.Header.Get("Id")+"\r\nNot-Run: 1\r\n", "")
		}
		began := time.Now()
		got := call(g, client, "POST", "/once/", "x")
		g.Expect(got.status).To(BeElementOf(429, 503))
		g.Expect(got.header.Get("Retry-After")).To(Equal("0.1"))
		g.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
	})
}

func TestASilentEndpointIsAnsweredForAtTheDeadline(t *testing.T) {
	playRouted(t, func(g *WithT, w *world, client *http.Client) {
		w.answer = func(string, *http.Request, net.Conn) { time.Sleep(time.Minute) }
		began := time.Now()
		got := call(g, client, "POST", "/once/", "x", "Patience", "700ms")
		g.Expect(got.status).To(Equal(504))
		g.Expect(time.Since(began)).To(BeNumerically("~", 750*time.Millisecond, 55*time.Millisecond))
		left, err := time.ParseDuration(w.arrived()[0].header.Get("Left"))
		g.Expect(err).NotTo(HaveOccurred())
		// What is left is counted by the machine's own clock, which no fake stops.
		g.Expect(left).To(BeNumerically("~", 690*time.Millisecond, 10*time.Millisecond))
		time.Sleep(time.Minute)
	})
}

// How much of its part of the retries a router had used couldn't be seen from outside.
func TestTheLineOfARequestTellsHowMuchOfTheBudgetWasUsed(t *testing.T) {
	playRouted(t, func(g *WithT, w *world, client *http.Client) {
		good := w.answer
		fail := true
		w.answer = func(endpoint string, req *http.Request, conn net.Conn) {
			if fail {
				fail = false
				reset(endpoint, req, conn)
				return
			}
			good(endpoint, req, conn)
		}
		g.Expect(call(g, client, "POST", "/safe/", "x").status).To(Equal(200))
		g.Expect(w.log.String()).To(MatchRegexp(`attempt 1 at e\d: .*, repeat, retries 1 of 10.1 by one of 1 routers"`))
	})
}
