package bundle

import (
	"slices"
	"time"

	"aead.dev/minisign"

	"coveferry/internal/jsonc"
)

// Manifest is a bundle's header with the digests of its sections. A signed manifest
// authenticates the whole bundle, whatever the source of the sections.
type Manifest struct {
	Format  int       `json:"format" jsonc:"required"`
	Version uint64    `json:"version" jsonc:"required"`
	Issued  time.Time `json:"issued" jsonc:"required"`
	Expires time.Time `json:"expires" jsonc:"required"`
	// Sections are the digests in the order in which the sections are joined.
	Sections []Digest `json:"sections" jsonc:"required"`
}

// Digest identifies the content of a bundle: equivalent bundles have manifests with
// the same digest, whether they were received whole or in sections.
func (m *Manifest) Digest() Digest { return DigestOf(encode(m)) }

// MissingSections returns the sections of a manifest for which have returns false.
func MissingSections(have func(Digest) bool, m *Manifest) []Digest {
	return slices.DeleteFunc(slices.Clone(m.Sections), have)
}

// SignManifest returns the bytes of a manifest and their detached signature. The
// manifest must be the result of Split for a bundle without errors.
func SignManifest(m *Manifest, key PrivateKey) (src, sig []byte) {
	src = encode(m)
	comment := trustedComment(manifestPurpose, m.Version, m.Expires)
	return src, minisign.SignWithComments(key, src, comment, untrustedComment)
}

// AcceptManifest checks the signature, version and expiry of a manifest, before its
// sections are fetched. The errors are those of Accept except ErrConflict, which is
// only detected by AcceptSections.
func AcceptManifest(now time.Time, current *Snapshot, src, sig []byte, keys []PublicKey) (*Manifest, error) {
	comment, err := verify(keys, src, sig, manifestPurpose)
	if err != nil {
		return nil, err
	}
	m, err := parseManifest(src)
	if err != nil {
		return nil, err
	}
	if comment != trustedComment(manifestPurpose, m.Version, m.Expires) {
		return nil, ErrTampered
	}
	if err := checkVersionAndExpiry(now, current, m.Version, m.Expires); err != nil {
		return nil, err
	}
	return m, nil
}

func parseManifest(src []byte) (*Manifest, error) {
	const name = "manifest"
	doc, err := jsonc.Parse(name, src)
	if err != nil {
		return nil, &InvalidError{Problems: syntaxProblems(name, err)}
	}
	var m Manifest
	if problems := doc.Decode(&m); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return &m, nil
}

// AcceptSections is Accept for a bundle that is sent in sections. It takes the signed
// manifest and its sections; those that current has may be left out. The bundle is used
// only if all of it is available, authentic and valid: besides the errors of Accept,
// the error may be a *MissingSectionError.
func AcceptSections(now time.Time, current *Snapshot, src, sig []byte, keys []PublicKey, sections map[Digest][]byte) (*Snapshot, error) {
	m, err := AcceptManifest(now, current, src, sig, keys)
	if err != nil {
		return nil, err
	}
	contents, err := decodeSections(m, sections, current.sectionContents())
	if err != nil {
		return nil, err
	}
	b, err := assemble(m, contents)
	if err != nil {
		return nil, err
	}
	next, err := acceptSuccessor(now, current, b)
	if err != nil || next == current {
		return next, err
	}
	next.contents = contents
	return next, nil
}
