package engine

import "container/heap"

// sequence is a waiting or running request. All fields except req, notify and
// crashSignal are guarded by the engine's lock.
type sequence struct {
	req     *request
	arrival uint64
	// index is the position in the waiting queue; -1 if not in it.
	index int
	run   *Run // nil until the sequence first gets a slot

	// pending is the number of tokens still to be prefilled.
	pending int
	// kvTokens is the number of KV-cache tokens that the sequence occupies.
	kvTokens int
	cached   int
	produced int
	end      End
	// notify wakes the handler after produced or end changed.
	notify chan struct{}
	// crashSignal is closed when the engine crashes.
	crashSignal <-chan struct{}
}

// contextTokens returns the number of tokens that must be in the KV cache before
// the next one is decoded.
func (s *sequence) contextTokens() int {
	return s.req.contextTokens() + s.produced
}

// text returns the context followed by the produced tokens.
func (s *sequence) text() string {
	text := []byte(s.req.context())
	for i := range s.produced {
		text = s.req.token(text, i)
	}
	return string(text)
}

func (s *sequence) wake() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// bytesPerToken is the number of prompt bytes counted as one token.
const bytesPerToken = 4

func promptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// waitQueue orders waiting sequences; it implements heap.Interface.
type waitQueue struct {
	seqs       []*sequence
	priorities bool
}

// servedBefore reports whether a is served before b.
func servedBefore(priorities bool, a, b *sequence) bool {
	if priorities && a.req.priority != b.req.priority {
		return a.req.priority < b.req.priority
	}
	return a.arrival < b.arrival
}

func (q *waitQueue) push(s *sequence) { heap.Push(q, s) }

func (q *waitQueue) pop() *sequence { return heap.Pop(q).(*sequence) }

func (q *waitQueue) remove(s *sequence) { heap.Remove(q, s.index) }

func (q *waitQueue) first() *sequence {
	if len(q.seqs) == 0 {
		return nil
	}
	return q.seqs[0]
}

// Len implements heap.Interface.
func (q *waitQueue) Len() int { return len(q.seqs) }

// Less implements heap.Interface.
func (q *waitQueue) Less(i, j int) bool { return servedBefore(q.priorities, q.seqs[i], q.seqs[j]) }

// Swap implements heap.Interface.
func (q *waitQueue) Swap(i, j int) {
	q.seqs[i], q.seqs[j] = q.seqs[j], q.seqs[i]
	q.seqs[i].index, q.seqs[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	s := x.(*sequence)
	s.index = len(q.seqs)
	q.seqs = append(q.seqs, s)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	last := len(q.seqs) - 1
	s := q.seqs[last]
	q.seqs[last] = nil
	q.seqs = q.seqs[:last]
	s.index = -1
	return s
}
