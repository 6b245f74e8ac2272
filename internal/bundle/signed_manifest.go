package bundle

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// SignedManifest holds a manifest and its signature in one value, so that they are
// always read and written together.
type SignedManifest struct {
	// Manifest is the manifest's text, exactly the bytes that were signed.
	Manifest string `json:"manifest"`
	// Signature is the detached signature in minisign's format.
	Signature string `json:"signature"`
}

// EncodeSignedManifest encodes a manifest and its signature as one value.
func EncodeSignedManifest(src, sig []byte) []byte {
	return encode(SignedManifest{Manifest: string(src), Signature: string(sig)})
}

// DecodeSignedManifest decodes the value of EncodeSignedManifest. It doesn't verify
// the signature. The error is an ErrInvalid.
func DecodeSignedManifest(value []byte) (SignedManifest, error) {
	var s SignedManifest
	if err := json.Unmarshal(value, &s); err != nil {
		return SignedManifest{}, errors.Wrapf(ErrInvalid, "signed manifest: %s", err)
	}
	if s.Manifest == "" || s.Signature == "" {
		return SignedManifest{}, errors.Wrap(ErrInvalid, "signed manifest: manifest and signature must both be set")
	}
	return s, nil
}
