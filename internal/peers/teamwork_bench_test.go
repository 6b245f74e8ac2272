package peers

import (
	"fmt"
	"testing"
	"time"

	"coveferry/internal/fairshare"
)

// BenchmarkSumOfTeams adds up the reports of a failure domain of 33 routers and of 26 other domains, as
// a reader does for each poll while capacity is short.
func BenchmarkSumOfTeams(b *testing.B) {
	teams := func(offset int) fairshare.Sums {
		var sums fairshare.Sums
		for rank := range 2 {
			g := fairshare.Group{Service: "s", Rank: rank, Short: true, Teams: make(map[string]float64)}
			for i := range 32 {
				g.Teams[fmt.Sprintf("team-%03d", (offset+i)%290)] = 1
			}
			sums = append(sums, g)
		}
		return sums
	}
	var d demandTable
	now := time.Now()
	for i := range 33 {
		d.record(Member{VM: fmt.Sprint("vm", i), FailureDomain: "own"}, nil, teams(i), now)
	}
	s := &Source{cfg: Config{Self: Member{VM: "self", FailureDomain: "own"}}}
	for i := range 26 {
		s.recordDomainDemand(Member{VM: fmt.Sprint("r", i), FailureDomain: fmt.Sprint("d", i)}, domainDemand{Routers: 33, TeamWork: teams(i)}, now)
	}
	s.demand.byRouter, d.byDomain = d.byRouter, s.demand.byDomain
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(7 * time.Millisecond)
		d.sum(now, "vm1").TeamWork.Trim()
		for vm, report := range d.byRouter {
			report.at = now
			d.byRouter[vm] = report
		}
		for vm, report := range d.byDomain {
			report.at = now
			d.byDomain[vm] = report
		}
	}
}
