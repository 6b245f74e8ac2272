package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/capacity"
	"coveferry/internal/filters/limit"
	"coveferry/internal/request"
	"coveferry/internal/slo"
)

// stateProbes returns the probes of the state kept for requests and teams.
func stateProbes() []probe {
	return []probe{
		{
			name:  "team-limits",
			sizes: []int{100, 200, 400, 800},
			series: []capacity.Slope{
				{ID: capacity.LimitMemory, Title: "router's use of a team's limits", Unit: capacity.UnitBytes, Per: "team"},
			},
			measure: measureLimits,
		},
		{
			name:  "slo",
			sizes: []int{8, 16, 32, 64},
			series: []capacity.Slope{
				{ID: capacity.SLOMemory, Title: "recorder of service levels", Unit: capacity.UnitBytes, Per: "class and tier"},
				{ID: capacity.SLOBytes, Title: "report of service levels as JSON", Unit: capacity.UnitBytes, Per: "class and tier"},
			},
			measure: func(_ context.Context, n int) ([]float64, error) { return measureSLO(n) },
		},
	}
}

// measureLimits returns the memory of the limit state of n teams.
func measureLimits(ctx context.Context, n int) ([]float64, error) {
	teams := make([]bundle.Team, n)
	for i := range teams {
		teams[i] = makeTeam(i)
	}
	memory, err := memoryOf(func() (any, error) {
		f := limit.New()
		for i := range teams {
			r := &request.Request{Team: &teams[i]}
			if err := f.Do(ctx, r, func(context.Context, *request.Request) error { return nil }); err != nil {
				return nil, err
			}
		}
		return f, nil
	})
	runtime.KeepAlive(teams) // owned by the bundle, not by the filter
	return []float64{memory}, err
}

// measureSLO returns the memory of a recorder with n series, and the bytes of
// its report.
func measureSLO(n int) ([]float64, error) {
	memory, err := memoryOf(func() (any, error) { return newRecorder(n), nil })
	if err != nil {
		return nil, err
	}
	report, err := json.Marshal(newRecorder(n).Rows(issued, slo.Objectives{}))
	return []float64{memory, float64(len(report))}, errors.Wrap(err, "encode a report")
}

func newRecorder(n int) *slo.Recorder {
	r := slo.NewRecorder()
	for i := range n {
		key := slo.Key{Class: fmt.Sprintf("class-%d", i/bundleTiers), Tier: fmt.Sprintf("tier-%d", i%bundleTiers)}
		r.Record(issued, key, slo.Good)
	}
	return r
}
