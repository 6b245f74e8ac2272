package bundle

import (
	"fmt"
	"io"
	"strings"
	"time"

	"aead.dev/minisign"
	"github.com/cockroachdb/errors"
)

// PublicKey verifies bundles; its text format is minisign's.
type PublicKey = minisign.PublicKey

// PrivateKey signs bundles; its text format is minisign's.
type PrivateKey = minisign.PrivateKey

// SignatureSuffix is appended to a bundle's file name to form its signature's.
const SignatureSuffix = ".minisig"

const (
	// The trusted comment of a signature begins with a purpose, so that a signature
	// of one kind of content is not valid for another kind.
	bundlePurpose    = "coveferry bundle"
	manifestPurpose  = "coveferry manifest"
	untrustedComment = "signature of a coveferry bundle"
)

// GenerateKey generates a key pair from the given source of randomness.
func GenerateKey(random io.Reader) (PublicKey, PrivateKey, error) {
	pub, key, err := minisign.GenerateKey(random)
	return pub, key, errors.Wrap(err, "bundle: generate key")
}

// FormatKeyID returns a key ID in the format of the minisign tools.
func FormatKeyID(id uint64) string { return fmt.Sprintf("%016X", id) }

// Sign checks a bundle file and returns its detached signature. It signs the bytes
// as they are, comments included. It returns an *InvalidError for a bundle that the
// daemons would reject.
func Sign(file string, src []byte, key PrivateKey) ([]byte, error) {
	b, err := Parse(file, src)
	if err != nil {
		return nil, err
	}
	return minisign.SignWithComments(key, src, trustedComment(bundlePurpose, b.Version, b.Expires), untrustedComment), nil
}

// trustedComment returns the comment that binds a signature to the content's version
// and expiry.
func trustedComment(purpose string, version uint64, expires time.Time) string {
	return fmt.Sprintf("%s version=%d expires=%s", purpose, version, expires.UTC().Format(time.RFC3339))
}

// Verify checks that one of the keys signed exactly these bytes as a bundle. It
// doesn't check version, expiry or content, as Accept does. The error is
// ErrBadSignature, ErrUnknownKey or ErrTampered.
func Verify(keys []PublicKey, src, sig []byte) error {
	_, err := verify(keys, src, sig, bundlePurpose)
	return err
}

// verify returns the trusted comment of a valid signature.
func verify(keys []PublicKey, src, sig []byte, purpose string) (string, error) {
	var s minisign.Signature
	if err := s.UnmarshalText(sig); err != nil {
		return "", &BadSignatureError{Cause: err}
	}
	candidates := withID(keys, s.KeyID)
	if len(candidates) == 0 {
		return "", &UnknownKeyError{KeyID: s.KeyID}
	}
	if !anyVerifies(candidates, src, sig) || !strings.HasPrefix(s.TrustedComment, purpose+" ") {
		return "", ErrTampered
	}
	return s.TrustedComment, nil
}

// withID returns the keys with the given ID. Key IDs are random and not
// authenticated, so two keys may have the same ID.
func withID(keys []PublicKey, id uint64) []PublicKey {
	var out []PublicKey
	for _, k := range keys {
		if k.ID() == id {
			out = append(out, k)
		}
	}
	return out
}

func anyVerifies(keys []PublicKey, src, sig []byte) bool {
	for _, k := range keys {
		if minisign.Verify(k, src, sig) {
			return true
		}
	}
	return false
}
