// Package prompt describes the properties of a prompt that affect endpoint selection: the size
// of its prefill and the parts that endpoints may have cached.
package prompt

import "strconv"

// Part is a part of a prompt, possibly shared by several requests. An endpoint that has cached
// a part and all parts before it doesn't prefill them again.
type Part struct {
	ID     uint64
	Tokens int
}

// String returns the part as it appears in logs.
func (p Part) String() string { return FormatID(p.ID) + ":" + strconv.Itoa(p.Tokens) }

// FormatID returns a part's ID as it appears in logs and errors.
func FormatID(id uint64) string { return strconv.FormatUint(id, 16) }

// Prompt describes a request's prompt and answer. The zero value is a request without a prompt,
// such as one for a plain service.
type Prompt struct {
	// Parts lists the prompt's parts in order. The last one belongs to the request itself or to
	// its session.
	Parts []Part
	// Tokens is the size of the whole prompt.
	Tokens int
	// MaxOutput is the maximum number of tokens in the answer, ExpectedOutput the expected
	// number.
	MaxOutput      int
	ExpectedOutput int
}

// SharedPrefixID returns the ID of the last part that other requests share; with a single part,
// that part's ID, and 0 without parts. Requests with the same ID benefit from the same cache
// and are routed together.
func (p Prompt) SharedPrefixID() uint64 {
	switch len(p.Parts) {
	case 0:
		return 0
	case 1:
		return p.Parts[0].ID
	}
	return p.Parts[len(p.Parts)-2].ID
}

// LastPartID returns the ID of the last part, which belongs to the request itself or to its
// session; 0 if there is none.
func (p Prompt) LastPartID() uint64 {
	if len(p.Parts) == 0 {
		return 0
	}
	return p.Parts[len(p.Parts)-1].ID
}

// SharedParts returns the parts that other requests may share: all but the last.
func (p Prompt) SharedParts() []Part { return p.Parts[:max(0, len(p.Parts)-1)] }

// SharedTokens returns the number of tokens in all parts but the last.
func (p Prompt) SharedTokens() int {
	n := 0
	for _, part := range p.SharedParts() {
		n += part.Tokens
	}
	return n
}

// UnsharedTokens returns the number of tokens that no other request shares.
func (p Prompt) UnsharedTokens() int { return max(0, p.Tokens-p.SharedTokens()) }
