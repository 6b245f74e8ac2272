package engine

import "time"

// maxCatchUp bounds the delay that the decode loop makes up for with shorter
// waits. It compensates for late timers, but not for longer pauses.
const maxCatchUp = 50 * time.Millisecond

// startLoop starts the decode loop unless it runs already or can't make
// progress.
func (e *Engine) startLoop() {
	if e.looping || !e.canStep() {
		return
	}
	e.looping = true
	go e.decode(e.crashSignal)
}

func (e *Engine) canStep() bool {
	idle := len(e.running) == 0 && e.waiting.Len() == 0
	return !idle && !e.crashed && !e.paused && !e.hung
}

// decode runs steps until there is no more work or the engine crashes.
func (e *Engine) decode(crashSignal chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	due := time.Now()
	for {
		cost, ok := e.beginStep(crashSignal)
		if !ok {
			return
		}
		due = schedule(due, time.Now(), cost)
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-crashSignal:
			return
		}
		if !e.endStep(crashSignal, time.Now()) {
			return
		}
	}
}

// schedule returns the due time of a step, given the due time of the previous
// one, last. A delay of more than maxCatchUp isn't made up for.
func schedule(last, now time.Time, cost time.Duration) time.Time {
	if oldest := now.Add(-maxCatchUp); last.Before(oldest) {
		last = oldest
	}
	return last.Add(cost)
}

// beginStep admits waiting sequences and returns the duration of the step.
func (e *Engine) beginStep(crashSignal chan struct{}) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.loopActive(crashSignal) {
		return 0, false
	}
	now := time.Now()
	e.admit(now)
	e.sampleLoad(now)
	return e.stepTime(), true
}

// endStep applies the step's result to every running sequence.
func (e *Engine) endStep(crashSignal chan struct{}, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.loopActive(crashSignal) {
		return false
	}
	e.advance(now)
	e.preemptUntilFits()
	e.sampleLoad(now)
	return true
}

// loopActive reports whether the loop started with this channel continues, and
// updates looping. Loops started before a crash hold another channel and stop.
func (e *Engine) loopActive(crashSignal chan struct{}) bool {
	if crashSignal != e.crashSignal {
		return false
	}
	e.looping = e.canStep()
	return e.looping
}

func (e *Engine) stepTime() time.Duration {
	t := e.cfg.TokenTime
	t += e.cfg.BatchSlope * time.Duration(max(0, len(e.running)-1))
	t += e.cfg.PrefillPerToken * time.Duration(e.prefillDue())
	return time.Duration(float64(t) / e.speed)
}

// prefillDue returns the number of tokens that the next step prefills.
func (e *Engine) prefillDue() int {
	due := 0
	for _, s := range e.running {
		due += s.pending
	}
	return min(due, e.cfg.PrefillChunk)
}

// advance computes one step: a chunk of prefill, assigned in order of admission,
// and one token for every sequence whose prefill is complete.
func (e *Engine) advance(now time.Time) {
	budget := e.cfg.PrefillChunk
	batch := e.running
	for i := 0; i < len(batch); i++ {
		s := batch[i]
		budget -= e.prefill(s, budget)
		if s.pending > 0 {
			continue
		}
		e.emitToken(s)
		if s.produced >= s.req.tokens() {
			e.finish(s, now, EndCompleted)
			batch = e.running
			i--
		}
	}
}

// prefill computes up to budget tokens of a sequence's context.
func (e *Engine) prefill(s *sequence, budget int) int {
	n := min(s.pending, budget)
	if n == 0 {
		return 0
	}
	s.pending -= n
	s.run.Prefilled += n
	e.rec.totals.Prefilled += n
	if s.pending == 0 {
		e.cacheBlocks(s)
	}
	return n
}

// emitToken produces a sequence's next token. A resumed answer that was already
// complete has none left.
func (e *Engine) emitToken(s *sequence) {
	if s.produced >= s.req.tokens() {
		return
	}
	s.produced++
	s.run.Produced++
	e.rec.totals.Produced++
	e.reserveKV(s, 1)
	if s.produced == 1 || s.produced%e.cfg.StreamInterval == 0 {
		s.wake()
	}
}

func (e *Engine) reserveKV(s *sequence, tokens int) {
	s.kvTokens += tokens
	e.kvUsed += tokens
}
