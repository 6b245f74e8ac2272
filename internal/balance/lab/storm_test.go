package lab

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// recoverBy is when goodput has to be back to normal, ten seconds after the burst.
const recoverBy = burstEnd + 10*time.Second

func mean(bins []float64) float64 {
	sum := 0.0
	for _, b := range bins {
		sum += b
	}
	return sum / float64(len(bins))
}

func TestGoodputRecoversAfterABurst(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(3) {
		guarded := SimulateRetryStorm(Protection{Budget: true, Throttle: true}, seed)
		before := mean(guarded[:burstStart/StormBin])
		after := guarded[recoverBy/StormBin:]
		g.Expect(mean(after)).To(gomega.BeNumerically(">", 0.95*before), "seed %d", seed)
		g.Expect(after).To(gomega.HaveEach(gomega.BeNumerically(">", 0.8*before)), "seed %d", seed)
	}
}

func TestRetriesWithoutProtectionNeverRecover(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(3) {
		naive := SimulateRetryStorm(Protection{}, seed)
		before := mean(naive[:burstStart/StormBin])
		after := naive[recoverBy/StormBin:]
		g.Expect(after).To(gomega.HaveEach(gomega.BeNumerically("<", 0.1*before)), "seed %d", seed)
	}
}

func TestRetryStormTable(t *testing.T) {
	if !*printTable {
		t.Skip("prints figures only; run with -table")
	}
	for _, p := range []Protection{{}, {Budget: true}, {Throttle: true}, {Budget: true, Throttle: true}} {
		fmt.Printf("| budget %v, throttle %v |", p.Budget, p.Throttle)
		for _, x := range SimulateRetryStorm(p, 0) {
			fmt.Printf(" %.0f", x)
		}
		fmt.Println(" |")
	}
}
