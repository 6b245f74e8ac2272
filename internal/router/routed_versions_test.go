package router_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/route"
	"coveferry/internal/streamversion"
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
	w.updateList()
}

// Without this a stream that changes the version can't be told from one that doesn't.
func TestLogLineContainsVersionsAndWhatIsResumed(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.setVersions("v1", "v1", "v1")
		w.handle = func(_ string, req *http.Request, conn net.Conn) { writeEvents(conn, req, true, "id: 5\ndata: e\n\n") }
		w.streams.Begin(time.Now(), streamversion.IDOf("first"), streamversion.ServiceVersion{Service: "s", Version: "v1"})
		call(g, client, "POST", "/resume/", "x", "Begun-By", "first", "Last", "4")
		g.Expect(lastLine(w)).To(MatchRegexp(`"attempt 1 at e\d \(v1\): complete, .*"resumes":"first","resumed_after":"4","begun_at":"v1","known_by":"own","known_for":0`))
	})
}

// breakingAfter returns a handler whose streams bring the given number of events after the last one
// that the caller has, and then break off.
func breakingAfter(events int) func(string, *http.Request, net.Conn) {
	return func(_ string, req *http.Request, conn net.Conn) {
		last, _ := strconv.Atoi(req.Header.Get("Last")) // 0 if missing
		var texts []string
		for i := range events {
			texts = append(texts, fmt.Sprintf("id: %d\ndata: x\n\n", last+i+1))
		}
		writeEvents(conn, req, false, texts...)
	}
}

// versionsOf returns the versions of the endpoints that requests from the given one on arrived at.
func (w *routerFixture) versionsOf(from int) []string {
	var versions []string
	for _, a := range w.received()[from:] {
		for _, e := range w.endpoints {
			if e.Name == a.endpoint {
				versions = append(versions, e.Version)
			}
		}
	}
	return versions
}

// callOnlyAt makes a call while all other endpoints are leaving.
func (w *routerFixture) callOnlyAt(g *WithT, endpoint string, client *http.Client, path string, header ...string) reply {
	handle := w.handle
	defer func() { w.handle = handle }()
	w.handle = func(name string, req *http.Request, conn net.Conn) {
		for _, e := range w.endpoints {
			w.pool.SetLeaving(e.Name, false)
		}
		handle(name, req, conn)
	}
	for _, e := range w.endpoints {
		w.pool.SetLeaving(e.Name, e.Name != endpoint)
	}
	return call(g, client, "POST", path, "x", header...)
}

func TestBrokenStreamGoesOnOnlyAtTheVersionThatBeganIt(t *testing.T) {
	for _, begun := range []string{"e1", "e2", "e3"} {
		for _, versions := range [][]string{{"v1", "v1", "v2"}, {"v2", "v1", "v1"}, {"v1", "v2", "v1"}, {"v1", "v2", ""}, {"", "", "v1"}} {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.setVersions(versions...)
				w.handle = breakingAfter(1)
				w.callOnlyAt(g, begun, client, "/resume/")
				at := w.versionsOf(0)
				for _, version := range at {
					g.Expect(version).To(Equal(at[0]), "begun at %s of %v", begun, versions)
				}
				g.Expect(at).To(HaveLen(2), "it goes on at its version, if need be at the same endpoint: begun at %s of %v", begun, versions)
			})
		}
	}
}

func TestStreamWhoseVersionHasNoOtherEndpointIsCutOffAtOnce(t *testing.T) {
	for name, withdraw := range map[string]func(w *routerFixture){
		"it is no longer listed":  func(w *routerFixture) { w.endpoints = w.endpoints[1:] },
		"it is leaving":           func(w *routerFixture) { w.pool.SetLeaving("e1", true) },
		"its connections fail":    func(w *routerFixture) { w.pool.SetSuspect("e1", true) },
		"its entry has a new one": func(w *routerFixture) { w.setVersions("v2", "v2", "v2") },
	} {
		t.Run(name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.setVersions("v1", "v2", "v2")
				w.handle = func(endpoint string, req *http.Request, conn net.Conn) {
					withdraw(w)
					breakingAfter(1)(endpoint, req, conn)
				}
				start := time.Now()
				got := w.callOnlyAt(g, "e1", client, "/resume/")
				g.Expect(got.err).To(HaveOccurred(), "it must not look complete")
				g.Expect(w.receivedCount()).To(Equal(1))
				g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
			})
		})
	}
}

