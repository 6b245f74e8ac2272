package peers

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/poison"
)

// maxSpreadDelay is how soon all routers must know: well below the seconds within which an
// operator tolerates that a request crashes more than three endpoints.
const maxSpreadDelay = 2 * time.Second

// newPoisonTable returns the table of a router, in which the test records crashes.
func (n *node) newPoisonTable() *poison.Table {
	t := poison.NewTable(poison.Config{Router: n.vm, Clock: time.Now})
	n.source.SharePoison(t)
	return t
}

func recordCrash(t *poison.Table, id poison.Identity, endpoint int) {
	now := time.Now()
	t.RecordLoss(poison.Request{Content: id}, poison.Loss{Endpoint: fmt.Sprint("e", endpoint), Sent: now.Add(-100 * time.Millisecond), At: now})
}

// Three routers lose one endpoint each to the same request: none of them alone knows enough.
func TestAllRoutersLearnWhichRequestsCrashEndpoints(t *testing.T) {
	for _, c := range []struct {
		routers, domains int
		mbps             float64 // 10 leads to several readers per failure domain
	}{{2, 2, 0}, {3, 2, 0}, {12, 2, 0}, {24, 2, 10}, {24, 1, 10}, {27, 9, 0}} {
		runFleetShape(t, c.routers, c.domains, c.mbps, func(g *WithT, f *fleet) {
			tables := make([]*poison.Table, len(f.nodes))
			for i, n := range f.nodes {
				tables[i] = n.newPoisonTable()
			}
			for i := range 3 {
				recordCrash(tables[(i*5)%len(tables)], 7, i)
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(maxSpreadDelay)
			for i, table := range tables {
				g.Expect(table.Check(poison.Request{Content: 7}).Refused).To(BeTrue(), "%d routers, %s", c.routers, f.nodes[i].vm)
				g.Expect(table.Check(poison.Request{Content: 8}).Refused).To(BeFalse())
			}
			tables[len(tables)-1].RecordCompletion(poison.Request{Content: 7})
			time.Sleep(maxSpreadDelay)
			for i, table := range tables {
				g.Expect(table.Check(poison.Request{Content: 7}).Refused).To(BeFalse(), "%d routers, %s learns that the request completed", c.routers, f.nodes[i].vm)
			}
		})
	}
}

// Updates carry recent changes only; a router that starts later gets everything as its digest
// differs.
func TestStartingRouterLearnsQuarantinedRequests(t *testing.T) {
	runFleet(t, 4, func(g *WithT, f *fleet) {
		var tables []*poison.Table
		for _, n := range f.nodes {
			tables = append(tables, n.newPoisonTable())
		}
		for i := range 3 {
			recordCrash(tables[1], 7, i)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		f.startNode(g, 4)
		late := f.nodes[4].newPoisonTable()
		time.Sleep(3 * time.Second) // until it knows the others
		g.Expect(late.Check(poison.Request{Content: 7}).Refused).To(BeTrue())
		for _, table := range tables {
			g.Expect(table.Check(poison.Request{Content: 7}).Refused).To(BeTrue())
		}
	})
}

// A router that was partitioned reports its crashes once it is connected again.
func TestReconnectedRouterReportsCrashes(t *testing.T) {
	runFleet(t, 4, func(g *WithT, f *fleet) {
		var tables []*poison.Table
		for _, n := range f.nodes {
			tables = append(tables, poison.NewTable(poison.Config{Router: n.vm, Clock: time.Now}))
		}
		for i := range 3 {
			recordCrash(tables[3], 7, i)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		for i, n := range f.nodes {
			n.source.SharePoison(tables[i])
		}
		time.Sleep(3 * time.Second)
		for i, table := range tables {
			g.Expect(table.Check(poison.Request{Content: 7}).Refused).To(BeTrue(), f.nodes[i].vm)
		}
	})
}
