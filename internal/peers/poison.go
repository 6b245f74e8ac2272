package peers

import (
	"sync/atomic"
	"time"

	"coveferry/internal/poison"
)

// Poison is what a router knows of requests under which endpoints end. See poison.Table.
type Poison interface {
	Tell(theirs uint64, within time.Duration) poison.Words
	Hear(said time.Time, words []poison.Word)
}

// poisonWords are what routers tell each other of such requests: with each question to a
// reader, each greeting, and the answers, so that all know within two seconds. It is safe
// for concurrent use.
type poisonWords struct {
	known atomic.Pointer[Poison]
	// theirs is the digest that a reader said last.
	theirs atomic.Uint64
}

// SharePoison has this router tell others under which requests endpoints ended, and hear
// of what they saw.
func (s *Source) SharePoison(known Poison) { s.poison.known.Store(&known) }

// ask is what is told with a question, of the news within a while.
func (p *poisonWords) ask(within time.Duration) poison.Words { return p.tell(p.theirs.Load(), within) }

// tell is what is told to a router that said this digest.
func (p *poisonWords) tell(theirs uint64, within time.Duration) poison.Words {
	known := p.known.Load()
	if known == nil {
		return poison.Words{}
	}
	return (*known).Tell(theirs, within)
}

// hear takes in what a router said at a moment.
func (p *poisonWords) hear(said time.Time, words poison.Words) {
	if known := p.known.Load(); known != nil && len(words.Words) > 0 {
		(*known).Hear(said, words.Words)
	}
}

// answered takes in the answer to a question that was sent at a moment.
func (p *poisonWords) answered(sent time.Time, words poison.Words) {
	p.theirs.Store(words.Digest)
	p.hear(sent, words)
}

// heard takes in a question of this moment, and returns what is to be told in turn.
func (p *poisonWords) heard(now time.Time, words poison.Words, within time.Duration) poison.Words {
	p.hear(now, words)
	return p.tell(words.Digest, within)
}
