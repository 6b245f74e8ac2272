package router_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
)

// writeEvents writes the given events and then completes or breaks the stream.
func writeEvents(conn net.Conn, req *http.Request, whole bool, texts ...string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
	for _, text := range texts {
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	}
	if whole {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return
	}
	_ = conn.Close()
}

func TestBrokenStreamResumesAfterLastCompleteEvent(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			if req.Header.Get("Last") == "2" {
				writeEvents(conn, req, true, "id: 3\ndata: c\n\n")
				return
			}
			writeEvents(conn, req, false, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\nda")
		}
		got := call(g, client, "POST", "/resume/", "x")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.body).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"))
		g.Expect(w.receivedCount()).To(Equal(2))
		g.Expect(w.received()[1].endpoint).NotTo(Equal(w.received()[0].endpoint))
	})
}

func TestStreamOfNonResumableRouteResumesFromItsCopy(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(endpoint string, req *http.Request, conn net.Conn) {
			if req.Header.Get("From-Copy") != "" {
				writeEvents(conn, req, true, "id: 2\ndata: b\n\n")
				return
			}
			writeEvents(conn, req, false, "id: 1\ndata: a\n\n")
		}
		got := call(g, client, "POST", "/tight/", "x", "Prompt", "1")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(got.body).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
		g.Expect(w.receivedCount()).To(Equal(2))
		first, second := w.received()[0].header, w.received()[1].header
		g.Expect(first.Get("Copy-To")).NotTo(BeEmpty())
		g.Expect(second.Get("From-Copy")).To(Equal(first.Get("Copy-To")))
		g.Expect(second.Get("Last")).To(Equal("1"))
		g.Expect(second.Get("Copy-To")).To(BeEmpty())
	})
}

func TestStreamOfNonResumableRouteIsCutOffWithoutItsCopy(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(endpoint string, req *http.Request, conn net.Conn) {
			if req.Header.Get("From-Copy") != "" {
				writeAnswer(conn, 503, "Id: "+req.Header.Get("Id")+"\r\nNot-Run: 1\r\n", "")
				return
			}
			writeEvents(conn, req, false, "id: 1\ndata: a\n\n")
		}
		got := call(g, client, "POST", "/tight/", "x", "Prompt", "1")
		g.Expect(got.err).To(HaveOccurred())
		g.Expect(w.receivedCount()).To(Equal(2))
	})
}

// The endpoint that holds the copy is set to leaving while the stream runs. It gets no new
// requests, and the stream can't run again elsewhere, so it is cut off.
func TestStreamDoesNotResumeFromACopyAtALeavingEndpoint(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(endpoint string, req *http.Request, conn net.Conn) {
			for _, name := range []string{"e1", "e2", "e3"} {
				w.pool.SetLeaving(name, name != endpoint)
			}
			writeEvents(conn, req, false, "id: 1\ndata: a\n\n")
		}
		got := call(g, client, "POST", "/tight/", "x", "Prompt", "1")
		g.Expect(got.err).To(HaveOccurred())
		g.Expect(w.receivedCount()).To(Equal(1))
		g.Expect(w.received()[0].header.Get("Copy-To")).NotTo(BeEmpty())
	})
}

// An endpoint that loses answers can't say that it has no copy, and may have begun anew.
func TestStreamThatMayNotRunTwiceDoesNotGoOnFromACopyAtAnEndpointThatLosesAnswers(t *testing.T) {
	for _, c := range []struct {
		path   string
		before time.Duration // the lost answer, before the stream breaks
		goesOn bool
	}{
		{"/tight/", 0, false},
		{"/tight/", time.Second, false},
		{"/tight/", 4 * time.Second, true},
		{"/resume/", 0, true},
	} {
		t.Run(fmt.Sprint(c.path, c.before), func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.handle = func(endpoint string, req *http.Request, conn net.Conn) {
					if req.Header.Get("Last") != "" {
						writeEvents(conn, req, true, "id: 2\ndata: b\n\n")
						return
					}
					for _, name := range []string{"e1", "e2", "e3"} {
						if name != endpoint {
							w.pool.RecordLostAnswer(time.Now(), name)
						}
					}
					time.Sleep(c.before)
					writeEvents(conn, req, false, "id: 1\ndata: a\n\n")
				}
				got := call(g, client, "POST", c.path, "x", "Prompt", "1")
				g.Expect(got.err == nil).To(Equal(c.goesOn))
				g.Expect(w.receivedCount()).To(Equal(map[bool]int{true: 2, false: 1}[c.goesOn]))
			})
		})
	}
}

