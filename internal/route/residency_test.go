package route_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/route"
)

func TestResidencyAllows(t *testing.T) {
	none, one := &route.Residency{}, &route.Residency{Regions: []string{"east"}}
	for _, c := range []struct {
		residency *route.Residency
		region    string
		want      bool
	}{
		{nil, "east", true}, {nil, "", true},
		{one, "east", true}, {one, "west", false}, {one, "", false},
		{none, "east", false}, {none, "", false},
	} {
		NewWithT(t).Expect(c.residency.Allows(c.region)).To(Equal(c.want), "%+v in %q", c.residency, c.region)
	}
}

// Routers exchange configurations as JSON: a Residency that allows no region must not be
// decoded as one that allows all.
func TestResidencySurvivesJSON(t *testing.T) {
	for _, want := range []*route.Residency{nil, {}, {Regions: []string{"east", "west"}}} {
		g := NewWithT(t)
		text, err := json.Marshal(route.Change{To: 1, Routes: []route.Route{{Residency: want}}})
		g.Expect(err).NotTo(HaveOccurred())
		var decoded route.Change
		g.Expect(json.Unmarshal(text, &decoded)).To(Succeed())
		if want == nil {
			g.Expect(decoded.Routes[0].Residency).To(BeNil())
			continue
		}
		g.Expect(decoded.Routes[0].Residency).To(Equal(want))
	}
}

func TestUnservableRoutesAndTeams(t *testing.T) {
	in := func(regions ...string) *route.Residency { return &route.Residency{Regions: regions} }
	c := &route.Config{
		Routes: []route.Route{{Name: "any"}, {Name: "east", Residency: in("east", "moon")}, {Name: "moon", Residency: in("moon")}, {Name: "none", Residency: in()}},
		Teams:  map[string]*route.Team{"k1": {Name: "b", Residency: in("moon")}, "k2": {Name: "b", Residency: in("moon")}, "k3": {Name: "a"}},
	}
	routes, teams := c.Unservable([]string{"east", "west"})
	NewWithT(t).Expect(routes).To(Equal([]string{"moon", "none"}))
	NewWithT(t).Expect(teams).To(Equal([]string{"b"}))
}
