package router_test

// The story: a route that may be served in one region only was served in all.
// The cause: nothing read where routes and teams allow their requests to be served.
// The evidence: these tests, each of which fails without the filter that keeps requests there.

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/route"
)

// bindTo has a world's endpoints lie in regions, e1 and e2 in the east and e3 in the west, and
// binds its routes and its teams to some.
func (w *world) bindTo(routes, teams *route.Residency) {
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

func in(regions ...string) *route.Residency { return &route.Residency{Regions: regions} }

func (w *world) arrivedAt() map[string]int {
	at := make(map[string]int)
	for _, a := range w.arrived() {
		at[a.endpoint]++
	}
	return at
}

func TestRequestsAreServedWhereTheirRouteAndTheirTeamAllowIt(t *testing.T) {
	for _, c := range []struct {
		name          string
		routes, teams *route.Residency
		served        bool
		west, east    bool
	}{
		{"anywhere", nil, nil, true, true, true},
		{"by route", in("west"), nil, true, true, false},
		{"by team", nil, in("west"), true, true, false},
		{"by both", in("west", "east"), in("west"), true, true, false},
		{"by both, that exclude each other", in("west"), in("east"), false, false, false},
		{"a region that isn't known", in("moon"), nil, false, false, false},
		{"no region", in(), nil, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			playRouted(t, func(g *WithT, w *world, client *http.Client) {
				w.bindTo(c.routes, c.teams)
				for range 30 {
					got := call(g, client, "POST", "/once/", "x", "Prompt", "1")
					if c.served {
						g.Expect(got.status).To(Equal(200))
						continue
					}
					g.Expect(got.status).To(Equal(503))
					g.Expect(got.body).To(ContainSubstring(`"run":"not_run"`))
				}
				at := w.arrivedAt()
				g.Expect(at["e3"] > 0).To(Equal(c.west))
				g.Expect(at["e1"]+at["e2"] > 0).To(Equal(c.east))
			})
		})
	}
}

func TestARequestThatMayBeServedNowhereIsRefusedAtOnce(t *testing.T) {
	playRouted(t, func(g *WithT, w *world, client *http.Client) {
		w.bindTo(in("moon"), nil)
		begun := time.Now()
		g.Expect(call(g, client, "POST", "/stream/", "x").status).To(Equal(503))
		g.Expect(time.Since(begun)).To(BeNumerically("<", 10*time.Millisecond))
	})
}

func TestRetriesStayInTheirRegion(t *testing.T) {
	playRouted(t, func(g *WithT, w *world, client *http.Client) {
		w.bindTo(in("east"), nil)
		w.answer = func(_ string, req *http.Request, conn net.Conn) {
			writeAnswer(conn, 503, "Id: "+req.Header.Get("Id")+"\r\nNot-Run: 1\r\n", "")
		}
		for range 10 {
			g.Expect(call(g, client, "POST", "/safe/", "x").status).To(Equal(429))
		}
		at := w.arrivedAt()
		g.Expect(at["e3"]).To(BeZero())
		g.Expect(min(at["e1"], at["e2"])).To(BeNumerically(">", 0), "it was tried again")
	})
}

func TestStreamsGoOnAndAreCopiedInTheirRegion(t *testing.T) {
	for _, path := range []string{"/resume/", "/tight/"} {
		playRouted(t, func(g *WithT, w *world, client *http.Client) {
			w.bindTo(in("east"), nil)
			w.answer = func(_ string, req *http.Request, conn net.Conn) {
				if req.Header.Get("Last") != "" {
					events(conn, req, true, "id: 2\ndata: b\n\n")
					return
				}
				events(conn, req, false, "id: 1\ndata: a\n\n")
			}
			for range 10 {
				g.Expect(call(g, client, "POST", path, "x", "Prompt", "1").err).NotTo(HaveOccurred(), path)
			}
			g.Expect(w.arrivedAt()["e3"]).To(BeZero(), path)
			g.Expect(w.count()).To(Equal(20), path)
			for _, a := range w.arrived() {
				g.Expect(a.header.Get("Copy-To")).NotTo(ContainSubstring("10.0.0.3"), path)
			}
		})
	}
}

func TestARequestIsNotSentToAnotherRegionWhereItsOwnHasNoEndpointLeft(t *testing.T) {
	playRouted(t, func(g *WithT, w *world, client *http.Client) {
		w.bindTo(in("west"), nil)
		w.pool.SetLeaving("e3", true)
		g.Expect(call(g, client, "POST", "/safe/", "x").status).To(Equal(503))
		g.Expect(w.count()).To(BeZero())
	})
}
