package rollout

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coveferry/internal/bundle"
)

// maxManifestHistory is how many versions a store remembers in order to compute
// deltas.
const maxManifestHistory = 8

// ActiveVersion is an active version. It is immutable.
type ActiveVersion struct {
	Snapshot *bundle.Snapshot
	Summary  Summary
	// AcceptedAt is when this process accepted it.
	AcceptedAt time.Time

	signed   signedForm
	sections []bundle.Digest
}

// signedForm is the signed form of a version, by which others verify it; one
// field is set.
type signedForm struct {
	manifest *bundle.SignedManifest
	file     *BundleFile
}

// manifestRecord is a manifest that was active.
type manifestRecord struct {
	digest   bundle.Digest
	text     string // empty if the version came as a bundle file
	sections []bundle.Digest
}

// Store verifies versions and keeps the active one and its sections. It is safe
// for concurrent use.
type Store struct {
	keys []bundle.PublicKey
	// onActivate is called for each activated version, in the order of
	// versions.
	onActivate func(*ActiveVersion)

	acceptMu sync.Mutex // serializes versions; held while one is decoded
	active   atomic.Pointer[ActiveVersion]

	mu       sync.Mutex
	sections map[bundle.Digest][]byte
	history  []manifestRecord // oldest first
	// updateCache holds updates to the active version, by the version that the
	// peer has.
	updateCache map[Summary]Update
}

// NewStore returns an empty store that trusts the keys.
func NewStore(keys []bundle.PublicKey, onActivate func(*ActiveVersion)) *Store {
	return &Store{keys: keys, onActivate: onActivate, sections: make(map[bundle.Digest][]byte), updateCache: make(map[Summary]Update)}
}

// Active returns the active version, or nil.
func (s *Store) Active() *ActiveVersion { return s.active.Load() }

func (s *Store) snapshot() *bundle.Snapshot {
	if h := s.active.Load(); h != nil {
		return h.Snapshot
	}
	return nil
}

// Summary identifies the active version.
func (s *Store) Summary() Summary {
	if h := s.active.Load(); h != nil {
		return h.Summary
	}
	return Summary{}
}

// VerifiedManifest is a signed manifest that was verified and may follow the
// active version.
type VerifiedManifest struct {
	// Missing lists the sections that the store lacks.
	Missing []bundle.Digest

	signed   bundle.SignedManifest
	manifest *bundle.Manifest
}

// Verify verifies a signed manifest. It returns the errors of
// bundle.AcceptManifest.
func (s *Store) Verify(now time.Time, signed bundle.SignedManifest) (*VerifiedManifest, error) {
	m, err := bundle.AcceptManifest(now, s.snapshot(), []byte(signed.Manifest), []byte(signed.Signature), s.keys)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	missing := bundle.MissingSections(func(d bundle.Digest) bool { return s.sections[d] != nil }, m)
	return &VerifiedManifest{Missing: missing, signed: signed, manifest: m}, nil
}

// Accept activates a version whose sections are in the store or given. On an
// error, which is one of bundle.AcceptSections, nothing changes.
func (s *Store) Accept(now time.Time, v *VerifiedManifest, given [][]byte) error {
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	if s.Summary().Digest == v.manifest.Digest() {
		return nil
	}
	current := s.snapshot()
	parts := s.withSections(given)
	next, err := bundle.AcceptSections(now, current, []byte(v.signed.Manifest), []byte(v.signed.Signature), s.keys, parts)
	if err != nil || next == current {
		return err
	}
	s.activate(now, next, v.manifest, signedForm{manifest: &v.signed}, parts)
	return nil
}

// AcceptFile activates a signed bundle file; it returns the errors of
// bundle.Accept.
func (s *Store) AcceptFile(now time.Time, file BundleFile) error {
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	current := s.snapshot()
	next, err := bundle.Accept(now, current, []byte(file.Source), []byte(file.Signature), s.keys)
	if err != nil || next == current {
		return err
	}
	m, parts := bundle.Split(next.Bundle())
	s.activate(now, next, &m, signedForm{file: &file}, s.withSections(slices.Collect(maps.Values(parts))))
	return nil
}

