package bench

import (
	"time"

	"golang.org/x/sys/unix"
)

// cpuMeter measures the CPU time of this process, which runs both the fleet and
// the bench.
type cpuMeter struct {
	start time.Time
	used  time.Duration
}

func startCPU() cpuMeter { return cpuMeter{start: time.Now(), used: cpuTime()} }

// cores returns the average number of busy cores since the start.
func (m cpuMeter) cores() float64 {
	elapsed := time.Since(m.start)
	if elapsed <= 0 {
		return 0
	}
	return float64(cpuTime()-m.used) / float64(elapsed)
}

// cpuTime returns the CPU time of the process; 0 if the platform doesn't report
// it.
func cpuTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
