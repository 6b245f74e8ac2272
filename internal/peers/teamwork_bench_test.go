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
			g := fairshare.Group{Service: "s", Rank: rank, Short: true, Routers: 1, Teams: make(map[string]float64)}
			for i := range 32 {
				g.Teams[fmt.Sprintf("team-%03d", (offset+i)%290)] = 1
			}
			sums = append(sums, g)
		}
		return sums
	}
	var w teamWorkTable
	now := time.Now()
	for i := range 33 {
		w.record(&w.polled, fmt.Sprint("vm", i), teams(i), now)
	}
	for i := range 26 {
		w.record(&w.otherDomains, fmt.Sprint("r", i), teams(i), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(7 * time.Millisecond)
		w.allBut("vm1", now).TrimTotal(maxReplyWorkBytes)
		for _, reports := range []map[string]receivedWork{w.polled, w.otherDomains} {
			for vm, report := range reports {
				report.at = now
				reports[vm] = report
			}
		}
	}
}
