package bundle

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/cockroachdb/errors"
)

// Digest is the SHA-256 digest of a section's bytes. It identifies the section.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a section.
func DigestOf(section []byte) Digest { return sha256.Sum256(section) }

// String returns the digest in URL-safe base64, which is valid in a file name.
func (d Digest) String() string { return base64.RawURLEncoding.EncodeToString(d[:]) }

// MarshalText returns the same text as String.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses the form that MarshalText returns.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(string(text))
	if err != nil || len(raw) != len(d) {
		return errors.Newf("%q is not a digest; write the 43 characters of a SHA-256 digest in URL-safe base 64", text)
	}
	copy(d[:], raw)
	return nil
}
