package peers

import (
	"slices"
	"sync/atomic"
	"time"

	"coveferry/internal/balance"
)

const (
	// maxLoads bounds the load reports in one word: some 40 bytes each, four
	// times a second each way.
	maxLoads = 64
	// maxLoadAge is the age up to which a report is told: two questions to a
	// reader, so that each report is told once at least.
	maxLoadAge = 500 * time.Millisecond
	// loadsOnWay is how long a word takes from one router to another in its
	// failure domain, at the most that is usual.
	loadsOnWay = 2 * time.Millisecond
)

// Loads is what a router knows of the load of endpoints. See balance.Pool.
type Loads interface {
	LoadWords(now time.Time, maxAge time.Duration, most int, own bool) []balance.LoadWord
	HearLoads(said time.Time, words []balance.LoadWord)
}

// loads are the load reports that routers tell each other through their reader. A
// report that one of them received counts for all, as long as none has a newer one.
// It is safe for concurrent use.
type loads struct {
	known atomic.Pointer[Loads]
	// newest are the words of which all answers of a while are made.
	newest lately[[]balance.LoadWord]
}

// ShareLoads has this router tell others of the load reports that it receives, and
// hear of theirs.
func (s *Source) ShareLoads(known Loads) { s.loads.known.Store(&known) }

// own lists the reports that this router received itself in the last while.
func (l *loads) own(now time.Time, last time.Duration) []balance.LoadWord {
	known := l.known.Load()
	if known == nil {
		return nil
	}
	return (*known).LoadWords(now, last, maxLoads, true)
}

// all lists the newest reports that this router knows of.
func (l *loads) all(now time.Time) []balance.LoadWord {
	known := l.known.Load()
	if known == nil {
		return nil
	}
	words, age := l.newest.get(now, func() []balance.LoadWord { return (*known).LoadWords(now, maxLoadAge, maxLoads, false) })
	return older(words, age)
}

// older are the words as of so much later.
func older(words []balance.LoadWord, by time.Duration) []balance.LoadWord {
	if by.Milliseconds() == 0 {
		return words
	}
	later := slices.Clone(words)
	for i := range later {
		later[i].AgeMillis += by.Milliseconds()
	}
	return later
}

func (l *loads) hear(said time.Time, words []balance.LoadWord) {
	if known := l.known.Load(); known != nil {
		(*known).HearLoads(said, words)
	}
}
