// Package poison detects poison messages: requests that crash each endpoint that runs
// them. Every further attempt at such a request costs an endpoint and all other requests
// that run there. Poison messages are recognized by their content, or by a part of their
// prompts that they have in common. The package does no I/O, and the caller supplies the
// clock.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Identity identifies a request by its content, or the requests that share a part of their
// prompts, across retries and routers. All routers compute the same identity. That of a
// content is part of a cryptographic hash, so that no team can construct a request with
// another one's content identity; parts are shared between teams anyway.
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

// Request is what the table needs to know of a request.
type Request struct {
	Service string
	Content Identity
	// Parts lists the IDs of the prompt's parts that other requests may share, of any team.
	Parts []uint64
}

// maxPartsPerRequest limits the parts of one request that are recorded.
const maxPartsPerRequest = 32

// suspect is something that poison messages may have in common.
type suspect struct {
	identity Identity
	// part is the ID of the part of prompts; 0 for a request's whole content.
	part uint64
}

// suspects returns what the request may have in common with others, its content first.
func (r Request) suspects() []suspect {
	all := append(make([]suspect, 0, 1+len(r.Parts)), suspect{identity: r.Content})
	for _, part := range r.Parts[:min(len(r.Parts), maxPartsPerRequest)] {
		s := suspect{identity: identifyPart(r.Service, part), part: part}
		if part != 0 && !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

// identifyPart returns the identity of the requests to a service that share a part. Another
// service may run another model, which the part needn't crash.
func identifyPart(service string, part uint64) Identity {
	d := xxhash.New()
	_, _ = d.WriteString(service) // never fails
	var id [8]byte
	binary.BigEndian.PutUint64(id[:], part)
	_, _ = d.Write(id[:])
	return Identity(d.Sum64())
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
