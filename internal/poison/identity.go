// Package poison detects poison messages: requests that crash each endpoint that runs
// them. Every further attempt at such a request costs an endpoint and all other requests
// that run there. The package does no I/O, and the caller supplies the clock.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
)

// Identity identifies a request by its content, across retries and routers. All routers
// compute the same identity. It is part of a cryptographic hash, so that no team can
// construct a request with the identity of another one.
type Identity uint64

// String returns the identity as it appears in logs.
func (id Identity) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// Content is what identifies a request. Request IDs that callers generate for each attempt
// are not part of it.
type Content struct {
	Team   string
	Method string
	Host   string
	// Target is the path with the query, or its equivalent.
	Target string
	Body   []byte
}

// Identify returns the identity of a request. It takes about 30 us for 50 KB.
func Identify(c Content) Identity {
	h := sha256.New()
	for _, part := range []string{c.Team, c.Method, c.Host, c.Target} {
		writePart(h, []byte(part))
	}
	writePart(h, c.Body)
	var sum [sha256.Size]byte
	return Identity(binary.BigEndian.Uint64(h.Sum(sum[:0])))
}

// writePart adds a part preceded by its length, so that different contents can't produce
// the same byte sequence.
func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	for _, b := range [][]byte{length[:], part} {
		_, _ = io.Writer(h).Write(b) // Write of a hash never fails
	}
}
