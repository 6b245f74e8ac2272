package capacity_test

import (
	"math"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	defaults "coveferry/examples/capacity"
	"coveferry/internal/capacity"
)

// slopeOfOneTenth returns a slope of 0.1 through the origin.
func slopeOfOneTenth(id capacity.SlopeID) capacity.Slope {
	return capacity.Slope{
		ID: id, Unit: capacity.UnitBytes, Per: "thing", Value: 0.1, Sizes: []int{1, 2, 3, 4},
		Spread: capacity.Spread{Min: 0.1, Max: 0.1, Runs: 3},
	}
}

// simpleInputs returns the default settings with all slopes 0.1, and a size whose
// figures are easy to calculate with.
func simpleInputs() capacity.Inputs {
	slopes, err := capacity.DecodeSlopes("slopes.jsonc", defaults.Slopes)
	Expect(err).NotTo(HaveOccurred())
	for i, s := range slopes.Runs[0].Slopes {
		slopes.Runs[0].Slopes[i] = slopeOfOneTenth(s.ID)
	}
	settings, err := capacity.DecodeSettings("settings.jsonc", defaults.Settings)
	Expect(err).NotTo(HaveOccurred())
	settings.SubsetPerModel = 5
	return capacity.Inputs{Slopes: slopes, Settings: settings, Size: capacity.Size{
		ID: "round", Name: "round figures", Source: "this test",
		Routers: 10, Agents: 100, Accelerators: 800, RequestsPerSecond: 1000, TokensPerSecond: 100_000,
		FirstTokenSeconds: 1, BetweenTokensSeconds: 0.09, Tiers: 7, Teams: 20, Models: 4, Regions: 5,
		FailureDomains: 10, ChangesPerDay: 8640, InForceSeconds: 6, VMFailuresByDay: 10, ReplacementsByDay: 90,
		Control: capacity.Control{CoreShare: 0.015, MemoryBytes: 100, BytesPerSecond: 10},
		Service: capacity.Service{ReadsPerSecond: 55, ValueBytes: 26},
	}}
}

func build(in capacity.Inputs) capacity.Report {
	GinkgoHelper()
	r, err := capacity.Build(in)
	Expect(err).NotTo(HaveOccurred())
	return r
}

func row(r capacity.Report, id capacity.RowID) capacity.Row {
	GinkgoHelper()
	for _, row := range r.Rows {
		if row.ID == id {
			return row
		}
	}
	Fail("no row " + string(id))
	return capacity.Row{}
}

func service(r capacity.Report, id capacity.RowID) capacity.ServiceRow {
	GinkgoHelper()
	for _, row := range r.Service {
		if row.ID == id {
			return row
		}
	}
	Fail("no row " + string(id))
	return capacity.ServiceRow{}
}

