package bundle

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/route"
)

func routesExample(g Gomega) *Bundle {
	in := Inspect("routes.jsonc", readExample("routes.jsonc"))
	g.Expect(in.Errors).To(BeEmpty())
	return in.Bundle
}

func TestSnapshotHasRouteTable(t *testing.T) {
	g := NewWithT(t)
	s := NewSnapshot(routesExample(g))
	receipts := s.Routes().Match("portal.example", "/receipts/1")
	g.Expect(receipts.Name).To(Equal("receipts"))
	g.Expect(receipts.Repeat).To(Equal(route.NonIdempotent))
	g.Expect(receipts.Timeout).To(Equal(2 * time.Second))
	g.Expect(receipts.Tier).To(Equal(0))
	searches := s.Routes().Match("portal.example", "/names/x")
	g.Expect(searches.Repeat).To(Equal(route.Idempotent))
	g.Expect(searches.Tier).To(Equal(1))
	g.Expect(s.Routes().Team("demo-key").Name).To(Equal("demo"))
	g.Expect(s.Routes().Team("other")).To(BeNil())
	g.Expect(s.DirectEndpoints("filings")).To(HaveLen(1))
	g.Expect(s.EndpointsForService("filings")).To(BeEmpty(), "no agent serves it")
}

func TestRouteRegionsRestrictResidency(t *testing.T) {
	g := NewWithT(t)
	b := routesExample(g)
	region := b.Endpoints[0].Region
	b.Routes[0].Regions = []string{region}
	bound := NewSnapshot(b).Routes().Match(b.Routes[0].Host, b.Routes[0].Prefix)
	g.Expect(bound.Residency).To(Equal(&route.Residency{Regions: []string{region}}))
	g.Expect(NewSnapshot(routesExample(g)).Routes().Match(b.Routes[0].Host, b.Routes[0].Prefix).Residency).To(BeNil())
}

func TestInvalidRoutesAreReportedWithTheirPath(t *testing.T) {
	for _, c := range []struct {
		path   string
		change func(r *Route)
	}{
		{"routes[0].kind", func(r *Route) { r.Kind = "sometimes" }},
		{"routes[0].timeout", func(r *Route) { r.Timeout = 0 }},
		{"routes[0].max_runs", func(r *Route) { r.MaxRuns = -1 }},
		{"routes[0].tier", func(r *Route) { r.Tier = "silver" }},
		{"routes[0].service", func(r *Route) { r.Service = "none" }},
		{"routes[0].regions", func(r *Route) { r.Regions = []string{"moon"} }},
		{"routes", func(r *Route) { r.Prefix = "receipts" }},
		{"routes", func(r *Route) { r.Prefix = "/names/" }}, // same as the other route
	} {
		g := NewWithT(t)
		b := routesExample(g)
		c.change(&b.Routes[0])
		g.Expect(Check(b).Errors()).To(HaveExactElements(HaveField("Path", c.path)))
	}
}

func TestRoutesAreUnchangedBySplitAndJoin(t *testing.T) {
	g := NewWithT(t)
	b := routesExample(g)
	m, sections := Split(b)
	joined, err := Join(&m, sections)
	g.Expect(err).NotTo(HaveOccurred())
	want, err := json.Marshal(b.Routes)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := json.Marshal(joined.Routes)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(MatchJSON(want))
}
