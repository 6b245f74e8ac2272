package router_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// malformedAnswer returns an answer whose body, a stream of one event or a plain text, is framed by its length.
// The status line and a header line are as given; empty for none.
func malformedAnswer(req *http.Request, statusLine, line string) string {
	const body = "id: 1\ndata: wrong\n\n"
	if line != "" {
		line += "\r\n"
	}
	return fmt.Sprintf("%s\r\nId: %s\r\nSigned: x\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, req.Header.Get("Id"), line, len(body), body)
}

// testMalformed plays an answer that is none to the first attempt of requests of each kind, and sound answers to
// the others.
func testMalformed(t *testing.T, name, statusLine, line string) {
	for path, again := range map[string]bool{"/once/": false, "/safe/": true, "/stream/": false, "/resume/": true} {
		t.Run(name+path, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.handle = func(_ string, req *http.Request, conn net.Conn) {
					if w.receivedCount() == 1 {
						_, _ = io.WriteString(conn, malformedAnswer(req, statusLine, line))
						return
					}
					writeEvents(conn, req, true, "id: 1\ndata: good\n\n")
				}
				began := time.Now()
				got := call(g, client, "POST", path, "x")
				g.Expect(got.err).NotTo(HaveOccurred())
				g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
				g.Expect(got.body).NotTo(ContainSubstring("wrong"))
				g.Expect(w.log.String()).To(ContainSubstring(`"message":"request ended"`))
				if !again {
					g.Expect(got.status).To(Equal(502))
					g.Expect(got.header).NotTo(HaveKey("Signed"), "it isn't the endpoint's failure")
					g.Expect(w.receivedCount()).To(Equal(1))
					return
				}
				g.Expect(got.status).To(Equal(200))
				g.Expect(got.body).To(ContainSubstring("good"))
				g.Expect(w.receivedCount()).To(Equal(2))
			})
		})
	}
}

// Guards against callers who get no answer, or an answer that is none in HTTP.
func TestAnswerWithoutAFinalStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000 X", "000", "-00 X", "+20 X", "099 X", "101 Switching Protocols", "600 X", "999 X"} {
		testMalformed(t, status, "HTTP/1.1 "+status, "")
	}
}

func TestAnswerWithAnUnreadableStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"20 X", "2000 X", "-99 X", "2x0 X"} {
		testMalformed(t, status, "HTTP/1.1 "+status, "")
	}
}

// Guards against an answer of another protocol than the connection's.
func TestAnswerOfAnotherMajorVersionIsNotPassedOn(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.0"} {
		testMalformed(t, version, version+" 200 OK", "")
	}
}

// Guards against an answer whose body was read as if one of its lines weren't there.
func TestAnswerWithABlankInTheNameOfAFieldIsNotPassedOn(t *testing.T) {
	for _, line := range []string{"X Trouble: 1", "X-Trouble : 1", "Content Encoding: gzip", "Content-Length : 5", "Transfer-Encoding : chunked", "Not-Run : 1"} {
		testMalformed(t, line, "HTTP/1.1 200 OK", line)
		testMalformed(t, "500 "+line, "HTTP/1.1 500 X", line)
	}
}

func TestAnswerWithAnInvalidFieldIsNotPassedOn(t *testing.T) {
	for _, line := range []string{
		"X\tTrouble: 1", "X-Trouble\t: 1", "X\x01Trouble: 1", "X\x00Trouble: 1", "X\x7fTrouble: 1", "X\rTrouble: 1", "X\xfcTrouble: 1",
		": 1", "X-Trouble", "X-Trouble: \x01", "X-Trouble: \x00", "Content-Length: 5",
	} {
		testMalformed(t, fmt.Sprintf("%q", line), "HTTP/1.1 200 OK", line)
	}
}

// Guards against what a head that is none promises or says of its endpoint.
func TestRefusalWithABlankInTheNameOfAFieldPromisesNothing(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			writeAnswer(conn, 503, "Id: "+req.Header.Get("Id")+"\r\nNot-Run: 1\r\nLeaving: 1\r\nX Trouble: 1\r\n", "")
		}
		for run := range 3 { // each endpoint is still used
			g.Expect(call(g, client, "POST", "/once/", "x").status).To(Equal(502))
			g.Expect(w.receivedCount()).To(Equal(run + 1))
			time.Sleep(time.Minute)
		}
	})
}

func TestFoldedValueIsPassedOnInOneLine(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			writeAnswer(conn, 200, "Id: "+req.Header.Get("Id")+"\r\nSigned: x\r\nX-Long: a\r\n  b\r\n", "fine")
		}
		got := call(g, client, "POST", "/once/", "x")
		g.Expect(got.status).To(Equal(200))
		g.Expect(got.header.Get("X-Long")).To(Equal("a b"))
		g.Expect(got.body).To(Equal("fine"))
	})
}

// Guards against a share of an endpoint's room that is lost with each answer that is none.
func TestEndpointGetsAsManyRequestsAfterAnswersWithoutAFinalStatus(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.endpoints = w.endpoints[:1]
		const more = 20 // than the endpoint has slots
		for range more {
			w.handle = func(_ string, req *http.Request, conn net.Conn) {
				_, _ = io.WriteString(conn, malformedAnswer(req, "HTTP/1.1 000 X", ""))
			}
			g.Expect(call(g, client, "POST", "/once/", "x").status).To(Equal(502))
			w.handle = func(_ string, req *http.Request, conn net.Conn) { writeOK(conn, req, "fine") }
			time.Sleep(time.Minute) // the endpoint is used again
			g.Expect(call(g, client, "POST", "/once/", "x").status).To(Equal(200))
		}
		now := time.Now()
		for _, view := range w.pool.Views(now, w.endpoints) {
			g.Expect(view.Inflight).To(BeZero())
		}
		g.Expect(strings.Count(w.log.String(), `"message":"request ended"`)).To(Equal(2 * more))
	})
}
