package rollout

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// maxManifestBytes limits the size of a manifest; that of 3,700 endpoints has
// 10,000 bytes.
const maxManifestBytes = 1 << 20

// packManifest compresses a manifest with its predecessor as the dictionary:
// successive manifests differ in a few digests.
func packManifest(base, text []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriterDict(&out, flate.BestCompression, base)
	if err != nil {
		panic(err) // the compression level is a valid constant
	}
	_, _ = w.Write(text) // writes to a buffer don't fail
	_ = w.Close()
	return out.Bytes()
}

// unpackManifest reverses packManifest.
func unpackManifest(base, packed []byte) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(packed), base)
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, maxManifestBytes+1))
	if err != nil {
		return nil, errors.Wrapf(ErrBadMessage, "unpack manifest: %s", err)
	}
	if len(text) > maxManifestBytes {
		return nil, errors.Wrapf(ErrBadMessage, "manifest of more than %d bytes", maxManifestBytes)
	}
	return text, nil
}
