package path

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// Usage is the resource usage of a part so far.
type Usage struct {
	// CPU is the CPU time.
	CPU time.Duration `json:"cpu_ns"`
	// Memory is the live memory in bytes, including stacks; it is set only after
	// a requested garbage collection.
	Memory float64 `json:"memory_bytes"`
}

// Cost is the resource usage of one part per request, token and stream.
type Cost struct {
	// CPUMicros is the CPU time of a request of three tokens, and
	// RequestsPerCore the requests per second that a fully used core handles.
	CPUMicros       float64 `json:"cpu_us_a_request"`
	RequestsPerCore float64 `json:"requests_a_second_a_core"`
	// TokenMicros is the CPU time of a token of an open stream, and
	// StreamsPerCore the streams of 20 tokens per second that a fully used core
	// handles.
	TokenMicros    float64 `json:"cpu_us_a_token"`
	StreamsPerCore float64 `json:"streams_a_core"`
	// StreamBytes is the live memory per open stream, including stacks.
	StreamBytes float64 `json:"bytes_a_stream"`
}

// streamTokensPerSecond is the token rate of the streams counted by
// StreamsPerCore.
const streamTokensPerSecond = 20

func (c *Cost) setCalls(cpu time.Duration, requests int) {
	c.CPUMicros = micros(cpu) / float64(max(requests, 1))
	c.RequestsPerCore = ratePerCore(c.CPUMicros)
}

func (c *Cost) setTokens(cpu time.Duration, tokens int) {
	c.TokenMicros = micros(cpu) / float64(max(tokens, 1))
	c.StreamsPerCore = ratePerCore(c.TokenMicros) / streamTokensPerSecond
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// ratePerCore returns how often per second a core can do work that takes us
// microseconds; 0 if us isn't positive.
func ratePerCore(us float64) float64 {
	if us <= 0 {
		return 0
	}
	return micros(time.Second) / us
}

func currentUsage(collectGarbage bool) Usage {
	u := Usage{CPU: cpuTime()}
	if collectGarbage {
		u.Memory = liveMemory()
	}
	return u
}

// cpuTime returns the CPU time of the process.
func cpuTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0 // not available on this platform
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveMemory returns the size of live heap data and of the stacks.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC() // sync.Pool releases its contents only at the second collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
