package route_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/route"
)

func newTable(t *testing.T, routes ...route.Route) *route.Table {
	t.Helper()
	tab, err := route.NewTable(route.Config{Version: 1, Routes: routes, Services: []route.Service{{Name: "s"}, {Name: "u"}}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return tab
}

func newRoute(name, host, prefix string) route.Route {
	return route.Route{Name: name, Host: host, Prefix: prefix, Targets: []route.Target{{Service: "s", Weight: 1}}}
}

func TestMatchTakesLongestPrefix(t *testing.T) {
	tab := newTable(t, newRoute("root", "a.example", "/"), newRoute("x", "a.example", "/x/"), newRoute("xy", "a.example", "/x/y/"), newRoute("other", "b.example", "/x/"))
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "xy"},
		{"a.example", "/x/yz", "x"},
		{"a.example", "/x/y", "x"}, // "/x/y/" is not a prefix of it
		{"a.example", "/x", "root"},
		{"a.example", "/", "root"},
		{"A.Example:8080", "/x/", "x"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
		{"b.example", "", ""},
		{"b.example", "//x/1", ""},
	} {
		found := tab.Match(c.host, c.path)
		name := ""
		if found != nil {
			name = found.Name
		}
		NewWithT(t).Expect(name).To(Equal(c.want), c.host+c.path)
	}
}

func TestInvalidRoutesAreRefusedByName(t *testing.T) {
	for _, c := range []struct {
		reason string
		routes []route.Route
	}{
		{"slash", []route.Route{newRoute("r", "h", "x/")}},
		{"slash", []route.Route{newRoute("r", "h", "/x")}},
		{"names no service", []route.Route{{Name: "r", Host: "h", Prefix: "/"}}},
		{"not defined", []route.Route{{Name: "r", Host: "h", Prefix: "/", Targets: []route.Target{{Service: "none"}}}}},
		{"same host and prefix", []route.Route{newRoute("q", "h", "/"), newRoute("r", "H", "/")}},
	} {
		_, err := route.NewTable(route.Config{Routes: c.routes, Services: []route.Service{{Name: "s"}}})
		NewWithT(t).Expect(err).To(MatchError(And(ContainSubstring("route r: "), ContainSubstring(c.reason))))
	}
}

func TestPickFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	r := route.Route{Targets: []route.Target{{Service: "s", Weight: 9}, {Service: "none", Weight: 0}, {Service: "u", Weight: 1}}}
	count := make(map[string]int)
	for i := range 100 {
		count[r.Pick(float64(i)/100)]++
	}
	g.Expect(count).To(Equal(map[string]int{"s": 90, "u": 10}))
}

func TestLongestObjective(t *testing.T) {
	g := NewWithT(t)
	a, b := newRoute("a", "h", "/a/"), newRoute("b", "h", "/b/")
	a.Objective, b.Objective = time.Second, 2*time.Second
	tab := newTable(t, a, b)
	g.Expect(tab.LongestObjective("s")).To(Equal(2 * time.Second))
	g.Expect(tab.LongestObjective("u")).To(BeZero())
}
