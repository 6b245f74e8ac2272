package router_test

// These tests guard against serving a route in all regions although its residency, or its
// team's, allows only one. Each fails without filter reside.

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/route"
)

// setResidency places e1 and e2 in the east and e3 in the west, and sets the residency of all
// routes and teams.
func (w *routerFixture) setResidency(routes, teams *route.Residency) {
	w.regions = map[string]string{"e1": "east", "e2": "east", "e3": "west"}
	c := testConfig()
	for i := range c.Routes {
		c.Routes[i].Residency = routes
	}
	for _, team := range c.Teams {
		team.Residency = teams
	}
	w.table = mustTable(c)
}

func residencyIn(regions ...string) *route.Residency { return &route.Residency{Regions: regions} }

func (w *routerFixture) arrivalsByEndpoint() map[string]int {
	at := make(map[string]int)
	for _, a := range w.received() {
		at[a.endpoint]++
	}
	return at
}

func TestResidencyOfRouteAndTeamRestrictsRegions(t *testing.T) {
	for _, c := range []struct {
		name          string
		routes, teams *route.Residency
		served        bool
		west, east    bool
	}{
		{"anywhere", nil, nil, true, true, true},
		{"by route", residencyIn("west"), nil, true, true, false},
		{"by team", nil, residencyIn("west"), true, true, false},
		{"by both", residencyIn("west", "east"), residencyIn("west"), true, true, false},
		{"disjoint regions of route and team", residencyIn("west"), residencyIn("east"), false, false, false},
		{"unknown region", residencyIn("moon"), nil, false, false, false},
		{"no region", residencyIn(), nil, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				w.setResidency(c.routes, c.teams)
				for range 30 {
					got := call(g, client, "POST", "/once/", "x", "Prompt", "1")
					if c.served {
						g.Expect(got.status).To(Equal(200))
						continue
					}
					g.Expect(got.status).To(Equal(503))
					g.Expect(got.body).To(ContainSubstring(`"run":"not_run"`))
				}
				at := w.arrivalsByEndpoint()
				g.Expect(at["e3"] > 0).To(Equal(c.west))
				g.Expect(at["e1"]+at["e2"] > 0).To(Equal(c.east))
			})
		})
	}
}

func TestRequestWithoutAllowedRegionIsRefusedImmediately(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.setResidency(residencyIn("moon"), nil)
		begun := time.Now()
		g.Expect(call(g, client, "POST", "/stream/", "x").status).To(Equal(503))
		g.Expect(time.Since(begun)).To(BeNumerically("<", 10*time.Millisecond))
	})
}

func TestRetriesStayInAllowedRegions(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.setResidency(residencyIn("east"), nil)
		w.handle = func(_ string, req *http.Request, conn net.Conn) {
			writeAnswer(conn, 503, "Id: "+req.Header.Get("Id")+"\r\nNot-Run: 1\r\n", "")
		}
		for range 10 {
			g.Expect(call(g, client, "POST", "/safe/", "x").status).To(Equal(429))
		}
		at := w.arrivalsByEndpoint()
		g.Expect(at["e3"]).To(BeZero())
		g.Expect(min(at["e1"], at["e2"])).To(BeNumerically(">", 0), "both endpoints must have been tried")
	})
}

func TestStreamResumesAndCopiesStayInAllowedRegions(t *testing.T) {
	for _, path := range []string{"/resume/", "/tight/"} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.setResidency(residencyIn("east"), nil)
			w.handle = func(_ string, req *http.Request, conn net.Conn) {
				if req.Header.Get("Last") != "" {
					writeEvents(conn, req, true, "id: 2\ndata: b\n\n")
					return
				}
				writeEvents(conn, req, false, "id: 1\ndata: a\n\n")
			}
			for range 10 {
				g.Expect(call(g, client, "POST", path, "x", "Prompt", "1").err).NotTo(HaveOccurred(), path)
			}
			g.Expect(w.arrivalsByEndpoint()["e3"]).To(BeZero(), path)
			g.Expect(w.receivedCount()).To(Equal(20), path)
			for _, a := range w.received() {
				g.Expect(a.header.Get("Copy-To")).NotTo(ContainSubstring("10.0.0.3"), path)
			}
		})
	}
}

func TestRequestDoesNotFallBackToDisallowedRegion(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.setResidency(residencyIn("west"), nil)
		w.pool.SetLeaving("e3", true)
		g.Expect(call(g, client, "POST", "/safe/", "x").status).To(Equal(503))
		g.Expect(w.receivedCount()).To(BeZero())
	})
}
