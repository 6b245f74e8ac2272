package bundle

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// bundleWithPlacement is validBundle with a placement on its first endpoint.
func bundleWithPlacement() *Bundle {
	b := validBundle()
	b.Limits.WeightFetchesPerSecond = 10
	b.Endpoints[0].Placement = Placement{Models: []string{"m"}, Adapters: []string{"a"}, Version: "v1", Role: "decode"}
	return b
}

var _ = Describe("placement", func() {
	It("has no findings if valid", func() { Expect(Check(bundleWithPlacement())).To(BeEmpty()) })

	DescribeTable("finds errors in a placement",
		func(path string, change func(p *Placement, l *Limits)) {
			b := bundleWithPlacement()
			change(&b.Endpoints[0].Placement, &b.Limits)
			Expect(Check(b).Errors()).To(ContainElement(HaveField("Path", path)))
		},
		Entry("no model", "endpoints[0].placement.models", func(p *Placement, _ *Limits) { p.Models = nil }),
		Entry("an unknown model", "endpoints[0].placement.models[1]", func(p *Placement, _ *Limits) { p.Models = []string{"m", "x"} }),
		Entry("a model twice", "endpoints[0].placement.models[1]", func(p *Placement, _ *Limits) { p.Models = []string{"m", "m"} }),
		Entry("an adapter twice", "endpoints[0].placement.adapters[1]", func(p *Placement, _ *Limits) { p.Adapters = []string{"a", "a"} }),
		Entry("an invalid adapter name", "endpoints[0].placement.adapters[0]", func(p *Placement, _ *Limits) { p.Adapters = []string{"?"} }),
		Entry("an invalid version", "endpoints[0].placement.version", func(p *Placement, _ *Limits) { p.Version = "?" }),
		Entry("no role", "endpoints[0].placement.role", func(p *Placement, _ *Limits) { p.Role = "" }),
		Entry("a served model that isn't placed", "endpoints[0].models[0]", func(p *Placement, _ *Limits) { p.Models = []string{"x"} }),
		Entry("no rate of the weight store", "limits.weight_fetches_per_second", func(_ *Placement, l *Limits) { l.WeightFetchesPerSecond = 0 }),
		Entry("a rate below the minimum", "limits.weight_fetches_per_second", func(_ *Placement, l *Limits) { l.WeightFetchesPerSecond = 1e-9 }),
		Entry("a negative number of replicas", "limits.min_ready_replicas", func(_ *Placement, l *Limits) { l.MinReadyReplicas = -1 }),
	)

	It("is included in diff, explain and the encoding", func() {
		changes := Diff(validBundle(), bundleWithPlacement())
		Expect(changes).To(ContainElement(HaveField("Path", `endpoints["e1"].placement`)))
		e, err := Explain(bundleWithPlacement(), "a", "chat", "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.String()).To(ContainSubstring("placed on  e1"))
		b, err := Parse("placed.json", Encode(bundleWithPlacement()))
		Expect(err).NotTo(HaveOccurred())
		Expect(Diff(b, bundleWithPlacement())).To(BeEmpty())
	})
})
