package bundlecmd

import (
	"fmt"
	"os"
	"path/filepath"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
)

// Names in the directory that "sign --split" writes.
const (
	manifestFile = "manifest.json"
	// signedFile holds the manifest and its signature in one value, which the processes read.
	signedFile  = "signed-manifest.json"
	sectionsDir = "sections"
	sectionExt  = ".json"
)

const dirMode = os.FileMode(0o755)

// split writes a bundle in sections, and the signed manifest last, so that the manifest never
// refers to a missing section.
func (c *signCmd) split(env *cli.Env, src []byte, key bundle.PrivateKey) error {
	b, err := bundle.Parse(c.File, src)
	if err != nil {
		return cli.BadInput(err)
	}
	m, sections := bundle.Split(b)
	written, err := writeSections(filepath.Join(c.Split, sectionsDir), sections)
	if err != nil {
		return err
	}
	text, sig := bundle.SignManifest(&m, key)
	manifest := filepath.Join(c.Split, manifestFile)
	if err := os.WriteFile(manifest, text, publicMode); err != nil {
		return err
	}
	if err := os.WriteFile(signatureFile(manifest, ""), sig, publicMode); err != nil {
		return err
	}
	signed := filepath.Join(c.Split, signedFile)
	if err := replaceFile(signed, bundle.EncodeSignedManifest(text, sig)); err != nil {
		return err
	}
	fmt.Fprintf(env.Stdout, "wrote %s: %d sections, %d of them new\n", signed, len(sections), written)
	return nil
}

// writeSections writes the sections that the directory doesn't contain yet and returns their
// number. It removes none, since lagging processes still request old ones.
func writeSections(dir string, sections map[bundle.Digest][]byte) (written int, err error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return 0, err
	}
	for digest, text := range sections {
		name := filepath.Join(dir, digest.String()+sectionExt)
		if hasContent(name, digest) {
			continue
		}
		if err := os.WriteFile(name, text, publicMode); err != nil {
			return written, err
		}
		written++
	}
	return written, nil
}

// replaceFile replaces a file atomically.
func replaceFile(name string, content []byte) error {
	next := name + ".next"
	if err := os.WriteFile(next, content, publicMode); err != nil {
		return err
	}
	return os.Rename(next, name)
}

func hasContent(name string, digest bundle.Digest) bool {
	text, err := os.ReadFile(name)
	return err == nil && bundle.DigestOf(text) == digest
}
