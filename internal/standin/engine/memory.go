package engine

import "time"

// admit moves waiting sequences into free slots. With priority scheduling it
// preempts running sequences of lower priority.
func (e *Engine) admit(now time.Time) {
	for {
		s := e.waiting.first()
		if s == nil {
			return
		}
		if e.hasCapacity(s) {
			e.start(e.waiting.pop(), now)
			continue
		}
		if !e.preemptFor(s) {
			return
		}
	}
}

// hasCapacity reports whether a slot and enough KV memory are free for the
// sequence.
func (e *Engine) hasCapacity(s *sequence) bool {
	if len(e.running) == 0 {
		return true
	}
	return len(e.running) < e.cfg.Slots && e.kvUsed+s.contextTokens() < e.cfg.KVTokens
}

// preemptFor preempts one running sequence of lower priority, if preempting
// only such sequences can free enough capacity.
func (e *Engine) preemptFor(s *sequence) bool {
	if !e.cfg.Priorities || !e.preemptionSuffices(s) {
		return false
	}
	e.preempt(e.lastInOrder())
	return true
}

// preemptionSuffices reports whether preempting all running sequences of lower
// priority would free a slot and the KV memory that the sequence needs.
func (e *Engine) preemptionSuffices(s *sequence) bool {
	slots := e.cfg.Slots - len(e.running)
	memory := e.cfg.KVTokens - e.kvUsed
	for _, other := range e.running {
		if other.req.priority > s.req.priority {
			slots++
			memory += other.kvTokens
		}
	}
	return slots > 0 && memory > s.contextTokens()
}

// lastInOrder returns the running sequence that is last in serving order.
func (e *Engine) lastInOrder() *sequence {
	last := e.running[0]
	for _, s := range e.running[1:] {
		if servedBefore(e.cfg.Priorities, last, s) {
			last = s
		}
	}
	return last
}

// preempt returns a running sequence to the queue. It resumes later from the
// same token, after the parts of its context that are no longer cached are
// recomputed.
func (e *Engine) preempt(s *sequence) {
	s.run.Preemptions++
	e.rec.totals.Preemptions++
	e.releaseSlot(s)
	e.waiting.push(s)
}

// preemptUntilFits preempts sequences until the running ones fit into KV memory.
func (e *Engine) preemptUntilFits() {
	for e.kvUsed > e.cfg.KVTokens && len(e.running) > 1 {
		e.preempt(e.lastInOrder())
	}
}

// start assigns a slot to a sequence.
func (e *Engine) start(s *sequence, now time.Time) {
	e.running = append(e.running, s)
	if s.run == nil {
		s.run = newRun(s.req, now)
		e.rec.start(s.run)
	}
	tokens := s.contextTokens()
	e.reserveKV(s, tokens)
	s.cached = min(e.reusableTokens(s), tokens-1) // the last token is always computed
	s.pending = tokens - s.cached
}

func newRun(req *request, now time.Time) *Run {
	return &Run{
		RequestID:      req.id,
		IdempotencyKey: req.idemKey,
		Model:          req.model,
		Priority:       req.priority,
		Start:          now,
		ResumedTokens:  req.resumeAt.tokens,
	}
}

// reusableTokens returns the number of tokens of the sequence's context that are
// cached or imported.
func (e *Engine) reusableTokens(s *sequence) int {
	if e.prefix == nil && e.imports.Len() == 0 {
		return 0
	}
	blocks := e.contextBlocks(s)
	cached := e.prefix.match(blocks) * BlockTokens
	return max(cached, e.consumeImport(s, blocks))
}

// contextBlocks returns the block hashes of the sequence's context, including
// the produced tokens.
func (e *Engine) contextBlocks(s *sequence) []uint64 {
	return BlockHashes(s.req.model, s.text())
}

// releaseSlot removes a sequence from its slot and stores its blocks in the
// prefix cache.
func (e *Engine) releaseSlot(s *sequence) {
	for i, other := range e.running {
		if other == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	e.kvUsed -= s.kvTokens
	s.kvTokens = 0
	e.cacheBlocks(s)
}

// cacheBlocks stores the computed blocks of a sequence in the prefix cache.
func (e *Engine) cacheBlocks(s *sequence) {
	if e.prefix == nil {
		return
	}
	blocks := e.contextBlocks(s)
	computed := (s.contextTokens() - s.pending) / BlockTokens
	change := e.prefix.add(blocks[:min(len(blocks), computed)])
	now := time.Now()
	e.events.add(now, EventRemoved, change.removed)
	e.events.add(now, EventStored, change.stored)
}
