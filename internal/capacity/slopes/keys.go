package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/capacity"
	"coveferry/internal/once"
)

func keyProbes() []probe {
	return []probe{{
		name:  "keys",
		sizes: []int{2000, 4000, 8000, 16000},
		series: []capacity.Slope{
			{ID: capacity.KeyMemory, Title: "agent's memory of idempotency keys", Unit: capacity.UnitBytes, Per: "key"},
			{ID: capacity.KeyCPU, Title: "key taken, begun and ended", Unit: capacity.UnitSeconds, Per: "key"},
		},
		measure: func(_ context.Context, n int) ([]float64, error) { return measureKeys(n) },
	}}
}

const (
	keyTarget = "model-00"
	// keySpacing is the time between two keys.
	keySpacing = 50 * time.Millisecond
)

// measureKeys returns the memory of n keys and the CPU time of using them.
func measureKeys(n int) ([]float64, error) {
	memory, err := memoryOf(func() (any, error) { return useKeys(n) })
	if err != nil {
		return nil, err
	}
	cpu, err := cpuPerCall(func() error {
		_, err := useKeys(n)
		return err
	})
	return []float64{memory, cpu}, err
}

// useKeys runs n requests with keys at the only endpoint of a model.
func useKeys(n int) (*once.KeyRegistry, error) {
	self := once.Member{Name: "endpoint-00000", VM: "vm-00000", Address: "10.0.0.1:7410"}
	cfg := once.DefaultConfig(self)
	keeper := once.New(cfg, issued)
	keeper.SetView(issued, once.View{
		Version: 1, Issued: issued,
		Lists: map[string]*once.List{keyTarget: once.NewList([]once.Member{self})},
	})
	now := issued
	for now.Before(issued.Add(2 * cfg.SettleTime)) {
		now = now.Add(cfg.QueryInterval)
		keeper.Tick(now)
	}
	for i := range n {
		now = now.Add(keySpacing)
		if err := useKey(keeper, now, i); err != nil {
			return nil, err
		}
	}
	return keeper, nil
}

func useKey(keeper *once.KeyRegistry, now time.Time, i int) error {
	u := once.Attempt{
		Target: keyTarget, Team: "team-0001", Request: fmt.Sprintf("0197f3a2-0000-7000-8000-%012d", i), Epoch: 1,
		Key: once.Key{Text: fmt.Sprintf("0197f3a1-0000-7000-8000-%012d", i), Issued: now},
	}
	if v := keeper.Admit(now, u); v.Refused != "" {
		return errors.Newf("key %d was refused: %s", i, v.Refused)
	}
	if !keeper.Begin(now, u) {
		return errors.Newf("key %d was fenced", i)
	}
	keeper.End(u, once.StateComplete)
	return nil
}
