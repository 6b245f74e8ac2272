package balance

import (
	"sync"
	"time"

	"coveferry/internal/prompt"
)

// Work is what a request asks of its endpoint.
type Work struct {
	Service string // of a routed request
	Tier    int    // rank, as in Request
	Prompt  prompt.Prompt
	// Tight says that the stream is late if long prompts delay it.
	Tight bool
	// MaxGap and Stride are as in Request.
	MaxGap time.Duration
	Stride int
	// Objective is the time to the first event of an answer that is on time; 0 if
	// any will do.
	Objective time.Duration
}

// Account is a request's place in what the pool knows of its endpoint. Each of
// its methods counts once.
type Account struct {
	pool     *Pool
	endpoint string
	// state is that of the process to which the request was sent. What comes of it later
	// isn't held against another one that has followed under the endpoint's name.
	state   *state
	tier    int
	tokens  int
	tight   bool
	sent    time.Time
	service string
	gap     time.Duration
	goal    time.Duration // to the first event
	// alone says that the prompt's time to the first token tells of its reading: this
	// router knows what was cached, and sent nothing that is read before.
	alone bool
	pace  pace
	begun time.Time // zero before the first event
	// engines is what is known of the endpoint's peers; nil if it wasn't chosen, is cold or
	// names a limit.
	engines *engineSpeeds
	// limited says that the endpoint named a limit when the request was sent. One in need is
	// slow and fails requests, which tells nothing of how it serves what it can take.
	limited bool
	read    sync.Once
	ended   sync.Once
}

// SentWork is Sent for a request whose work is known.
func (p *Pool) SentWork(now time.Time, endpoint string, w Work) *Account {
	a := &Account{
		pool: p, endpoint: endpoint, tier: min(w.Tier, maxRanks-1), tight: w.Tight,
		sent: now, service: w.Service, gap: w.MaxGap, goal: w.Objective, pace: pace{stride: float64(w.Stride)},
	}
	sh := p.shard(endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	a.begin(sh.state(endpoint), w)
	return a
}

// begin notes the request at its endpoint, whose shard is locked.
func (a *Account) begin(st *state, w Work) {
	a.state = st
	a.limited = st.bound.limit.named
	if !a.limited && !a.sent.Before(st.bound.coldUntil) {
		a.engines = st.engines // how fast one is that is cold or in need tells nothing of its peers
	}
	st.sent(a.sent)
	st.open[a.tier]++
	if w.Tight {
		st.tight++
	}
	if w.Prompt.Tokens > 0 {
		a.tokens = st.send(a.sent, w.Prompt)
		a.alone = a.tokens <= w.Prompt.Own() && st.unread() == 0
		st.prefill[a.tier] += a.tokens
	}
}

// send notes a prompt and returns how many of its tokens are to be read.
func (st *state) send(now time.Time, p prompt.Prompt) int {
	tokens := p.Tokens - st.recent.cached(now, p)
	if st.recent == nil {
		st.recent = make(recentParts)
	}
	st.recent.use(now, p)
	return tokens
}

// unread is how many tokens of prompts this router sent that aren't known to be
// read.
func (st *state) unread() int {
	tokens := 0
	for _, n := range st.prefill {
		tokens += n
	}
	return tokens
}

// Heard notes that a part of an answer came from the endpoint.
func (a *Account) Heard(now time.Time) {
	a.change(func(st *state) {
		if a.engines != nil {
			a.engines.sawQuiet(now.Sub(st.quietSince))
		}
		st.quietSince, st.heardAt = now, now
	})
}

// Event notes that an event of the answer came. It isn't safe for concurrent use.
func (a *Account) Event(now time.Time) {
	if a.begun.IsZero() {
		a.begun = now
		a.Read()
		if a.alone && a.engines != nil {
			a.engines.sawFirst(now.Sub(a.sent).Seconds(), a.tokens)
		}
	}
	perToken := a.pace.event(now)
	if perToken == 0 || a.engines == nil {
		return // nothing is learned there
	}
	a.change(func(st *state) { st.token.add(perToken, tokenQuantile) })
	a.engines.sawTokens(perToken)
}

// Read notes that the prompt has been read, or needs to be read no more.
func (a *Account) Read() {
	a.read.Do(func() {
		a.change(func(st *state) { st.prefill[a.tier] = max(0, st.prefill[a.tier]-a.tokens) })
	})
}

// Ended notes that the request takes no room at its endpoint any more.
func (a *Account) Ended() {
	a.Read()
	a.ended.Do(func() {
		a.change(func(st *state) {
			st.open[a.tier] = max(0, st.open[a.tier]-1)
			if a.tight {
				st.tight = max(0, st.tight-1)
			}
		})
		if learner, ok := a.pool.cfg.Policy.(Learner); ok && !a.begun.IsZero() && !a.limited {
			learner.Ended(a.pace.last, a.service, a.gap, a.pace.last.Sub(a.sent), a.late())
		}
	})
}

// late says whether the answer began or paused too late.
func (a *Account) late() bool {
	began := a.goal > 0 && a.begun.Sub(a.sent) > a.goal
	paused := a.gap > 0 && a.pace.longest > a.gap
	return began || paused
}

// Refused notes that the endpoint had no room for the request.
func (a *Account) Refused(now time.Time) {
	a.change(func(st *state) {
		st.refusedAt, st.refusedWith = now, st.load.TotalRunning()+st.load.TotalQueued()
	})
}

// Done notes how the request ended. Times to the first token differ by prompts, not by
// endpoints, and aren't compared.
func (a *Account) Done(now time.Time, res Result) {
	if a.limited {
		res = ResultCancelled // it says nothing of the endpoint
	}
	failing := false
	a.change(func(st *state) {
		st.done(now, res, 0, a.pool.cfg.FirstTokenShare)
		failing = res == ResultFailed && st.health.failures > a.pool.cfg.Outlier.FailureShare
	})
	a.pool.detect(now, failing)
}

func (a *Account) change(f func(*state)) {
	sh := a.pool.shard(a.endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.states[a.endpoint] == a.state {
		f(a.state)
	}
}
