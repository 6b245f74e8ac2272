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

	"coveferry/internal/streamversion"
)

// numberedEvents returns events with the given IDs.
func numberedEvents(ids ...int) string {
	var text strings.Builder
	for _, id := range ids {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}

// eventsFrom returns the events from the first ID to the last.
func eventsFrom(first, last int) string {
	var ids []int
	for id := first; id <= last; id++ {
		ids = append(ids, id)
	}
	return numberedEvents(ids...)
}

// setMaxRuns sets at how many endpoints a request on a route may run.
func (w *routerFixture) setMaxRuns(routeName string, runs int) {
	c := testConfig()
	for i := range c.Routes {
		if c.Routes[i].Name == routeName {
			c.Routes[i].MaxRuns = runs
		}
	}
	w.table = mustTable(c)
}

// teachNumbering has the router see whole streams whose events are numbered without gaps.
func teachNumbering(g *WithT, w *routerFixture, client *http.Client) {
	w.handle = func(_ string, req *http.Request, conn net.Conn) { writeEvents(conn, req, true, eventsFrom(1, 400)) }
	g.Expect(call(g, client, "POST", "/resume/", "x").err).NotTo(HaveOccurred())
	w.mu.Lock()
	w.arrivals = nil
	w.mu.Unlock()
}

func TestStreamThatGoesOnInTheWrongPlaceIsPutRightOrBrokenOff(t *testing.T) {
	for _, c := range []struct {
		name     string
		goesOn   string // the answer of each endpoint that goes on after event 4
		want     string
		complete bool
	}{
		{"begins at 1 again", eventsFrom(1, 10), eventsFrom(1, 10), true},
		{"repeats the last event", eventsFrom(4, 10), eventsFrom(1, 10), true},
		{"repeats all and brings nothing", eventsFrom(1, 4), eventsFrom(1, 4), true},
		{"leaves out an event", eventsFrom(6, 10), eventsFrom(1, 4), false},
		{"names no event", "data: piece 5\n\n", eventsFrom(1, 4), false},
		{"numbers in another way", "id: run-2-5\ndata: piece 5\n\n", eventsFrom(1, 4), false},
		{"goes on", eventsFrom(5, 10), eventsFrom(1, 10), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.handle = func(_ string, req *http.Request, conn net.Conn) {
					if req.Header.Get("Last") == "" {
						writeEvents(conn, req, false, eventsFrom(1, 4))
						return
					}
					g.Expect(req.Header.Get("Last")).To(Equal("4"))
					writeEvents(conn, req, true, c.goesOn)
				}
				got := call(g, client, "POST", "/resume/", "x")
				g.Expect(got.body).To(Equal(c.want))
				g.Expect(got.err == nil).To(Equal(c.complete))
			})
		})
	}
}

func TestStreamThatItsCallerResumesBeginsAfterTheEventsThatItHas(t *testing.T) {
	for _, c := range []struct {
		name, answer, want string
		served             bool
	}{
		{"begins at 1", eventsFrom(1, 10), eventsFrom(4, 10), true},
		{"repeats the last event", eventsFrom(3, 10), eventsFrom(4, 10), true},
		{"leaves out an event", eventsFrom(5, 10), "", false},
		{"names no event", "data: piece 4\n\n", "", false},
		{"goes on", eventsFrom(4, 10), eventsFrom(4, 10), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.handle = func(_ string, req *http.Request, conn net.Conn) { writeEvents(conn, req, true, c.answer) }
				w.streams.Begin(time.Now(), streamversion.IDOf("first"), streamversion.ServiceVersion{Service: "s"})
				got := call(g, client, "POST", "/resume/", "x", "Begun-By", "first", "Last", "3")
				g.Expect(got.err).NotTo(HaveOccurred())
				if !c.served {
					g.Expect(got.status).To(Equal(502))
					return
				}
				g.Expect(got.status).To(Equal(200))
				g.Expect(got.body).To(Equal(c.want))
			})
		})
	}
}

func TestStreamThatGoesOnAtAnotherEndpointAfterAGapIsWhole(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.setMaxRuns("resume", 3)
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			switch w.receivedCount() {
			case 1:
				writeEvents(conn, req, false, eventsFrom(1, 4))
			case 2:
				writeEvents(conn, req, true, eventsFrom(6, 10))
			default:
				writeEvents(conn, req, true, eventsFrom(5, 10))
			}
		}
		got := call(g, client, "POST", "/resume/", "x")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.body).To(Equal(eventsFrom(1, 10)))
		g.Expect(w.receivedCount()).To(Equal(3))
	})
}

func TestEventsThatComeAgainInOneRunAreLeftOut(t *testing.T) {
	for name, run := range map[string]string{
		"at once":            numberedEvents(1, 2, 3, 3, 4, 5),
		"a part of them":     numberedEvents(1, 2, 3, 4, 3, 4, 5),
		"all":                numberedEvents(1, 2, 3, 1, 2, 3, 4, 5),
		"only the ones held": numberedEvents(1, 2, 3, 4, 5, 1, 2),
	} {
		for _, path := range []string{"/stream/", "/resume/"} {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.handle = func(_ string, req *http.Request, conn net.Conn) { writeEvents(conn, req, true, run) }
				got := call(g, client, "POST", path, "x")
				g.Expect(got.err).NotTo(HaveOccurred(), name)
				g.Expect(got.body).To(Equal(eventsFrom(1, 5)), name)
			})
		}
	}
}