func TestAttemptBeforeTheFirstEventUsesAnyVersion(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.setVersions("v1", "v2", "v2")
		w.handle = func(name string, req *http.Request, conn net.Conn) {
			writeEvents(conn, req, name != "e1", map[bool][]string{true: {"id: 1\ndata: x\n\n"}}[name != "e1"]...)
		}
		got := w.callOnlyAt(g, "e1", client, "/resume/")
		g.Expect(got.err).NotTo(HaveOccurred())
		g.Expect(w.versionsOf(0)).To(Equal([]string{"v1", "v2"}))
	})
}

func TestCopyOfARunIsKeptOnlyAtItsVersion(t *testing.T) {
	for _, versions := range [][]string{{"v1", "v2", "v2"}, {"v1", "v2", "v1"}, {"v1", "v1", "v2"}} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.setVersions(versions...)
			w.handle = breakingAfter(1)
			copied := 0
			for range 4 {
				before := w.receivedCount()
				call(g, client, "POST", "/tight/", "x", "Prompt", "1")
				for i, at := range w.received()[before:] {
					if i > 0 {
						g.Expect(w.versionsOf(before)[i]).To(Equal(w.versionsOf(before)[0]), "the run goes on at its version")
					}
					for _, e := range w.endpoints {
						if e.Address == at.header.Get("Copy-To") {
							copied++
							g.Expect(e.Version).To(Equal(w.versionsOf(before)[i]), "%v", versions)
						}
					}
				}
			}
			g.Expect(copied).To(BeNumerically(">", 0), "%v", versions)
		})
	}
}

func TestOnlyStreamsThatMayBeResumedAreRemembered(t *testing.T) {
	for path, remembered := range map[string]bool{"/stream/": false, "/resume/": true} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.handle = breakingAfter(1)
			g.Expect(call(g, client, "POST", path, "x", "Id", "first").status).To(Equal(200))
			answer := w.streams.Answer(context.Background(), time.Now(), streamversion.Query{ID: streamversion.IDOf("first"), Service: "s"})
			g.Expect(answer.Known).To(Equal(remembered), path)
		})
	}
}

func TestStreamThatItsCallerResumesGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	for _, begun := range []string{"e1", "e2"} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.setVersions("v1", "v2", "v1")
			w.handle = breakingAfter(1)
			w.callOnlyAt(g, begun, client, "/resume/", "Id", "first")
			version := w.versionsOf(0)[0]
			for i := range 6 { // each time after it broke off again
				before := w.receivedCount()
				call(g, client, "POST", "/resume/", "x", "Id", fmt.Sprint("again", i), "Begun-By", "first", "Last", fmt.Sprint(2+i))
				for _, at := range w.versionsOf(before) {
					g.Expect(at).To(Equal(version), "begun at %s, resumed the %d. time", begun, i+1)
				}
				time.Sleep(time.Second)
			}
			g.Expect(w.receivedCount()).To(BeNumerically(">=", 6), "it is resumed")
		})
	}
}

func TestResumedStreamOfUnknownVersionIsRefusedAsNotRun(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.setVersions("v1", "v2", "v1")
		w.handle = breakingAfter(1)
		for _, resumes := range []string{"never-seen", ""} {
			got := call(g, client, "POST", "/resume/", "x", "Id", "again", "Begun-By", resumes, "Last", "2")
			g.Expect(got.status).To(Equal(503))
			g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
			g.Expect(w.receivedCount()).To(BeZero())
		}
	})
}

func TestCallerWithoutEventsBeginsAnewAtAnyVersion(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.setVersions("v1", "v2", "v1")
		w.handle = func(_ string, req *http.Request, conn net.Conn) { writeEvents(conn, req, true, "id: 1\ndata: x\n\n") }
		got := call(g, client, "POST", "/resume/", "x", "Begun-By", "never-seen")
		g.Expect(got.status).To(Equal(200))
	})
}

