package agent

import (
	"context"
	"sync"
	"time"

	"coveferry/internal/clock"
	"coveferry/internal/wire"
)

// Constants for the detection of process pauses.
const (
	// heartbeatInterval is how often a queue that holds jobs records the time.
	heartbeatInterval = 100 * time.Millisecond
	// pauseThreshold is the gap between heartbeats that counts as a pause.
	pauseThreshold = time.Second
	// settleTime is how long a process that resumed waits before it starts
	// work, so that connection resets and cancellations that arrived during
	// the pause are read first.
	settleTime = 50 * time.Millisecond
)

// heartbeat detects pauses of the process by a timer that fires late. It is safe
// for concurrent use.
type heartbeat struct {
	clock     clock.Clock
	mu        sync.Mutex
	timer     *time.Timer
	active    bool
	lastBeat  time.Time
	resumedAt time.Time // zero before the first pause
}

// setActive starts or stops the heartbeats.
func (h *heartbeat) setActive(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.active == on {
		return
	}
	h.active = on
	if !on {
		h.timer.Stop()
		return
	}
	h.lastBeat = h.clock()
	if h.timer == nil {
		h.timer = time.AfterFunc(heartbeatInterval, h.tick)
		return
	}
	h.timer.Reset(heartbeatInterval)
}

func (h *heartbeat) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.detectPause()
	if h.active {
		h.timer.Reset(heartbeatInterval)
	}
}

// detectPause records the time, and a pause if the last heartbeat is too old.
// It requires h.mu to be held.
func (h *heartbeat) detectPause() time.Time {
	now := h.clock()
	if now.Sub(h.lastBeat) >= pauseThreshold {
		h.resumedAt = now
	}
	h.lastBeat = now
	return now
}

// settleDelay returns how long to wait before work is started: 0 unless the
// process has just resumed from a pause.
func (h *heartbeat) settleDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.detectPause()
	if h.resumedAt.IsZero() {
		return 0
	}
	return max(0, settleTime-now.Sub(h.resumedAt))
}

// checkDeadline checks, immediately before a request is sent to the engine, that
// the attempt is neither cancelled nor expired. The context alone isn't
// sufficient: after a pause neither its timer nor the router's cancellation may
// have taken effect yet.
func (ag *Agent) checkDeadline(ctx context.Context, a *attempt) error {
	if wait := ag.queue.heartbeat.settleDelay(); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if !ag.cfg.Clock().Before(a.clockDeadline) {
		return errDeadline
	}
	return nil
}

// skewAllowance is the clock skew between a router and this VM that is tolerated
// when the transit time of a router's first attempt is computed.
const skewAllowance = 2 * time.Second

// remainingTime returns the time until an attempt's deadline: the remaining time
// that the router sent, less the transit time. Either process may have been
// paused in between.
func (ag *Agent) remainingTime(env *wire.Envelope) time.Duration {
	return time.Duration(env.DeadlineMillis)*time.Millisecond - max(0, ag.transitTime(env))
}

// transitTime returns how long an attempt was in transit. The router sends back the
// last clock reading that it received from this agent, and the age of that reading
// when it sent the attempt, so the clocks need not be synchronized. The result is
// too long by the time that the reading took to reach the router. For a router that
// has no reading yet, the wall clocks are compared, less skewAllowance.
func (ag *Agent) transitTime(env *wire.Envelope) time.Duration {
	if env.AgentClock.Incarnation == ag.incarnation {
		millis := ag.cfg.Clock().UnixMilli() - env.AgentClock.Millis - env.AgentClockAgeMillis
		return time.Duration(millis) * time.Millisecond
	}
	if env.SentUnixMillis == 0 {
		return 0
	}
	millis := time.Now().UnixMilli() - env.SentUnixMillis
	return time.Duration(millis)*time.Millisecond - skewAllowance
}

// clockReading returns the agent's current clock reading, which routers send back
// with later attempts.
func (ag *Agent) clockReading() wire.Clock {
	return wire.Clock{Incarnation: ag.incarnation, Millis: ag.cfg.Clock().UnixMilli()}
}
