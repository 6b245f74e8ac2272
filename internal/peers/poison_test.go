package peers

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/poison"
)

// spreadWithin is how soon all routers must know: well under the seconds for which an
// operator allows a request to crash more endpoints than three.
const spreadWithin = 2 * time.Second

// table is a router's, which the test tells what the router saw.
func (n *node) table() *poison.Table {
	t := poison.NewTable(poison.Config{Router: n.vm, Clock: time.Now})
	n.source.SharePoison(t)
	return t
}

func lose(t *poison.Table, id poison.Identity, endpoint int) {
	now := time.Now()
	t.Lost(id, poison.Loss{Endpoint: fmt.Sprint("e", endpoint), Sent: now.Add(-100 * time.Millisecond), At: now})
}

// Each of three routers loses one endpoint under the same request: none alone knows enough.
func TestAllRoutersHearUnderWhichRequestsEndpointsEnd(t *testing.T) {
	for _, c := range []struct {
		routers, domains int
		mbps             float64 // 10 makes several readers of a failure domain
	}{{2, 2, 0}, {3, 2, 0}, {12, 2, 0}, {24, 2, 10}, {24, 1, 10}, {27, 9, 0}} {
		playShape(t, c.routers, c.domains, c.mbps, func(g *WithT, f *fleet) {
			tables := make([]*poison.Table, len(f.nodes))
			for i, n := range f.nodes {
				tables[i] = n.table()
			}
			for i := range 3 {
				lose(tables[(i*5)%len(tables)], 7, i)
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(spreadWithin)
			for i, table := range tables {
				g.Expect(table.Ask(7).Held).To(BeTrue(), "%d routers, %s", c.routers, f.nodes[i].vm)
				g.Expect(table.Ask(8).Held).To(BeFalse())
			}
			tables[len(tables)-1].Completed(7)
			time.Sleep(spreadWithin)
			for i, table := range tables {
				g.Expect(table.Ask(7).Held).To(BeFalse(), "%d routers, %s hears that it was answered", c.routers, f.nodes[i].vm)
			}
		})
	}
}

// News are told for some seconds only; who comes later learns what is held back by the digest.
func TestARouterThatStartsLaterHearsWhichRequestsAreHeldBack(t *testing.T) {
	play(t, 4, func(g *WithT, f *fleet) {
		var tables []*poison.Table
		for _, n := range f.nodes {
			tables = append(tables, n.table())
		}
		for i := range 3 {
			lose(tables[1], 7, i)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		f.start(g, 4)
		late := f.nodes[4].table()
		time.Sleep(3 * time.Second) // to hear of the others at all
		g.Expect(late.Ask(7).Held).To(BeTrue())
		for _, table := range tables {
			g.Expect(table.Ask(7).Held).To(BeTrue())
		}
	})
}

// A router that was cut off tells what it saw meanwhile, once it is back.
func TestARouterThatComesBackTellsWhatItSaw(t *testing.T) {
	play(t, 4, func(g *WithT, f *fleet) {
		var tables []*poison.Table
		for _, n := range f.nodes {
			tables = append(tables, poison.NewTable(poison.Config{Router: n.vm, Clock: time.Now}))
		}
		for i := range 3 {
			lose(tables[3], 7, i)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		for i, n := range f.nodes {
			n.source.SharePoison(tables[i])
		}
		time.Sleep(3 * time.Second)
		for i, table := range tables {
			g.Expect(table.Ask(7).Held).To(BeTrue(), f.nodes[i].vm)
		}
	})
}
