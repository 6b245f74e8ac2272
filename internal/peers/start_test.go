package peers

// A fleet starts before the operator has written a configuration. Each router asked the
// source again and again, its readers having nothing to tell either: at 103 routers and
// .85 s some 450 calls, half of all that they made on a calm day. Evidence: the calls
// counted here with 30 routers in two seconds, 240 before and 47 since.

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/memnet"
)

func TestRoutersThatStartTooEarlyLeaveTheAskingToTheirReaders(t *testing.T) {
	const routers = 30
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fleet{net: memnet.New(), store: &store{version: 1, away: make(map[string]bool)}}
		for i := range 3 {
			f.seeds = append(f.seeds, address(i))
		}
		for i := range routers {
			f.turnAway(fmt.Sprint("vm", i))
		}
		for i := range routers {
			f.start(g, i)
		}
		time.Sleep(2 * time.Second)
		g.Expect(f.store.count()).To(BeNumerically("<", 2*routers))
		f.store.mu.Lock()
		clear(f.store.away)
		f.store.mu.Unlock()
		time.Sleep(1200 * time.Millisecond)
		g.Expect(f.inForce(1)).To(Equal(routers))
		for _, n := range f.nodes {
			n.end()
		}
	})
}
