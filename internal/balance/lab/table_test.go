package lab

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/balance"
)

var printTable = flag.Bool("table", false, "print the table of the design note")

const (
	labSeed   = 42
	tableSize = 15_000
	seedCount = 3
	quickSize = 5_000
)

var lags = []time.Duration{0, 200 * time.Millisecond, 2 * time.Second}

func TestTable(t *testing.T) {
	if !*printTable {
		t.Skip("prints figures only; run with -table")
	}
	fmt.Println("| policy | lag | mean | p99 | attained, tier 0 | tier 1 | on slow | at two |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, lag := range lags {
		for _, v := range Variants {
			o := averageOverSeeds(v, lag)
			fmt.Printf("| %s | %v | %v | %v | %.4f | %.4f | %.3f | %.2f |\n", v.Name, lag,
				o.Mean.Round(time.Millisecond), o.P99.Round(time.Millisecond), o.AttainedShare[0], o.AttainedShare[1], o.SlowShare, o.SecondShare)
		}
	}
}

// averageOverSeeds returns the mean outcome over several seeds.
func averageOverSeeds(v Variant, lag time.Duration) Outcome {
	var sum Outcome
	for seed := range uint64(seedCount) {
		o := Simulate(v, lag, tableSize, labSeed+seed)
		sum.Mean += o.Mean / seedCount
		sum.P99 += o.P99 / seedCount
		sum.SlowShare += o.SlowShare / seedCount
		sum.SecondShare += o.SecondShare / seedCount
		for tier, share := range o.AttainedShare {
			sum.AttainedShare[tier] += share / seedCount
		}
	}
	return sum
}

func variantByName(name string) Variant {
	for _, v := range Variants {
		if v.Name == name {
			return v
		}
	}
	panic("no variant " + name)
}

func TestDefaultPolicyIsBestAtEachReportLag(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, lag := range lags {
		product := Simulate(variantByName("load-aware with late binding"), lag, quickSize, labSeed)
		for _, name := range []string{"round-robin", "random", "least-loaded", "power-of-two", "hot-cold, 5 draws"} {
			other := Simulate(variantByName(name), lag, quickSize, labSeed)
			g.Expect(product.Mean).To(gomega.BeNumerically("<", other.Mean), "%s at %v", name, lag)
			g.Expect(product.AttainedShare[0]).To(gomega.BeNumerically(">", other.AttainedShare[0]), "%s at %v", name, lag)
		}
	}
}

func TestOutlierDetectionAndPrefixAffinityHelp(t *testing.T) {
	g := gomega.NewWithT(t)
	whole := Simulate(variantByName("load-aware"), 0, quickSize, labSeed)
	g.Expect(whole.SlowShare).To(gomega.BeNumerically("<", Simulate(variantByName("load-aware, no shedding"), 0, quickSize, labSeed).SlowShare))
	g.Expect(whole.Mean).To(gomega.BeNumerically("<", Simulate(variantByName("load-aware, no prefix"), 0, quickSize, labSeed).Mean))
}

func TestSameSeedGivesSameOutcome(t *testing.T) {
	g := gomega.NewWithT(t)
	v := Variant{Policy: func() balance.Policy { return balance.LoadAware{} }, OutlierDetection: true, LateBinding: true}
	g.Expect(Simulate(v, 0, 2000, 7)).To(gomega.Equal(Simulate(v, 0, 2000, 7)))
}
