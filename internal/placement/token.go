package placement

import "time"

// counterBits allows 1,024 orders per millisecond since the agent's start, far
// more than an agent sends. For 270 years the tokens stay below 2^53, up to
// which every JSON reader represents integers exactly.
const counterBits = 10

// TokenSource yields fencing tokens: the agent's start in milliseconds, then a
// counter. They increase within an incarnation. An agent that started later has
// higher ones, unless the VM's clock was set back in between.
type TokenSource struct{ last uint64 }

// NewTokenSource returns the token source of an agent that started at the given
// time.
func NewTokenSource(start time.Time) TokenSource {
	return TokenSource{last: uint64(start.UnixMilli()) << counterBits}
}

// Next returns a token higher than all previous ones.
func (s *TokenSource) Next() uint64 {
	s.last++
	return s.last
}