var _ = Describe("The model", func() {
	It("matches manually calculated rows", func() {
		r := build(simpleInputs())
		approx := func(want float64) OmegaMatcher { return BeNumerically("~", want, 1e-9) }

		// 100 agents of 0.1 B each; 100 B are allowed.
		pool := row(r, "router.pool.mesh")
		Expect(pool.Memory().Value).To(approx(10))
		Expect(pool.Worst.Ratio.Value).To(approx(0.1))
		Expect(pool.Verdict).To(Equal(capacity.VerdictWithin))
		// 4 models, 5 endpoints each; each agent has 20*10/100 routers.
		Expect(row(r, "router.pool.subset").Entries.Value).To(approx(20))
		Expect(row(r, "agent.conns.subset").Entries.Value).To(approx(2))
		// 1000/10 requests per second with two reports of 0.1 B each: 20 B/s; 10 B/s
		// are allowed.
		report := row(r, "router.report")
		Expect(report.Bandwidth().Value).To(approx(20))
		Expect(report.Worst.Resource).To(Equal(capacity.ResourceCPU), "200/s at 0.1 s is worse")
		Expect(report.Verdict).To(Equal(capacity.VerdictOver))
		// One change per 10 s; an answer takes 1 s + 100 tokens * 0.09 s = 10 s.
		Expect(row(r, "router.snapshot.whole").Entries.Value).To(approx(2))
		Expect(row(r, "router.streams").Entries.Value).To(approx(1000))
		// A bundle has (100+20+10)*0.1 B; there are 0.1 changes per second.
		Expect(row(r, "agent.bundle.whole").Bandwidth().Value).To(approx(1.3))
		// 125 requests of 20 teams during the lifetime of credits: 6.25 for each;
		// two kinds of limits, four requests for credits per second.
		active := 1 - math.Exp(-6.25)
		Expect(row(r, "router.credits.ask").PerSecond.Value).To(approx(20 * active * 2 * 4))
		Expect(row(r, "router.credits.homes").Entries.Value).To(approx(4))
		// 1000 streams on 100 connections: a fraction of e^-10 is idle, with a ping
		// every 5 s.
		Expect(row(r, "router.pings.mesh").PerSecond.Value).To(approx(100 * math.Exp(-10) / 5))
		// The garbage collector's headroom is (0.1-1) of the live bytes.
		live := row(r, "agent.gc.today").Entries.Value
		Expect(row(r, "agent.gc.today").Memory().Value).To(approx(-0.9 * live))

		Expect(service(r, "service.reads.all").Value.Value).To(approx(11))
		Expect(service(r, "service.burst.all").Verdict).To(Equal(capacity.VerdictOver), "110 of 55")
		Expect(service(r, "service.force.all").Value.Value).To(approx(2))
	})

	It("sums up the control plane of a node without the data plane", func() {
		r := build(simpleInputs())
		var memory float64
		for _, row := range r.Rows {
			if row.Role == capacity.RoleAgent && row.Plane == capacity.PlaneControl && row.Stage.In(capacity.PlanToday) {
				memory += row.Memory().Value
			}
		}
		Expect(r.Totals).To(ContainElement(SatisfyAll(
			HaveField("Role", capacity.RoleAgent), HaveField("Plan", capacity.PlanToday),
			HaveField("Resource", capacity.ResourceMemory),
			HaveField("Amount.Value", BeNumerically("~", memory, 1e-9)),
		)))
	})

	It("excludes credits from the plan without them", func() {
		r := build(simpleInputs())
		bandwidth := make(map[capacity.Plan]float64)
		memory := make(map[capacity.Plan]float64)
		for _, total := range r.Totals {
			if total.Role == capacity.RoleRouter && total.Resource == capacity.ResourceBandwidth {
				bandwidth[total.Plan] = total.Amount.Value
			}
			if total.Role == capacity.RoleRouter && total.Resource == capacity.ResourceMemory {
				memory[total.Plan] = total.Amount.Value
			}
		}
		// 0.1 of the live memory, which includes the garbage collector's headroom.
		live := row(r, "router.gc.design").Entries.Value
		for _, id := range []capacity.RowID{"router.credits.held", "router.credits.homes", "router.credits.conns"} {
			live -= row(r, id).Memory().Value
		}
		Expect(memory[capacity.PlanNoCredits]).To(BeNumerically("~", 0.1*live, 1e-9))
		var credits float64
		for _, id := range []capacity.RowID{"router.credits.ask", "router.credits.grant", "router.credits.permits"} {
			credits += row(r, id).Bandwidth().Value
		}
		Expect(bandwidth[capacity.PlanNoCredits]).To(BeNumerically("~", bandwidth[capacity.PlanDesign]-credits, 1e-9))
	})

	It("calculates the failure of a failure domain", func() {
		r := build(simpleInputs())
		found := 0
		for _, f := range r.Failures {
			if f.Event != "a failure domain" {
				continue
			}
			found++
			Expect(f.CapacityKept.Value).To(BeNumerically("~", 0.9, 1e-9))
			Expect(f.Refused.Value).To(BeNumerically("~", 100, 1e-9))
			// One router of 1000 streams, ten agents of 100 each.
			Expect(f.BrokenStreams.Value).To(BeNumerically("~", 2000, 1e-9))
			want := map[capacity.Plan]float64{capacity.PlanToday: 10*10 + 100, capacity.PlanDesign: 10*2 + 20}
			Expect(f.Handshakes.Value).To(BeNumerically("~", want[f.Plan], 1e-9))
		}
		Expect(found).To(Equal(2))
	})

	It("finds the growth factor at which a limit is reached", func() {
		r := build(simpleInputs())
		var found bool
		for _, b := range r.Breaks {
			if b.Name == "whole bundle as one value" {
				found = true
				Expect(b.At.Value).To(BeNumerically("~", 2, 0.01), "13 B of 26")
			}
		}
		Expect(found).To(BeTrue())
	})

	It("reports rows that depend on a missing figure as unknown", func() {
		in := simpleInputs()
		in.Size.RequestsPerSecond = 0
		r := build(in)
		Expect(row(r, "router.report").Verdict).To(Equal(capacity.VerdictUnknown))
		Expect(row(r, "router.pool.mesh").Verdict).To(Equal(capacity.VerdictWithin))
	})

	It("fails without a required slope", func() {
		in := simpleInputs()
		in.Slopes.Runs[0].Slopes = in.Slopes.Runs[0].Slopes[1:]
		_, err := capacity.Build(in)
		Expect(errors.Is(err, capacity.ErrNoSlope)).To(BeTrue())
	})
})

var _ = Describe("The rows of the default report", func() {
	defaultReport := func() capacity.Report {
		in := simpleInputs()
		var err error
		in.Slopes, err = capacity.DecodeSlopes("slopes.jsonc", defaults.Slopes)
		Expect(err).NotTo(HaveOccurred())
		sizes, err := capacity.DecodeSizes("size.jsonc", defaults.Size)
		Expect(err).NotTo(HaveOccurred())
		in.Size = sizes[0]
		return build(in)
	}

	It("name the inputs of every number, and an existing file for every implemented mechanism", func() {
		for _, row := range defaultReport().Rows {
			Expect(len(row.Memory().Sources)+len(row.Bandwidth().Sources)+len(row.CPU().Sources)).To(BeNumerically(">", 0), string(row.ID))
			if row.Stage != capacity.StageDesigned && !strings.Contains(string(row.ID), ".gc.") {
				Expect(row.Mechanism.File).NotTo(BeEmpty(), string(row.ID))
			}
			if row.Mechanism.File != "" {
				_, err := os.Stat(filepath.Join("..", "..", row.Mechanism.File))
				Expect(err).NotTo(HaveOccurred(), string(row.ID))
			}
		}
	})

	It("name a remedy for each usage over its allowance", func() {
		over := defaultReport().Over
		Expect(over).NotTo(BeEmpty())
		for _, row := range over {
			Expect(row.Remedy).NotTo(BeEmpty(), row.Name)
			Expect(row.Cost).NotTo(BeEmpty(), row.Name)
		}
	})
})
