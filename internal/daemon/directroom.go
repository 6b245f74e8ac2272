package daemon

import "runtime/debug"

// Parts of a VM's memory, where the settings tell it, and what takes it.
const (
	// openShare is for open requests, each of which takes openBytes: two connections with
	// their buffers, and what is known of the request.
	openShare = 0.6
	openBytes = 96 << 10
	// bodyShare is for bodies.
	bodyShare = 0.15
	// heapShare is how much the heap takes before it is collected more and more often: beyond
	// the VM's memory the process ends, with all that it has open.
	heapShare = 0.7
)

// directRoom is how many requests may be open and how many bytes of bodies may be held on a VM
// with so many bytes of memory, 0 if that isn't known.
func directRoom(memory int64) (open, bodies int64) {
	if memory <= 0 {
		return directMaxOpen, directMaxBodyBytes
	}
	open = int64(openShare * float64(memory) / openBytes)
	bodies = int64(bodyShare * float64(memory))
	return max(1, min(open, directMaxOpen)), min(bodies, directMaxBodyBytes)
}

// limitHeap has the collector keep the heap within its share of the VM's memory.
func limitHeap(memory int64) {
	if memory <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(heapShare * float64(memory)))
}