// withSections returns the sections of the store and those given, by their
// computed digests; a section with altered content is thus not found.
func (s *Store) withSections(given [][]byte) map[bundle.Digest][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := make(map[bundle.Digest][]byte, len(s.sections)+len(given))
	for d, text := range s.sections {
		parts[d] = text
	}
	for _, text := range given {
		parts[bundle.DigestOf(text)] = text
	}
	return parts
}

// activate swaps the version in. The caller holds s.acceptMu.
func (s *Store) activate(now time.Time, next *bundle.Snapshot, m *bundle.Manifest, form signedForm, parts map[bundle.Digest][]byte) {
	h := &ActiveVersion{
		Snapshot:   next,
		Summary:    Summary{Version: next.Version(), Digest: m.Digest()},
		AcceptedAt: now,
		signed:     form,
		sections:   m.Sections,
	}
	s.updateHistory(h, parts)
	s.active.Store(h)
	s.onActivate(h)
}

// updateHistory keeps the new manifest and its sections, and removes the
// sections that no manifest of the history names.
func (s *Store) updateHistory(h *ActiveVersion, parts map[bundle.Digest][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := manifestRecord{digest: h.Summary.Digest, sections: h.sections}
	if h.signed.manifest != nil {
		k.text = h.signed.manifest.Manifest
	}
	clear(s.updateCache)
	s.history = append(s.history, k)
	if len(s.history) > maxManifestHistory {
		s.history = slices.Delete(s.history, 0, 1)
	}
	wanted := make(map[bundle.Digest][]byte)
	for _, k := range s.history {
		for _, d := range k.sections {
			if text := parts[d]; text != nil {
				wanted[d] = text
			}
		}
	}
	s.sections = wanted
}

// Sections returns the requested sections that the store has, as many as fit
// into a message.
func (s *Store) Sections(digests []bundle.Digest) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selectSections(digests)
}

func (s *Store) selectSections(digests []bundle.Digest) []string {
	var out []string
	size := 0
	for _, d := range digests {
		text := s.sections[d]
		if text == nil {
			continue
		}
		if size += len(text); size > inlineBytes && len(out) > 0 {
			break
		}
		out = append(out, string(text))
	}
	return out
}

// UpdateSince returns the active version for a peer that has base, and false if
// there is no active version.
func (s *Store) UpdateSince(base Summary) (Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.active.Load()
	if h == nil {
		return Update{}, false
	}
	if h.signed.file != nil {
		return Update{Summary: h.Summary, Whole: h.signed.file}, true
	}
	if cached, ok := s.updateCache[base]; ok && cached.Summary == h.Summary {
		return cached, true
	}
	signed := h.signed.manifest
	out := Update{Summary: h.Summary, Manifest: &ManifestText{Text: signed.Manifest, Signature: signed.Signature}}
	known, ok := s.findRecordLocked(base.Digest)
	switch {
	case ok:
		out.Sections = s.selectSections(subtract(h.sections, known.sections))
	case base.Version == 0:
		out.Sections = s.selectSections(h.sections)
	}
	if ok && known.text != "" {
		out.Manifest.Delta = packManifest([]byte(known.text), []byte(signed.Manifest))
		out.Manifest.Base, out.Manifest.Text = known.digest, ""
	}
	if len(s.updateCache) < maxManifestHistory { // bounds the cache, as peers may claim to have any version
		s.updateCache[base] = out
	}
	return out, true
}

// subtract returns the digests that aren't among the known ones.
func subtract(digests, known []bundle.Digest) []bundle.Digest {
	return slices.DeleteFunc(slices.Clone(digests), func(d bundle.Digest) bool { return slices.Contains(known, d) })
}

func (s *Store) findRecordLocked(digest bundle.Digest) (manifestRecord, bool) {
	for _, k := range s.history {
		if k.digest == digest {
			return k, true
		}
	}
	return manifestRecord{}, false
}

// Unpack returns the signed manifest of an update.
func (s *Store) Unpack(m *ManifestText) (bundle.SignedManifest, error) {
	out := bundle.SignedManifest{Manifest: m.Text, Signature: m.Signature}
	if m.Delta == nil {
		return out, nil
	}
	s.mu.Lock()
	base, ok := s.findRecordLocked(m.Base)
	s.mu.Unlock()
	if !ok || base.text == "" {
		return out, errUnknownBase
	}
	text, err := unpackManifest([]byte(base.text), m.Delta)
	out.Manifest = string(text)
	return out, err
}