// Of endpoints that lose answers the one with the copy may be one, though nobody has seen it yet.
func TestStreamThatMayNotRunTwiceDoesNotGoOnFromACopyWhereManyEndpointsLoseAnswers(t *testing.T) {
	for _, losing := range []int{1, 2} {
		runRoutedAmong(t, balance.Config{}, 9, func(g *WithT, w *routerFixture, client *http.Client) {
			w.handle = func(endpoint string, req *http.Request, conn net.Conn) {
				if req.Header.Get("Last") != "" {
					writeEvents(conn, req, true, "id: 2\ndata: b\n\n")
					return
				}
				lost := 0
				for _, e := range w.endpoints {
					if e.Name != endpoint && e.Address != req.Header.Get("Copy-To") && lost < losing {
						lost++
						w.pool.RecordLostAnswer(time.Now(), e.Name)
					}
				}
				writeEvents(conn, req, false, "id: 1\ndata: a\n\n")
			}
			got := call(g, client, "POST", "/tight/", "x", "Prompt", "1")
			g.Expect(got.err == nil).To(Equal(losing < 2))
			g.Expect(w.receivedCount()).To(Equal(3 - losing))
		})
	}
}

func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/"} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.handle = func(_ string, req *http.Request, conn net.Conn) {
				writeEvents(conn, req, false, "id: 1\ndata: a\n\n", "id: 2\n")
			}
			got := call(g, client, "POST", path, "x")
			g.Expect(got.status).To(Equal(200))
			g.Expect(got.err).To(HaveOccurred())
			g.Expect(got.body).NotTo(ContainSubstring("id: 2"))
		})
	}
}

func TestStreamEndingWithinAnEventIsBroken(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			writeEvents(conn, req, true, "id: 1\ndata: a\n\nid: 2\nda")
		}
		g.Expect(call(g, client, "POST", "/stream/", "x").err).To(HaveOccurred())
	})
}

// Guards against streams that wait at an unresponsive failure domain. No connection breaks
// there: without resuming, 42 of 250 urgent streams waited until their callers disconnected
// after 3.2 s, although their runs had been copied elsewhere.
func TestStreamResumesFromItsCopyWhenEndpointIsUnresponsive(t *testing.T) {
	for name, inUse := range map[string]bool{"copy in use": true, "copy not in use": false} {
		t.Run(name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.handle = func(endpoint string, req *http.Request, conn net.Conn) {
					if req.Header.Get("From-Copy") != "" {
						writeEvents(conn, req, true, "id: 2\ndata: b\n\n")
						return
					}
					for _, other := range []string{"e1", "e2", "e3"} {
						w.pool.SetSuspect(other, !inUse && other != endpoint)
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", req.Header.Get("Id"), 15, "id: 1\ndata: a\n\n")
					time.Sleep(time.Second)
					w.router.ResumeFromCopies(endpoint)
					time.Sleep(time.Second)
					_, _ = io.WriteString(conn, "f\r\nid: 2\ndata: z\n\n\r\n0\r\n\r\n")
				}
				got := call(g, client, "POST", "/tight/", "x", "Prompt", "1")
				time.Sleep(2 * time.Second) // until the first endpoint has finished
				g.Expect(got.err).NotTo(HaveOccurred())
				last := map[bool]string{true: "b", false: "z"}[inUse]
				g.Expect(got.body).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: " + last + "\n\n"))
			})
		})
	}
}

// A stream without a copy keeps waiting, since the endpoint may recover.
func TestStreamWithoutACopyWaitsForUnresponsiveEndpoint(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(endpoint string, req *http.Request, conn net.Conn) {
			w.router.ResumeFromCopies(endpoint)
			time.Sleep(time.Second)
			w.router.ResumeFromCopies(endpoint)
			writeEvents(conn, req, true, "id: 1\ndata: a\n\n")
		}
		got := call(g, client, "POST", "/resume/", "x")
		g.Expect(got.body).To(Equal("id: 1\ndata: a\n\n"))
		g.Expect(w.receivedCount()).To(Equal(1))
	})
}

// Guards against an endpoint's failure that is written into a stream, which then looks complete.
func TestFailureOfAResumedAttemptIsNotWrittenIntoTheStream(t *testing.T) {
	for _, status := range []int{400, 404, 500} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.handle = func(_ string, req *http.Request, conn net.Conn) {
				if req.Header.Get("Last") != "" {
					writeAnswer(conn, status, "Id: "+req.Header.Get("Id")+"\r\nSigned: x\r\n", "no")
					return
				}
				writeEvents(conn, req, false, "id: 1\ndata: a\n\n")
			}
			got := call(g, client, "POST", "/resume/", "x")
			g.Expect(got.err).To(HaveOccurred(), "%d", status)
			g.Expect(got.body).To(Equal("id: 1\ndata: a\n\n"))
		})
	}
}