func TestRunThatLeavesOutAnEventIsBrokenOffThere(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		teachNumbering(g, w, client)
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			switch {
			case req.Header.Get("From-Copy") != "":
				writeAnswer(conn, 503, "Id: "+req.Header.Get("Id")+"\r\nNot-Run: 1\r\n", "")
			case req.Header.Get("Last") != "":
				writeEvents(conn, req, true, eventsFrom(4, 6))
			default:
				writeEvents(conn, req, true, numberedEvents(1, 2, 3, 5, 6))
			}
		}
		got := call(g, client, "POST", "/resume/", "x")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.body).To(Equal(eventsFrom(1, 6)))
		got = call(g, client, "POST", "/stream/", "x")
		g.Expect(got.err).To(HaveOccurred())
		g.Expect(got.body).To(Equal(eventsFrom(1, 3)))
	})
}

func TestServiceWhoseNumbersHaveGapsIsServedAndResumed(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		const head, rest = "id: 6\ndata: a\n\nid: 12\ndata: b\n\n", "id: 18\ndata: c\n\n"
		w.handle = func(_ string, req *http.Request, conn net.Conn) { writeEvents(conn, req, true, head+rest) }
		for range 200 {
			g.Expect(call(g, client, "POST", "/resume/", "x").body).To(Equal(head + rest))
		}
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			if req.Header.Get("Last") == "12" {
				writeEvents(conn, req, true, rest)
				return
			}
			writeEvents(conn, req, false, head)
		}
		got := call(g, client, "POST", "/resume/", "x")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.body).To(Equal(head + rest))
	})
}

func TestStreamWithoutNumbersNeverBeginsAgainInAnAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"no event has an ID":            "data: piece 1\n\ndata: piece 2\n\n",
		"the last event has no ID":      "id: 1\ndata: piece 1\n\ndata: piece 2\n\n",
		"the ID is taken back":          "id: 1\ndata: piece 1\n\nid\ndata: piece 2\n\n",
		"an event of its name without":  "id: 1\ndata: piece 1\n\nevent: piece\ndata: piece 2\n\n",
		"the ID stands in another line": "data: id: 1\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.handle = func(_ string, req *http.Request, conn net.Conn) {
					writeEvents(conn, req, w.receivedCount() > 1, head)
				}
				got := call(g, client, "POST", "/resume/", "x")
				g.Expect(got.err).To(HaveOccurred())
				g.Expect(got.body).To(Equal(head))
			})
		})
	}
}

// Guards against another reading of an event's fields than the caller's.
func TestStreamsInEachSpellingGoOnAfterTheLastEvent(t *testing.T) {
	for name, head := range map[string]string{
		"CRLF":                    "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"CR":                      "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
		"mixed ends of lines":     "id: 1\ndata: a\n\r\nid: 2\r\ndata: b\n\n",
		"no space":                "id:1\ndata:a\n\nid:2\ndata:b\n\n",
		"the ID after the data":   "data: a\nid: 1\n\ndata: b\nid: 2\n\n",
		"an ID within the data":   "id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\n",
		"a field that is no ID":   "id: 1\ndata: a\n\nid: 2\nident: 9\ndata: b\n\n",
		"two IDs in an event":     "id: 1\ndata: a\n\nid: 9\nid: 2\ndata: b\n\n",
		"a retry time at the end": "id: 1\ndata: a\n\nid: 2\ndata: b\n\nretry: 100\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.handle = func(_ string, req *http.Request, conn net.Conn) {
					if req.Header.Get("Last") == "2" {
						writeEvents(conn, req, true, "id: 3\ndata: c\n\n")
						return
					}
					writeEvents(conn, req, false, head, "id: 3\nda")
				}
				got := call(g, client, "POST", "/resume/", "x")
				g.Expect(got.err).NotTo(HaveOccurred())
				g.Expect(got.body).To(Equal(head + "id: 3\ndata: c\n\n"))
			})
		})
	}
}

// An endpoint whose second answer to a request comes on a kept connection.
func TestSecondAnswerOfTheSameRequestBringsNoEventTwice(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			whole := eventsFrom(1, 6)
			if w.receivedCount() == 1 {
				writeEvents(conn, req, false, eventsFrom(1, 4))
				return
			}
			writeEvents(conn, req, true, whole)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Length: %d\r\n\r\n", req.Header.Get("Id"), len(whole))
			_, _ = io.WriteString(conn, whole)
		}
		got := call(g, client, "POST", "/resume/", "x")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.body).To(Equal(eventsFrom(1, 6)))
	})
}

// Guards against events without an end that bring nothing new.
func TestEndpointThatRepeatsWithoutEndIsGivenUp(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			if w.receivedCount() > 1 {
				writeEvents(conn, req, true, eventsFrom(3, 4))
				return
			}
			again := eventsFrom(1, 2)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\n\r\n%s", req.Header.Get("Id"), again)
			for range 16 << 20 / len(again) {
				if _, err := io.WriteString(conn, again); err != nil {
					return
				}
			}
		}
		got := call(g, client, "POST", "/resume/", "x")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.body).To(Equal(eventsFrom(1, 4)))
	})
}
