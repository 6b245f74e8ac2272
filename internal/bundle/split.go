package bundle

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxChunk is the most teams or endpoints in one section. A change moves the
// manifest, which shrinks as chunks grow, and one chunk. At 3,700 endpoints the
// mean of the sum is nearly the same from 32 to 96, and its worst case smallest
// at 32; BenchmarkOneChangedEndpoint shows a single change.
const maxChunk = 32

// hashBits is the length of the hash that spreads things over chunks.
const hashBits = 64

// Split takes a bundle apart. The sections depend on the content alone: a
// thing that is added, removed or changed touches one section, or two where a
// chunk overflows or two are joined.
func Split(b *Bundle) (Manifest, map[Digest][]byte) {
	h := b.head()
	s := splitter{
		manifest: Manifest{Format: h.Format, Version: h.Version, Issued: h.Issued, Expires: h.Expires, Sections: []Digest{}},
		sections: make(map[Digest][]byte),
	}
	s.add(fragment{Limits: &b.Limits})
	s.add(fragment{Tiers: b.Tiers})
	s.add(fragment{Classes: b.Classes})
	s.add(fragment{Models: b.Models})
	s.add(fragment{Services: b.Services})
	for _, teams := range chunks(b.Teams, func(t *Team) string { return t.Name }) {
		s.add(fragment{Teams: teams})
	}
	for _, endpoints := range chunks(b.Endpoints, func(e *Endpoint) string { return e.Name }) {
		s.add(fragment{Endpoints: endpoints})
	}
	for _, routes := range chunks(b.Routes, func(r *Route) string { return r.Name }) {
		s.add(fragment{Routes: routes})
	}
	for _, routers := range chunks(b.Routers, func(r *Router) string { return r.Name }) {
		s.add(fragment{Routers: routers})
	}
	return s.manifest, s.sections
}

type splitter struct {
	manifest Manifest
	sections map[Digest][]byte
}

// add makes a section; a part without entries needs none.
func (s *splitter) add(part fragment) {
	text := encode(part)
	if string(text) == "{}" {
		return
	}
	d := DigestOf(text)
	s.sections[d] = text
	s.manifest.Sections = append(s.manifest.Sections, d)
}

// chunks spreads things over lists of at most maxChunk by the hash of their names.
func chunks[T any](items []T, name func(*T) string) [][]T {
	hashed := make([]hashedItem[T], len(items))
	for i := range items {
		n := name(&items[i])
		hashed[i] = hashedItem[T]{hash: xxhash.Sum64String(n), name: n, item: items[i]}
	}
	slices.SortFunc(hashed, func(a, b hashedItem[T]) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	return halve(hashed, 0)
}

type hashedItem[T any] struct {
	hash uint64
	name string
	item T
}

// halve divides a list sorted by hash, bit by bit, until each part holds at
// most maxChunk items. Unlike hashing into a number of buckets that follows
// the number of items, an overflow touches the items of one chunk only.
func halve[T any](sorted []hashedItem[T], bit int) [][]T {
	if len(sorted) == 0 {
		return nil
	}
	if len(sorted) <= maxChunk || bit == hashBits {
		return [][]T{plain(sorted)}
	}
	mask := uint64(1) << (hashBits - 1 - bit)
	at := slices.IndexFunc(sorted, func(h hashedItem[T]) bool { return h.hash&mask != 0 })
	if at < 0 {
		at = len(sorted)
	}
	return append(halve(sorted[:at], bit+1), halve(sorted[at:], bit+1)...)
}

func plain[T any](sorted []hashedItem[T]) []T {
	out := make([]T, len(sorted))
	for i := range sorted {
		out[i] = sorted[i].item
	}
	return out
}
