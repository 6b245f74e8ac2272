package slopes

import (
	"context"
	"runtime"

	"coveferry/internal/capacity"
)

const (
	mebibyte  = 1 << 20
	blockSize = 1 << 10
	// churnFactor is the amount of garbage allocated per live byte, enough for
	// several garbage collections.
	churnFactor = 4
	// readEvery is the number of garbage blocks between two readings.
	readEvery = 64
)

func heapProbes() []probe {
	return []probe{{
		name:  "collector",
		sizes: []int{8 * mebibyte, 16 * mebibyte, 32 * mebibyte, 64 * mebibyte},
		series: []capacity.Slope{
			{ID: capacity.GCHeadroom, Title: "largest heap at the collector's default pace", Unit: capacity.UnitBytes, Per: "live byte"},
		},
		measure: func(_ context.Context, n int) ([]float64, error) { return measureHeap(n), nil },
	}}
}

// measureHeap returns the largest heap size while n bytes are live and garbage is
// allocated.
func measureHeap(n int) []float64 {
	before := liveMemory()
	live := make([][]byte, max(n/blockSize, 1))
	for i := range live {
		live[i] = make([]byte, blockSize)
	}
	liveMemory()
	largest := largestHeap(len(live) * churnFactor)
	runtime.KeepAlive(live)
	return []float64{largest - before}
}

// garbage makes the blocks escape to the heap.
var garbage []byte

func largestHeap(blocks int) float64 {
	var largest uint64
	var m runtime.MemStats
	for i := range blocks {
		garbage = make([]byte, blockSize)
		if i%readEvery == 0 {
			runtime.ReadMemStats(&m)
			largest = max(largest, m.HeapAlloc+m.StackInuse)
		}
	}
	runtime.KeepAlive(garbage)
	garbage = nil
	return float64(largest)
}
