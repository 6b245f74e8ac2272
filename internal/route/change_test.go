package route_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"coveferry/internal/route"
)

// drawConfig draws a configuration from a small set of routes, so that later ones often change
// or remove the routes of earlier ones.
func drawConfig(t *rapid.T, version uint64) *route.Config {
	c := &route.Config{Version: version, Services: []route.Service{{Name: "s"}}}
	for place := range 6 {
		if !rapid.Bool().Draw(t, "there") {
			continue
		}
		r := newRoute("r", "h", fmt.Sprintf("/%d/", place))
		r.Timeout = time.Duration(rapid.IntRange(1, 2).Draw(t, "timeout")) * time.Second
		c.Routes = append(c.Routes, r)
	}
	if rapid.Bool().Draw(t, "teams") {
		c.Teams = map[string]*route.Team{"key": {Name: "a"}}
	}
	c.Limits.HeaderBytes = rapid.IntRange(0, 1).Draw(t, "limit")
	return c
}

func sortedByPrefix(c *route.Config) *route.Config {
	s := *c
	s.Routes = slices.SortedFunc(slices.Values(c.Routes), func(a, b route.Route) int { return cmp.Compare(a.Prefix, b.Prefix) })
	return &s
}

func TestTheChangeSinceAVersionTurnsItIntoTheNewestOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var h route.History
		var all []*route.Config
		for n := range rapid.IntRange(1, 6).Draw(t, "versions") {
			all = append(all, drawConfig(t, uint64(2*n+1)))
			// This router may skip versions that others have put in force.
			if rapid.Bool().Draw(t, "shown") {
				h.Record(all[n])
			}
		}
		newest := all[len(all)-1]
		h.Record(newest)
		for _, base := range all {
			ch := h.ChangeSince(base.Version)
			encoded, err := json.Marshal(ch)
			g.Expect(err).NotTo(HaveOccurred())
			var decoded route.Change
			g.Expect(json.Unmarshal(encoded, &decoded)).To(Succeed())
			next, err := decoded.Apply(base)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(sortedByPrefix(next)).To(Equal(sortedByPrefix(newest)))
		}
	})
}

func TestChangeSinceUnknownVersionIsFull(t *testing.T) {
	g := NewWithT(t)
	var h route.History
	c := &route.Config{Version: 4, Routes: []route.Route{newRoute("r", "h", "/")}, Services: []route.Service{{Name: "s"}}}
	h.Record(c)
	for _, version := range []uint64{0, 3, 9} {
		ch := h.ChangeSince(version)
		g.Expect(ch.From).To(BeZero())
		next, err := ch.Apply(nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(next).To(Equal(c))
	}
}

func TestChangeAppliesOnlyToItsBaseVersion(t *testing.T) {
	g := NewWithT(t)
	ch := route.Change{From: 3, To: 4}
	_, err := ch.Apply(nil)
	g.Expect(err).To(MatchError(route.ErrVersionMismatch))
	_, err = ch.Apply(&route.Config{Version: 2})
	g.Expect(err).To(MatchError(route.ErrVersionMismatch))
}
