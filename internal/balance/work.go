package balance

import (
	"sync"
	"time"

	"coveferry/internal/load"
	"coveferry/internal/prompt"
)

// Work is what a request asks of its endpoint.
type Work struct {
	Tier   int
	Prompt prompt.Prompt
	// Tight says that the stream is late if long prompts delay it.
	Tight bool
}

// Account is a request's place in what the pool knows of its endpoint. Each of
// its methods counts once.
type Account struct {
	pool     *Pool
	endpoint string
	tier     int
	tokens   int
	tight    bool
	read     sync.Once
	ended    sync.Once
}

// SentWork is Sent for a request whose work is known.
func (p *Pool) SentWork(now time.Time, endpoint string, w Work) *Account {
	a := &Account{pool: p, endpoint: endpoint, tier: min(w.Tier, load.MaxTiers-1), tight: w.Tight}
	a.change(func(st *state) {
		st.sent(now)
		if w.Tight {
			st.tight++
		}
		if w.Prompt.Tokens > 0 {
			a.tokens = st.send(now, w.Prompt)
			st.prefill[a.tier] += a.tokens
		}
	})
	return a
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

// Heard notes that a part of an answer came from the endpoint.
func (a *Account) Heard(now time.Time) {
	a.change(func(st *state) { st.quietSince = now })
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
		if a.tight {
			a.change(func(st *state) { st.tight = max(0, st.tight-1) })
		}
	})
}

func (a *Account) change(f func(*state)) {
	sh := a.pool.shard(a.endpoint)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f(sh.state(a.endpoint))
}
