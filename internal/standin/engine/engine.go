package engine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Engine is a stub engine. Its methods are safe for concurrent use.
type Engine struct {
	cfg Config

	mu      sync.Mutex
	speed   float64
	crashed bool
	hung    bool
	looping bool
	arrived uint64
	waiting waitQueue
	running []*sequence
	kvUsed  int
	rec     recorder
	load    *loadLog
	prefix  *prefixCache
	events  *eventLog
	imports *simplelru.LRU[string, kvState]
	assets  assets
	orders  []OrderRecord

	// crashSignal is closed by a crash and replaced by a restart.
	crashSignal chan struct{}
	// unpaused is closed unless the engine is paused.
	unpaused chan struct{}
	paused   bool
}

// New returns an engine that is ready to serve. An idle engine runs no
// goroutine.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:         cfg,
		speed:       cfg.Speed,
		rec:         newRecorder(cfg.RecordLimit),
		waiting:     waitQueue{priorities: cfg.Priorities},
		crashSignal: make(chan struct{}),
		unpaused:    make(chan struct{}),
		events:      newEventLog(cfg),
	}
	e.clearMemory()
	close(e.unpaused)
	return e
}

// clearMemory resets all state that a crash loses.
func (e *Engine) clearMemory() {
	e.load = newLoadLog(e.cfg.LoadLag)
	e.prefix = newPrefixCache(e.cfg.PrefixCacheTokens)
	e.assets = newAssets(e.cfg)
	// NewLRU fails only if the size isn't positive.
	e.imports, _ = simplelru.NewLRU[string, kvState](importLimit, nil)
}

// Record returns the recorded runs, in order of their start.
func (e *Engine) Record() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rec.list()
}

// Totals returns the sums over all runs.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.rec.totals
	t.Ends = maps.Clone(t.Ends)
	return t
}

// submit queues a request.
func (e *Engine) submit(req *request) (*sequence, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.validate(req); err != nil {
		return nil, err
	}
	e.arrived++
	s := &sequence{
		req:         req,
		arrival:     e.arrived,
		notify:      make(chan struct{}, 1),
		crashSignal: e.crashSignal,
	}
	e.waiting.push(s)
	e.sampleLoad(time.Now())
	e.startLoop()
	return s, nil
}

// validate rejects requests for an unknown model and prompts that exceed the
// context length.
func (e *Engine) validate(req *request) error {
	if !e.serves(req.model) {
		return notFound("The model `%s` does not exist.", req.model)
	}
	length := req.contextTokens()
	if length >= e.cfg.MaxModelLen {
		return badRequest("the prompt has %d tokens, but the model's context length is %d", length, e.cfg.MaxModelLen)
	}
	req.limit = min(req.limit, e.cfg.MaxModelLen-length)
	return nil
}

func (e *Engine) serves(model string) bool { return e.assets.serves(model) }

// cancel ends a waiting or running sequence; it does nothing to one that has
// ended.
func (e *Engine) cancel(s *sequence, end End) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishNow(s, end)
}

func (e *Engine) finishNow(s *sequence, end End) {
	now := time.Now()
	e.finish(s, now, end)
	e.sampleLoad(now)
}

// finish ends a sequence and frees its slot and KV memory.
func (e *Engine) finish(s *sequence, now time.Time, end End) {
	if s.end != EndNone {
		return
	}
	s.end = end
	if s.index >= 0 {
		e.waiting.remove(s)
	} else {
		e.releaseSlot(s)
	}
	if s.run == nil {
		e.rec.totals.NeverStarted++
	} else {
		e.rec.end(s.run, now, end)
	}
	s.wake()
}

// findRunning returns the running sequence of a request, nil if there is none.
func (e *Engine) findRunning(id string) *sequence {
	for _, s := range e.running {
		if s.req.id == id {
			return s
		}
	}
	return nil
}

// find returns all sequences of a request, running and waiting.
func (e *Engine) find(id string) []*sequence {
	var found []*sequence
	for _, s := range slices.Concat(e.running, e.waiting.seqs) {
		if s.req.id == id {
			found = append(found, s)
		}
	}
	return found
}

// Abort ends all sequences of a request and returns how many there were. Their
// answers end with the finish reason "abort".
func (e *Engine) Abort(id string, end End) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := e.find(id)
	for _, s := range found {
		e.finishNow(s, end)
	}
	return len(found)
}

// progress is how far a sequence has come, as its handler may report it.
type progress struct {
	produced int
	cached   int
	end      End
}

func (e *Engine) progress(s *sequence) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{produced: s.produced, cached: s.cached, end: s.end}
}
