package router_test

// Three of six endpoints answered every request with a 503 that said it wasn't run and a load of one
// taken slot: all first attempts went there, and 16 of 120 callers were served.

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
)

const (
	refusalCallers  = 120
	refusalInterval = time.Second / 24
	refusalService  = 200 * time.Millisecond
)

// refuseHalfOfEndpoints has e1, e2 and e3 refuse with further header lines once begun is set, and
// counts the refusals.
func refuseHalfOfEndpoints(w *routerFixture, status int, header string) (refused *atomic.Int64, begun *atomic.Bool) {
	refused, begun = new(atomic.Int64), new(atomic.Bool)
	var running [7]atomic.Int64
	w.handle = func(endpoint string, req *http.Request, conn net.Conn) {
		id := "Id: " + req.Header.Get("Id") + "\r\nSigned: x\r\n"
		if begun.Load() && endpoint <= "e3" {
			refused.Add(1)
			writeAnswer(conn, status, id+"Not-Run: x\r\n"+header, "")
			return
		}
		n := running[endpoint[1]-'0'].Add(1)
		time.Sleep(refusalService)
		running[endpoint[1]-'0'].Add(-1)
		writeAnswer(conn, 200, id+fmt.Sprintf("Load: %d/64\r\n", n), "fine")
	}
	return refused, begun
}

// callSteadily sends requests at a steady rate and returns how many were served.
func callSteadily(g *WithT, client *http.Client) int64 {
	var served atomic.Int64
	var open sync.WaitGroup
	for range refusalCallers {
		open.Go(func() {
			if call(g, client, "POST", "/once/", "x").status == 200 {
				served.Add(1)
			}
		})
		time.Sleep(refusalInterval)
	}
	open.Wait()
	return served.Load()
}

func TestCallersAreServedBesideEndpointsThatRefuseAgainstTheirLoad(t *testing.T) {
	for _, off := range []bool{false, true} {
		runRoutedAmong(t, balance.Config{TrustStatedLoad: off}, 6, func(g *WithT, w *routerFixture, client *http.Client) {
			refused, begun := refuseHalfOfEndpoints(w, 503, "Load: 1/64\r\n")
			callSteadily(g, client) // requests earn the retries that are needed until the router knows
			begun.Store(true)
			served := callSteadily(g, client)
			t.Logf("part off %t: %d of %d callers served, %d refusals", off, served, refusalCallers, refused.Load())
			if off {
				g.Expect(served).To(BeNumerically("<", 0.98*refusalCallers))
				return
			}
			g.Expect(served).To(BeNumerically(">=", 0.98*refusalCallers))
			g.Expect(w.pool.Refusals().Endpoints).To(Equal(3))
			g.Expect(w.pool.Refusals().Contradictions).To(Equal(refused.Load()))
		})
	}
}

func TestRefusalsForAnotherReasonDoNotContradictTheLoad(t *testing.T) {
	for _, c := range []struct {
		name, header string
		status       int
	}{
		{"backoff", "Load: 1/64\r\nBackoff: 1s\r\n", 503},
		{"rate limit", "Load: 1/64\r\nLimit: 1\r\n", 503},
		{"leaving", "Load: 1/64\r\nLeaving: x\r\n", 503},
		{"cold", "Load: 1/64\r\nCold: 3s\r\n", 503},
		{"full", "Load: 64/64\r\n", 503},
		{"another status", "Load: 1/64\r\n", 429},
		{"another process", "Load: 1/64\r\n", 421},
		{"bad request", "Load: 1/64\r\n", 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			runRoutedAmong(t, balance.Config{}, 6, func(g *WithT, w *routerFixture, client *http.Client) {
				refused, begun := refuseHalfOfEndpoints(w, c.status, c.header)
				begun.Store(true)
				callSteadily(g, client)
				g.Expect(refused.Load()).NotTo(BeZero())
				g.Expect(w.pool.Refusals()).To(Equal(balance.RefusalTotals{}))
			})
		})
	}
}
