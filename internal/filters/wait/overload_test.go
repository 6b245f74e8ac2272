package wait_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	simulatedTime = 8 * time.Second
	warmUp        = 500 * time.Millisecond
)

// simulateOverload simulates twice the load that fits.
func simulateOverload(t *testing.T, routers int, waiting bool, check func(t *testing.T, f *simFleet, use float64)) {
	inBubble(t, func(t *testing.T) {
		f := newSimFleet(routers, waiting)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		f.exchange(ctx)
		f.measureAt = time.Now().Add(warmUp)
		used := make(chan float64, 1)
		time.AfterFunc(simulatedTime, func() { used <- f.use(simulatedTime - warmUp) })
		var group sync.WaitGroup
		f.sendAtRate(2, simulatedTime, rand.New(rand.NewPCG(uint64(routers), 3)), &group)
		group.Wait()
		use := <-used
		t.Logf("%s, slots in use %.3f", f, use)
		check(t, f, use)
	})
}

// Guards against endpoints that refuse most requests of an overload although a slot becomes free
// every 2.5 ms.
func TestEndpointsRefuseFewRequestsInAnOverload(t *testing.T) {
	for _, routers := range []int{3, 27, 103} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			simulateOverload(t, routers, true, func(t *testing.T, f *simFleet, use float64) {
				g := NewWithT(t)
				g.Expect(float64(f.refusedByEndpoint)/float64(f.arrivals)).To(BeNumerically("<", 0.05), "refused by endpoints")
				g.Expect(use).To(BeNumerically(">", 0.95), "slots in use")
				g.Expect(f.heldPast).To(BeZero())
			})
		})
	}
}

// The bound of the test above must not hold without the filter.
func TestEndpointsRefuseManyRequestsWithoutTheFilter(t *testing.T) {
	simulateOverload(t, 27, false, func(t *testing.T, f *simFleet, _ float64) {
		NewWithT(t).Expect(float64(f.refusedByEndpoint) / float64(f.arrivals)).To(BeNumerically(">", 0.05))
	})
}