func TestResumedStreamOfAServiceThatHadOneVersionForLongGoesOnWherever(t *testing.T) {
	const second = time.Second
	for _, resumes := range []string{"never-seen-%d", ""} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.setVersions("v1", "v1", "v1")
			tries := 0
			resume := func() int {
				tries++
				stream := strings.Replace(resumes, "%d", strconv.Itoa(tries), 1)
				return call(g, client, "POST", "/resume/", "x", "Id", "again", "Begun-By", stream, "Last", "2").status
			}
			w.handle = breakingAfter(1)
			g.Expect(resume()).To(Equal(503), "this router may have missed another version, and others may know")
			time.Sleep(20100 * time.Millisecond)
			g.Expect(resume()).To(Equal(502), "twice the route's timeout bounds no caller")
			time.Sleep(streamversion.DefaultLongestReturn - 21*second)
			g.Expect(resume()).To(Equal(502))
			time.Sleep(second)
			g.Expect(resume()).To(Equal(200))
			w.setVersions("v1", "v1", "v2")
			g.Expect(resume()).To(Equal(502))
			w.setVersions("v2", "v2", "v2")
			time.Sleep(streamversion.DefaultLongestReturn - second)
			g.Expect(resume()).To(Equal(502), "it may have begun at v1")
			time.Sleep(2 * second)
			g.Expect(resume()).To(Equal(200))
		})
	}
}

// All routers are killed and start again, a little before or after the endpoints got another version.
func TestStreamThatNoRouterKnowsIsAnsweredOnceAndNeverJoined(t *testing.T) {
	for _, resumes := range []string{"first", ""} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.setVersions("v2", "v2", "v2")
			w.handle = breakingAfter(1)
			began, final := time.Now(), 0
			for time.Since(began) < 5*time.Minute {
				got := call(g, client, "POST", "/resume/", "x", "Id", "again", "Begun-By", resumes, "Last", "2", "Patience", "5s")
				if got.status == 503 {
					after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					g.Expect(err).NotTo(HaveOccurred())
					time.Sleep(time.Duration(after * float64(time.Second)))
					g.Expect(final).To(BeZero())
					continue
				}
				g.Expect(got.status).To(Equal(502))
				g.Expect(got.header.Get("Retry-After")).To(BeEmpty())
				g.Expect(got.body).To(ContainSubstring("stream_lost"))
				final++
				time.Sleep(10 * time.Second)
			}
			g.Expect(w.receivedCount()).To(BeZero())
			g.Expect(final).To(BeNumerically(">", 25), "all but the first are final")
		})
	}
}

func TestStreamWhoseVersionIsGoneIsNotInvitedBack(t *testing.T) {
	for name, c := range map[string]struct {
		withdraw func(w *routerFixture)
		status   int
	}{
		"no longer listed":       {func(w *routerFixture) { w.setVersions("v2", "v2", "v2") }, 502},
		"listed, not in service": {func(w *routerFixture) { w.pool.SetSuspect("e1", true) }, 503},
		"nothing is listed":      {func(w *routerFixture) { w.endpoints = nil }, 503},
	} {
		t.Run(name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.setVersions("v1", "v2", "v2")
				w.streams.Begin(time.Now(), streamversion.IDOf("first"), streamversion.ServiceVersion{Service: "s", Version: "v1"})
				c.withdraw(w)
				got := call(g, client, "POST", "/resume/", "x", "Id", "again", "Begun-By", "first", "Last", "2")
				g.Expect(got.status).To(Equal(c.status))
				g.Expect(got.header.Get("Retry-After") == "").To(Equal(c.status == 502))
				g.Expect(w.receivedCount()).To(BeZero())
			})
		})
	}
}

func TestResumedStreamStaysAtItsServiceOfAWeightedRoute(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.setVersions("v1", "v2", "v2")
		w.streams.Begin(time.Now(), streamversion.IDOf("moved"), streamversion.ServiceVersion{Service: "gone", Version: "v1"})
		got := call(g, client, "POST", "/resume/", "x", "Id", "again", "Begun-By", "moved", "Last", "2")
		g.Expect(got.status).To(Equal(503))
		g.Expect(w.receivedCount()).To(BeZero())
		c := testConfig()
		c.Version++
		c.Services = append(c.Services, route.Service{Name: "gone"})
		c.Routes[3].Targets = append(c.Routes[3].Targets, route.Target{Service: "gone", Weight: 0})
		w.table = mustTable(c)
		w.handle = breakingAfter(1)
		got = call(g, client, "POST", "/resume/", "x", "Id", "again", "Begun-By", "moved", "Last", "2")
		g.Expect(got.status).To(Equal(200))
		g.Expect(w.versionsOf(0)).To(HaveEach("v1"))
	})
}
