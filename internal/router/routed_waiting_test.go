package router_test

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/load"
)

// waitingPlaces is the number of requests that the router of these tests sends before others wait.
const waitingPlaces = 8

// runPlain runs a test against a router whose service has no engine. Endpoints answer a request
// once released.
func runPlain(t *testing.T, test func(g *WithT, w *routerFixture, client *http.Client, release func())) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		c := testConfig()
		c.Services[0].Engine = nil
		for i := range c.Routes {
			c.Routes[i].Objective = 300 * time.Millisecond
		}
		w.table = mustTable(c)
		for _, e := range w.endpoints {
			e.Slots = 1
		}
		released := make(chan struct{})
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			<-released
			writeOK(conn, req, "fine")
		}
		release := sync.OnceFunc(func() { close(released) })
		defer release()
		test(g, w, client, release)
	})
}

// fill reports a shortage and has the router send as many requests as it does before others wait.
func fill(g *WithT, w *routerFixture, client *http.Client, path string) chan reply {
	full := load.Report{Slots: 1, Seq: 1}
	full.Running[0], full.Queued[0] = 1, 1
	w.pool.Report(time.Now(), "e1", full)
	replies := make(chan reply, waitingPlaces)
	for range waitingPlaces {
		go func() { replies <- call(g, client, "POST", path, "x") }()
	}
	synctest.Wait()
	g.Expect(w.receivedCount()).To(Equal(waitingPlaces))
	return replies
}

// Guards against a refused request whose caller isn't told that it didn't run and when to return,
// and against a log line that doesn't say that it waited.
func TestRequestThatWaitedInVainIsAnsweredAsNotRun(t *testing.T) {
	runPlain(t, func(g *WithT, w *routerFixture, client *http.Client, release func()) {
		replies := fill(g, w, client, "/resume/")
		refused := call(g, client, "POST", "/once/", "x", "Id", "late")
		g.Expect(refused.status).To(Equal(503))
		g.Expect(refused.body).To(ContainSubstring("waiting_late"))
		after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(after).To(BeNumerically("~", 0.075, 0.026), "seconds; a third of 300 ms at most")
		g.Expect(w.receivedCount()).To(Equal(waitingPlaces))
		g.Expect(w.log.String()).To(MatchRegexp(`"request":"late".*"waited":700.*"limit":8,"position":0`))
		waits := make(chan reply)
		go func() { waits <- call(g, client, "POST", "/once/", "x", "Id", "served") }()
		synctest.Wait()
		release()
		g.Expect((<-waits).status).To(Equal(200))
		for range waitingPlaces {
			<-replies
		}
	})
}

// Guards against telling the caller of a request that waits at a stop that it may have run.
func TestWaitingRequestIsAnsweredAsNotRunAtAStop(t *testing.T) {
	runPlain(t, func(g *WithT, w *routerFixture, client *http.Client, release func()) {
		replies := fill(g, w, client, "/once/")
		waits := make(chan reply)
		go func() { waits <- call(g, client, "POST", "/once/", "x") }()
		synctest.Wait()
		w.router.AbortOpenRequests()
		got := <-waits
		g.Expect(got.status).To(Equal(503))
		g.Expect(got.body).To(ContainSubstring("router_stopping"))
		g.Expect(got.body).To(ContainSubstring("others serve on"))
		g.Expect(got.body).NotTo(ContainSubstring("may have run"))
		g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		for range waitingPlaces {
			g.Expect((<-replies).status).To(Equal(502), "it may have run")
		}
		release()
	})
}
