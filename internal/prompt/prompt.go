// Package prompt describes the prompt of a request as far as the choice of an
// endpoint depends on it: how much there is to prefill, and which parts of it an
// endpoint may have cached.
package prompt

// Part is a part of a prompt. Requests share parts; an endpoint that has cached
// a part, and all parts before it, does not prefill them again.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is the shape of a request's prompt and answer. The zero value is a
// request without a prompt, such as one for a plain service.
type Prompt struct {
	// Parts lists the prompt's parts in their order. The last one belongs to
	// the request itself or to its session.
	Parts []Part
	// Tokens is the size of the whole prompt.
	Tokens int
	// MaxOutput is the most tokens that the answer may have, and Output how
	// many it is likely to have.
	MaxOutput int
	Output    int
}

// Home is the id of the last part that other requests share, by which requests
// that profit from the same cache are brought together; 0 if there is none.
func (p Prompt) Home() uint64 {
	switch len(p.Parts) {
	case 0:
		return 0
	case 1:
		return p.Parts[0].ID
	}
	return p.Parts[len(p.Parts)-2].ID
}

// Last is the id of the last part, which is the request's own or its session's; 0 if
// there is none.
func (p Prompt) Last() uint64 {
	if len(p.Parts) == 0 {
		return 0
	}
	return p.Parts[len(p.Parts)-1].ID
}

// Shared is the number of tokens up to the last part that others share.
func (p Prompt) Shared() int {
	n := 0
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		n += part.Tokens
	}
	return n
}

// Own is the number of tokens that no other request has brought before.
func (p Prompt) Own() int { return max(0, p.Tokens-p.Shared()) }
