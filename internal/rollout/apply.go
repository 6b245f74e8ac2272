package rollout

import (
	"slices"
	"time"

	"coveferry/internal/bundle"
)

type digest = bundle.Digest

// sectionFetcher requests sections from the sender of a manifest.
type sectionFetcher func([]digest) ([]string, error)

// applyUpdate verifies an update, fetches the sections that are missing and
// activates it. It returns the errors of Store and of the fetcher.
func (n *Node) applyUpdate(u Update, fetch sectionFetcher) error {
	if err := u.Check(); err != nil {
		return err
	}
	if u.Whole != nil {
		return n.store.AcceptFile(time.Now(), *u.Whole)
	}
	signed, err := n.store.Unpack(u.Manifest)
	if err != nil {
		return err
	}
	return n.applyManifest(signed, u.Sections, fetch)
}

func (n *Node) applyManifest(signed bundle.SignedManifest, sections []string, fetch sectionFetcher) error {
	verified, err := n.store.Verify(time.Now(), signed)
	if err != nil {
		return err
	}
	given := make([][]byte, len(sections))
	for i, text := range sections {
		given[i] = []byte(text)
	}
	given, err = fetchMissing(verified.Missing, given, fetch)
	if err != nil {
		return err
	}
	return n.store.Accept(time.Now(), verified, given)
}

// fetchMissing requests sections until none is missing. Each round must return
// at least one requested section, so that the loop ends.
func fetchMissing(missing []digest, given [][]byte, fetch sectionFetcher) ([][]byte, error) {
	missing = stillMissing(missing, given)
	for len(missing) > 0 {
		texts, err := fetch(missing[:min(len(missing), maxSections)])
		if err != nil {
			return nil, err
		}
		received := make([][]byte, len(texts))
		for i, text := range texts {
			received[i] = []byte(text)
		}
		remaining := stillMissing(missing, received)
		if len(remaining) == len(missing) {
			return nil, &bundle.MissingSectionError{Digests: missing}
		}
		missing, given = remaining, append(given, received...)
	}
	return given, nil
}

// stillMissing returns the missing digests that aren't among the given
// sections.
func stillMissing(missing []digest, given [][]byte) []digest {
	have := make(map[digest]bool, len(given))
	for _, text := range given {
		have[bundle.DigestOf(text)] = true
	}
	return slices.DeleteFunc(slices.Clone(missing), func(d digest) bool { return have[d] })
}
