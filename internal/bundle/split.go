package bundle

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxChunkItems is the largest number of items in one section. A change transfers the
// manifest, which is smaller with larger chunks, and one chunk. At 3,700 endpoints the
// mean of the sum is nearly the same from 32 to 96, and the worst case is smallest at
// 32; BenchmarkOneChangedEndpoint measures a single change.
const maxChunkItems = 32

// hashBits is the length of the hash that distributes items over chunks.
const hashBits = 64

// Split returns the manifest and the sections of a bundle. The sections depend on the
// content alone: adding, removing or changing an item changes one section, or two if a
// chunk is split or two chunks are merged.
func Split(b *Bundle) (Manifest, map[Digest][]byte) {
	h := b.header()
	s := splitter{
		manifest: Manifest{Format: h.Format, Version: h.Version, Issued: h.Issued, Expires: h.Expires, Sections: []Digest{}},
		sections: make(map[Digest][]byte),
	}
	s.add(sectionContent{Limits: &b.Limits})
	s.add(sectionContent{Tiers: b.Tiers})
	s.add(sectionContent{Classes: b.Classes})
	s.add(sectionContent{Models: b.Models})
	s.add(sectionContent{Services: b.Services})
	for _, teams := range chunks(b.Teams, func(t *Team) string { return t.Name }) {
		s.add(sectionContent{Teams: teams})
	}
	for _, endpoints := range chunks(b.Endpoints, func(e *Endpoint) string { return e.Name }) {
		s.add(sectionContent{Endpoints: endpoints})
	}
	for _, routes := range chunks(b.Routes, func(r *Route) string { return r.Name }) {
		s.add(sectionContent{Routes: routes})
	}
	for _, routers := range chunks(b.Routers, func(r *Router) string { return r.Name }) {
		s.add(sectionContent{Routers: routers})
	}
	return s.manifest, s.sections
}

type splitter struct {
	manifest Manifest
	sections map[Digest][]byte
}

// add adds a section, unless the content is empty.
func (s *splitter) add(content sectionContent) {
	text := encode(content)
	if string(text) == "{}" {
		return
	}
	d := DigestOf(text)
	s.sections[d] = text
	s.manifest.Sections = append(s.manifest.Sections, d)
}

// chunks distributes items over lists of at most maxChunkItems by the hash of their
// names.
func chunks[T any](items []T, name func(*T) string) [][]T {
	hashed := make([]hashedItem[T], len(items))
	for i := range items {
		n := name(&items[i])
		hashed[i] = hashedItem[T]{hash: xxhash.Sum64String(n), name: n, item: items[i]}
	}
	slices.SortFunc(hashed, func(a, b hashedItem[T]) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	return splitByHash(hashed, 0)
}

type hashedItem[T any] struct {
	hash uint64
	name string
	item T
}

// splitByHash divides a list sorted by hash, bit by bit, until each part has at most
// maxChunkItems items. Unlike hashing into a number of buckets that depends on the
// number of items, an overflow changes only one chunk.
func splitByHash[T any](sorted []hashedItem[T], bit int) [][]T {
	if len(sorted) == 0 {
		return nil
	}
	if len(sorted) <= maxChunkItems || bit == hashBits {
		return [][]T{itemsOf(sorted)}
	}
	mask := uint64(1) << (hashBits - 1 - bit)
	at := slices.IndexFunc(sorted, func(h hashedItem[T]) bool { return h.hash&mask != 0 })
	if at < 0 {
		at = len(sorted)
	}
	return append(splitByHash(sorted[:at], bit+1), splitByHash(sorted[at:], bit+1)...)
}

func itemsOf[T any](sorted []hashedItem[T]) []T {
	out := make([]T, len(sorted))
	for i := range sorted {
		out[i] = sorted[i].item
	}
	return out
}
