package slopes

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minCPU is the minimum CPU time of a reading, well above the resolution of
	// the clock.
	minCPU = 30 * time.Millisecond
	// maxRounds bounds a reading of work that takes almost no time.
	maxRounds = 1 << 20
)

// cpuTime returns the CPU time of this process.
func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// cpuOf returns the CPU time of work in seconds.
func cpuOf(work func() error) (float64, error) {
	before, err := cpuTime()
	if err != nil {
		return 0, err
	}
	if err := work(); err != nil {
		return 0, err
	}
	after, err := cpuTime()
	return (after - before).Seconds(), err
}

// cpuPerCall returns the CPU time of one call of step in seconds. It doubles the
// number of calls until they take at least minCPU. One call before the
// measurement warms up caches and pools.
func cpuPerCall(step func() error) (float64, error) {
	if err := step(); err != nil {
		return 0, err
	}
	runtime.GC()
	for rounds := 1; ; rounds *= 2 {
		used, err := cpuOf(func() error { return repeat(rounds, step) })
		if err != nil {
			return 0, err
		}
		if used >= minCPU.Seconds() || rounds >= maxRounds {
			return used / float64(rounds), nil
		}
	}
}

func repeat(rounds int, step func() error) error {
	for range rounds {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// Bounds of the garbage collections before a reading of the memory.
const (
	maxCollections = 12
	// settledRounds is the number of successive collections that must free
	// nothing.
	settledRounds = 3
	// settledBytes is the number of freed bytes that counts as nothing.
	settledBytes = 4 << 10
)

// liveMemory returns the size of the live heap and the goroutines' stacks in
// bytes. Objects with finalizers, such as closed connections, and the contents of
// pools are freed only after several collections, so collections are repeated
// until they free no more.
func liveMemory() float64 {
	smallest := memoryAfterGC()
	settled := 0
	for range maxCollections {
		time.Sleep(settleStep) // lets finalizers run
		now := memoryAfterGC()
		settled++
		if now < smallest-settledBytes {
			settled = 0
		}
		smallest = min(smallest, now)
		if settled == settledRounds {
			break
		}
	}
	return smallest
}

func memoryAfterGC() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}

// memoryOf returns the memory held by the result of make, in bytes.
func memoryOf(make func() (any, error)) (float64, error) {
	before := liveMemory()
	result, err := make()
	if err != nil {
		return 0, err
	}
	after := liveMemory()
	runtime.KeepAlive(result)
	return after - before, nil
}

// Bounds of the wait for goroutines to end.
const (
	settleStep  = time.Millisecond
	settleSteps = 2000
)

// runAndSettle runs work and waits until its goroutines have ended. Otherwise the
// memory of connections being closed would distort the next reading.
func runAndSettle[T any](work func() (T, error)) (T, error) {
	before := runtime.NumGoroutine()
	out, err := work()
	for range settleSteps {
		if runtime.NumGoroutine() <= before {
			break
		}
		time.Sleep(settleStep)
	}
	return out, err
}

// counter counts the bytes of connections in both directions.
type counter struct{ bytes atomic.Int64 }

// countedConn adds the bytes read and written to a counter.
type countedConn struct {
	net.Conn
	counter *counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// listen opens a loopback listener on a free port.
func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errors.Wrap(err, "listen on loopback")
}
