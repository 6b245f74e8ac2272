package daemon

import "runtime/debug"

// Shares of the process's memory limit, used if it is known.
const (
	// openShare is for open requests, each of which takes openBytes: two connections with
	// their buffers, and the request's state.
	openShare = 0.6
	openBytes = 96 << 10
	// bodyShare is for buffered request bodies.
	bodyShare = 0.15
	// heapShare is the part used as the soft memory limit of the Go runtime, beyond which the
	// garbage collector runs more and more often. If the process exceeds its memory limit it
	// is killed, and all its open requests are lost.
	heapShare = 0.7
)

// directMemoryLimits returns the maximum number of open requests and of buffered body bytes
// for the process's memory limit in bytes, 0 if unknown.
func directMemoryLimits(memory int64) (open, bodies int64) {
	if memory <= 0 {
		return directMaxOpen, directMaxBodyBytes
	}
	open = int64(openShare * float64(memory) / openBytes)
	bodies = int64(bodyShare * float64(memory))
	return max(1, min(open, directMaxOpen)), min(bodies, directMaxBodyBytes)
}

// limitHeap sets the soft memory limit of the Go runtime to heapShare of the process's memory
// limit.
func limitHeap(memory int64) {
	if memory <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(heapShare * float64(memory)))
}
