package router_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/router"
	"coveferry/internal/server"
)

// testStopPlan is a planned stop of 11 s.
var testStopPlan = server.ShutdownPlan{DrainTime: time.Second, Grace: 10 * time.Second, HandoverMargin: time.Second}

// stopSlowly begins a planned stop whose open requests take all of the time.
func stopSlowly(rt *router.Router) {
	go func() {
		_ = rt.Stop(testStopPlan, func(grace time.Duration) error {
			time.Sleep(grace)
			return nil
		})
	}()
}

// Guards against requests on kept connections that are sent on in the grace period and then cut.
func TestRequestsThatComeInTheGracePeriodOfAStopAreRefused(t *testing.T) {
	serve(t, nil, func(g *WithT, rt *router.Router, client *http.Client) {
		ask := func() string {
			return send(g, client, http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"x"}`)).Error.Code
		}
		stopSlowly(rt)
		time.Sleep(testStopPlan.DrainTime / 2)
		g.Expect(ask()).To(Equal("endpoint_lost"), "it is sent on")
		for range 9 {
			time.Sleep(time.Second)
			began := time.Now()
			g.Expect(ask()).To(Equal("router_stopping"))
			g.Expect(time.Since(began)).To(BeZero(), "it isn't sent on")
		}
		time.Sleep(testStopPlan.Grace)
	})
}

func TestBodyThatArrivesEarlyInAStopIsSentOn(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.table = slowConfig(3, noChange)
		got := slowCall(g, client, "/once/", "k", func() { stopSlowly(w.router) })
		g.Expect(got.status).To(Equal(200))
		g.Expect(w.receivedCount()).To(Equal(1))
		time.Sleep(testStopPlan.Grace)
	})
}

// Guards against requests that are sent on so late in a stop that they are cut, and against callers who go on
// sending a body in vain.
func TestBodyThatArrivesLateInAStopIsRefusedAsNotRunAtOnce(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.table = slowConfig(3, noChange)
		began := time.Now()
		got := slowCall(g, client, "/once/", "k", w.router.RefuseUnsentRequests)
		g.Expect(got.status).To(Equal(503))
		g.Expect(got.body).To(ContainSubstring("router_stopping"))
		g.Expect(time.Since(began)).To(BeNumerically("<", bodyTransferTime))
		g.Expect(w.receivedCount()).To(BeZero())
		time.Sleep(bodyTransferTime)
	})
}

func TestStoppingRouterRefusesNewRequests(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.router.CloseCallerConnections()
		got := call(g, client, "POST", "/once/", "x")
		g.Expect(got.status).To(Equal(200))
		w.router.RefuseNewRequests()
		got = call(g, client, "POST", "/once/", "x")
		g.Expect(got.status).To(Equal(503))
		g.Expect(w.receivedCount()).To(Equal(1))
	})
}

func TestRequestAbortedByStopDoesNotReportNotRun(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.handle = func(string, *http.Request, net.Conn) { time.Sleep(time.Minute) }
		go func() {
			time.Sleep(200 * time.Millisecond)
			w.router.AbortOpenRequests()
		}()
		got := call(g, client, "POST", "/once/", "x")
		g.Expect(got.status).To(Equal(502)) // 503 would guarantee that it didn't run
		time.Sleep(time.Minute)
	})
}
