package logging

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Limit returns a logger that writes at most perSecond lines per second. Dropped
// lines are counted by kind; reg may be nil.
func Limit(log zerolog.Logger, perSecond int, reg prometheus.Registerer, kind string) zerolog.Logger {
	s := &limiter{perSecond: perSecond, dropped: prometheus.NewCounter(prometheus.CounterOpts{
		Name:        "coveferry_log_lines_left_out_total",
		Help:        "Log lines that were left out to bound their volume, by kind.",
		ConstLabels: prometheus.Labels{"kind": kind},
	})}
	if reg != nil {
		reg.MustRegister(s.dropped)
	}
	return log.Sample(s)
}

// limiter implements zerolog.Sampler.
type limiter struct {
	perSecond int
	dropped   prometheus.Counter

	mu          sync.Mutex
	windowStart time.Time
	count       int
}

// Sample implements zerolog.Sampler.
func (l *limiter) Sample(zerolog.Level) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.count = now, 0
	}
	l.count++
	if l.count <= l.perSecond {
		return true
	}
	l.dropped.Inc()
	return false
}
