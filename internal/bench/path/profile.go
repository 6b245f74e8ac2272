package path

import (
	"os"
	"runtime/pprof"

	"github.com/cockroachdb/errors"
)

// File name suffixes of a part's profiles.
const (
	cpuSuffix  = ".cpu.pprof"
	heapSuffix = ".heap.pprof"
)

// startCPUProfile writes a CPU profile of this process until stop is called. It
// does nothing if base is empty.
func startCPUProfile(base string) (stop func(), err error) {
	if base == "" {
		return func() {}, nil
	}
	f, err := os.Create(base + cpuSuffix)
	if err != nil {
		return nil, errors.Wrap(err, "path: write a profile")
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		// A process can have only one CPU profile. If parts share a process, the
		// first one writes it.
		return func() {}, f.Close()
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close() // an incompletely written profile is detected when it is read
	}, nil
}

// writeHeapProfile writes a heap profile. It does nothing if base is empty.
func writeHeapProfile(base string) error {
	if base == "" {
		return nil
	}
	f, err := os.Create(base + heapSuffix)
	if err != nil {
		return errors.Wrap(err, "path: write a profile")
	}
	return errors.CombineErrors(pprof.WriteHeapProfile(f), f.Close())
}
