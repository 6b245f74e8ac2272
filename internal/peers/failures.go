package peers

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"coveferry/internal/balance"
)

const (
	// maxFailures bounds the endpoints in one word on failures.
	maxFailures = 32
	// failuresFor is how long a router's word on failures counts: it tells them
	// with each question to its reader.
	failuresFor = time.Second
)

// Failures is what a router knows of failing endpoints. See balance.Pool.
type Failures interface {
	FailureWords(now time.Time, most int) []balance.FailureWord
	HearFailures(now time.Time, words []balance.FailureWord) []balance.FailureWord
}

// failures are what routers tell each other of attempts that failed. It is safe
// for concurrent use.
type failures struct {
	known atomic.Pointer[Failures]
	// mine is what this router saw itself.
	mine lately[[]balance.FailureWord]
	mu   sync.Mutex
	by   map[string]saidFailures // by the router that said it
}

type saidFailures struct {
	words []balance.FailureWord
	at    time.Time
}

// ShareFailures has this router tell others where its attempts fail, and hear where
// theirs do.
func (s *Source) ShareFailures(known Failures) { s.failures.known.Store(&known) }

// own lists what this router saw itself.
func (f *failures) own(now time.Time) []balance.FailureWord {
	known := f.known.Load()
	if known == nil {
		return nil
	}
	words, _ := f.mine.get(now, func() []balance.FailureWord { return (*known).FailureWords(now, maxFailures) })
	return words
}

// said notes what a router said.
func (f *failures) said(vm string, words []balance.FailureWord, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.by == nil {
		f.by = make(map[string]saidFailures)
	}
	f.by[vm] = saidFailures{words: words, at: at}
}

// of adds up what this router and others saw lately, but for one of them.
func (f *failures) of(now time.Time, but string) []balance.FailureWord {
	return f.addUp(f.own(now), now, but)
}

// addUp adds these words and those that routers said lately, but for one of them.
func (f *failures) addUp(own []balance.FailureWord, now time.Time, but string) []balance.FailureWord {
	sum := make(map[string]balance.FailureWord)
	add := func(words []balance.FailureWord) {
		for _, w := range words {
			so := sum[w.Endpoint].Plus(w)
			so.Endpoint = w.Endpoint
			sum[w.Endpoint] = so
		}
	}
	add(own)
	f.mu.Lock()
	defer f.mu.Unlock()
	for vm, said := range f.by {
		switch {
		case now.Sub(said.at) > failuresFor:
			delete(f.by, vm)
		case vm != but:
			add(said.words)
		}
	}
	var words []balance.FailureWord
	for _, w := range sum {
		words = append(words, w)
	}
	slices.SortFunc(words, func(a, b balance.FailureWord) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return words
}

// takeFailures has this router's pool judge by what others saw. Where they saw
// nothing it can't find anything either: one witness doesn't suffice.
func (s *Source) takeFailures(now time.Time, words []balance.FailureWord) {
	known := s.failures.known.Load()
	if known == nil || len(words) == 0 {
		return
	}
	for _, w := range (*known).HearFailures(now, words) {
		s.cfg.Log.Info().Str("endpoint", w.Endpoint).Int("attempts", w.Attempts).Int("failed", w.Failed).
			Int("witnesses", w.Witnesses).Msg("endpoint is avoided: it fails for several routers")
	}
}
