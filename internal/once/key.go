package once

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Limits on keys sent by callers.
const (
	MaxKeyBytes = 256
	// uuidBytes is the length of a UUID in its standard text form.
	uuidBytes   = 36
	uuidVersion = 7
)

// Errors of ParseKey, for callers to translate.
var (
	// ErrKeyTooLong means that the key is longer than MaxKeyBytes.
	ErrKeyTooLong = errors.New("the idempotency key is too long")
	// ErrBadKeyTime means that the issue time is malformed or contradicts the one in the key.
	ErrBadKeyTime = errors.New("the idempotency key's time of issue is not valid")
)

// Key is an idempotency key with its issue time.
type Key struct {
	Text string
	// Issued has millisecond resolution. It is zero if the issue time is unknown; such a key
	// can't guarantee at most one run.
	Issued time.Time
}

// ParseKey parses a key and its separately sent issue time, in RFC 3339 format. If issued is
// empty, the time is taken from the key, which must be a version 7 UUID to have one. Errors are
// marked ErrKeyTooLong or ErrBadKeyTime.
func ParseKey(text, issued string) (Key, error) {
	if len(text) > MaxKeyBytes {
		return Key{}, errors.Mark(errors.Newf("the key has %d bytes, at most %d are allowed", len(text), MaxKeyBytes), ErrKeyTooLong)
	}
	inner, inKey := uuidTime(text)
	if issued == "" {
		return Key{Text: text, Issued: inner}, nil
	}
	outer, err := time.Parse(time.RFC3339, issued)
	if err != nil {
		return Key{}, errors.Mark(fmt.Errorf("%q is not a time in the form of RFC 3339", issued), ErrBadKeyTime)
	}
	outer = outer.UTC().Truncate(time.Millisecond)
	if inKey && !outer.Equal(inner) {
		return Key{}, errors.Mark(errors.Newf("%s contradicts the key's own time, %s", issued, inner.Format(time.RFC3339Nano)), ErrBadKeyTime)
	}
	return Key{Text: text, Issued: outer}, nil
}

// uuidTime returns the timestamp of a version 7 UUID in standard text form.
func uuidTime(text string) (time.Time, bool) {
	if len(text) != uuidBytes {
		return time.Time{}, false
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidVersion || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	return time.UnixMilli(uuidMillis(id)).UTC(), true
}

// uuidMillis returns the first 48 bits of the UUID: milliseconds since 1970.
func uuidMillis(id uuid.UUID) int64 {
	millis := int64(0)
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return millis
}
