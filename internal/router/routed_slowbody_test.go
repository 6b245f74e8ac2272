package router_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/route"
	"coveferry/internal/router"
)

// bodyTransferTime is how long the bodies of slowCall take; it exceeds maxKeyAge.
const bodyTransferTime = maxKeyAge + time.Second

// slowBody is a body that takes the given time. After half of it, midway is called.
type slowBody struct {
	rest     io.Reader
	duration time.Duration
	midway   func()
	begun    bool
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		return copy(p, " "), nil
	}
	if b.midway != nil {
		time.Sleep(b.duration / 2)
		b.midway()
		b.midway = nil
		time.Sleep(b.duration / 2)
	}
	return b.rest.Read(p)
}

// slowCall sends a request whose body takes bodyTransferTime. After half of it, midway is called.
func slowCall(g *WithT, client *http.Client, path, key string, midway func()) reply {
	body := &slowBody{rest: strings.NewReader("second"), duration: bodyTransferTime, midway: midway}
	req, err := http.NewRequest("POST", "http://"+address+path, body)
	g.Expect(err).NotTo(HaveOccurred())
	req.Host = routeHost
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", key)
	req.Header.Set("Patience", "1m")
	resp, err := client.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(text), err}
}

// slowConfig is testConfig with time for bodies of bodyTransferTime.
func slowConfig(version uint64, change func(*route.Config)) *route.Table {
	c := testConfig()
	c.Version = version
	for i := range c.Routes {
		c.Routes[i].Timeout = time.Minute
	}
	change(&c)
	return mustTable(c)
}

func noChange(*route.Config) {}

// Guards against keys that are looked up in an older table than the one whose age is checked.
func TestKeyRevokedWhileTheBodyArrivesIsRejected(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.table, w.keyAge = slowConfig(3, noChange), maxKeyAge+time.Second
		got := slowCall(g, client, "/once/", "k", func() {
			w.table, w.keyAge = slowConfig(4, func(c *route.Config) { delete(c.Teams, "k") }), 0
		})
		g.Expect(got.status).To(Equal(401))
		g.Expect(w.receivedCount()).To(BeZero())
	})
}

func TestKeyAddedWhileTheBodyArrivesIsAccepted(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.table = slowConfig(3, func(c *route.Config) { delete(c.Teams, "k") })
		got := slowCall(g, client, "/once/", "k", func() { w.table = slowConfig(4, noChange) })
		g.Expect(got.status).To(Equal(200))
	})
}

// Guards against a request that runs for the team that held its key before.
func TestRequestRunsForTheTeamThatHoldsTheKeyOnceTheBodyIsComplete(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.table = slowConfig(3, noChange)
		got := slowCall(g, client, "/once/", "k", func() {
			w.table = slowConfig(4, func(c *route.Config) { c.Teams["k"] = &route.Team{Name: "other"} })
		})
		g.Expect(got.status).To(Equal(200))
		g.Expect(w.received()[0].header.Get("Team")).To(Equal("other"))
	})
}

// Guards against a route of one table and a team of another.
func TestRouteAndTeamOfASlowRequestAreOfOneTable(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.table = slowConfig(3, noChange)
		got := slowCall(g, client, "/once/", "k", func() {
			w.table = slowConfig(4, func(c *route.Config) {
				c.Routes[0].Prefix = "/moved/"
				c.Teams["k"] = &route.Team{Name: "other"}
			})
		})
		g.Expect(got.status).To(Equal(404))
		g.Expect(w.receivedCount()).To(BeZero())
	})
}

func TestBodyThatTakesLongerThanKeysMayBeOldIsServed(t *testing.T) {
	for _, change := range []bool{false, true} {
		runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
			w.table, w.keyAge = slowConfig(3, noChange), time.Second
			got := slowCall(g, client, "/once/", "k", func() {
				if change {
					w.table = slowConfig(4, noChange)
				}
			})
			g.Expect(got.status).To(Equal(200))
			g.Expect(w.received()[0].body).To(Equal(" second"))
		})
	}
}

func TestTableThatComesWhileTheBodyArrivesServesTheRequest(t *testing.T) {
	runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
		w.table = nil
		got := slowCall(g, client, "/once/", "k", func() { w.table = slowConfig(3, noChange) })
		g.Expect(got.status).To(Equal(200))
	})
}

// Guards against keys that are looked up in the bundle of the header's arrival.
func TestKeyThatABundleDropsWhileTheBodyArrivesIsRejected(t *testing.T) {
	serve(t, nil, func(g *WithT, rt *router.Router, client *http.Client) {
		body := &slowBody{rest: strings.NewReader(`"model":"m","prompt":"x"}`), duration: bodyTimeout / 2, midway: func() {
			next := testBundle()
			next.Version, next.Teams = 2, next.Teams[1:]
			rt.Swap(bundle.NewSnapshot(next))
		}}
		got := send(g, client, http.MethodPost, "/v1/completions", io.MultiReader(strings.NewReader("{"), body))
		g.Expect(got.Error.Code).To(Equal("wrong_key"))
	})
}
