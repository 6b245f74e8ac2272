package daemon

import "runtime/debug"

// Shares of a VM's memory, used if the settings state its size.
const (
	// openShare is for open requests, each of which takes openBytes: two connections with
	// their buffers, and the request's state.
	openShare = 0.6
	openBytes = 96 << 10
	// bodyShare is for buffered request bodies.
	bodyShare = 0.15
	// heapShare is the soft memory limit, beyond which the garbage collector runs more and
	// more often. If the process exceeds the VM's memory it is killed, and all its open
	// requests are lost.
	heapShare = 0.7
)

// directMemoryLimits returns the maximum number of open requests and of buffered body bytes on
// a VM with the given memory in bytes, 0 if unknown.
func directMemoryLimits(memory int64) (open, bodies int64) {
	if memory <= 0 {
		return directMaxOpen, directMaxBodyBytes
	}
	open = int64(openShare * float64(memory) / openBytes)
	bodies = int64(bodyShare * float64(memory))
	return max(1, min(open, directMaxOpen)), min(bodies, directMaxBodyBytes)
}

// limitHeap sets the garbage collector's soft memory limit to heapShare of the VM's memory.
func limitHeap(memory int64) {
	if memory <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(heapShare * float64(memory)))
}
