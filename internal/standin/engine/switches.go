package engine

import "time"

// SetSpeed sets the speed factor; 0.2 makes steps take five times as long.
// Values that aren't positive are ignored.
func (e *Engine) SetSpeed(speed float64) {
	if speed <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speed = speed
}

// Crash aborts all answers in progress, clears all memory, and fails requests
// until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return
	}
	e.crashed = true
	e.looping = false
	now := time.Now()
	e.failSequences(now)
	e.clearMemory()
	e.events.reset(now)
	close(e.crashSignal)
}

func (e *Engine) failSequences(now time.Time) {
	for len(e.running) > 0 {
		e.finish(e.running[0], now, EndCrashed)
	}
	for e.waiting.Len() > 0 {
		e.finish(e.waiting.first(), now, EndCrashed)
	}
}

// Restart makes a crashed engine serve again, with empty memory. It does nothing
// if the engine isn't crashed.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.crashed {
		return
	}
	e.crashed = false
	e.crashSignal = make(chan struct{})
	e.clearPauseAndHang()
}

// Pause simulates a stopped process: the kernel accepts connections, but nothing
// is answered or decoded until Resume.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused {
		return
	}
	e.paused = true
	e.unpaused = make(chan struct{})
}

// Hang stops decoding until Resume, while the HTTP interface still answers and
// health checks pass.
func (e *Engine) Hang() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hung = true
}

// Resume ends Pause and Hang.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clearPauseAndHang()
	e.startLoop()
}

func (e *Engine) clearPauseAndHang() {
	if e.paused {
		close(e.unpaused)
	}
	e.paused = false
	e.hung = false
}
