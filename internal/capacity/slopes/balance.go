package slopes

import (
	"context"
	"runtime"
	"time"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/capacity"
	"coveferry/internal/load"
)

func balanceProbes() []probe {
	return []probe{
		{
			name:  "pool",
			sizes: []int{500, 1000, 2000, 4000},
			series: []capacity.Slope{
				{ID: capacity.PoolEntryMemory, Title: "router's pool of endpoint states", Unit: capacity.UnitBytes, Per: "endpoint"},
			},
			measure: func(_ context.Context, n int) ([]float64, error) { return measurePool(n) },
		},
		{
			name:  "choose",
			sizes: []int{20, 80, 160, 320, 640},
			series: []capacity.Slope{
				{ID: capacity.ChooseCPU, Title: "choice of an endpoint", Unit: capacity.UnitSeconds, Per: "candidate"},
			},
			measure: func(_ context.Context, n int) ([]float64, error) { return measureChoose(n) },
		},
	}
}

func endpointList(n int) []*bundle.Endpoint {
	list := make([]*bundle.Endpoint, n)
	for i := range list {
		e := makeEndpoint(i)
		list[i] = &e
	}
	return list
}

// reportAll passes one load report of every endpoint to a pool.
func reportAll(p *balance.Pool, endpoints []*bundle.Endpoint) {
	for _, e := range endpoints {
		p.Sent(issued, e.Name)
		p.Report(issued, e.Name, load.Report{Seq: 1, Slots: e.Slots, DrainPerSecond: 5})
		p.Done(issued, e.Name, balance.ResultOK, 300*time.Millisecond)
	}
}

func measurePool(n int) ([]float64, error) {
	endpoints := endpointList(n)
	memory, err := memoryOf(func() (any, error) {
		p := balance.NewPool(balance.Config{Seed: 1})
		reportAll(p, endpoints)
		return p, nil
	})
	runtime.KeepAlive(endpoints) // owned by the bundle, not by the pool
	return []float64{memory}, err
}

func measureChoose(n int) ([]float64, error) {
	endpoints := endpointList(n)
	p := balance.NewPool(balance.Config{Seed: 1})
	reportAll(p, endpoints)
	now := issued.Add(time.Second)
	cpu, err := cpuPerCall(func() error {
		_, err := p.Choose(now, balance.Request{Tier: 1}, endpoints, nil)
		return err
	})
	return []float64{cpu}, err
}
