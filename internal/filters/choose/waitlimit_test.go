package choose

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/forecast"
	"coveferry/internal/request"
	"coveferry/internal/route"
)

// Guards against a pressure by another limit than the one from which the request is refused as late: requests would
// be refused as late, whatever their team, before any is refused for a share.
func TestForecastWaitsHaveTheLimitOfForecasts(t *testing.T) {
	g := NewWithT(t)
	table, err := route.NewTable(route.Config{
		Services: []route.Service{{Name: "s", Engine: &route.Engine{}}},
		Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/", Targets: []route.Target{{Service: "s", Weight: 1}}, Objective: 2 * time.Second}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	f := &Filter{refuseLateFactor: 1}
	r := &request.Request{Routes: route.Snapshot{Table: table}, Route: table.Match("h", "/"), Service: "s"}
	g.Expect(f.waitLimit(r)).To(Equal(2 * time.Second))
	r.Forecast = true
	limit := f.waitLimit(r)
	g.Expect(limit).To(Equal(forecast.WaitLimit(2 * time.Second)))
	g.Expect(f.checkWait(r, limit)).To(Succeed())
	g.Expect(f.checkWait(r, limit+1)).NotTo(Succeed())
}
