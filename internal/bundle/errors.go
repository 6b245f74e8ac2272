package bundle

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/jsonc"
)

// The reasons for which a signed bundle is rejected, for errors.Is.
var (
	// ErrTampered means that the content or the trusted comment doesn't match the
	// signature.
	ErrTampered = errors.New("bundle: signature does not match the content")
	// ErrBadSignature means that the signature can't be parsed.
	ErrBadSignature = errors.New("bundle: malformed signature")
	// ErrUnknownKey means that the signature was made with a key that isn't trusted.
	ErrUnknownKey = errors.New("bundle: signed by an unknown key")
	// ErrExpired means that the bundle has expired and can't be accepted as new.
	ErrExpired = errors.New("bundle: expired")
	// ErrRolledBack means that a higher version was accepted before.
	ErrRolledBack = errors.New("bundle: older than the accepted version")
	// ErrConflict means that the version was accepted before with other content.
	ErrConflict = errors.New("bundle: version is already in use with other content")
	// ErrInvalid means that the content is malformed or has errors.
	ErrInvalid = errors.New("bundle: invalid")
	// ErrMissingSection means that a section of a manifest isn't available.
	ErrMissingSection = errors.New("bundle: section is missing")
	// ErrNotFound means that the bundle doesn't define the item.
	ErrNotFound = errors.New("bundle: not found")
)

// InvalidError holds all errors found in a bundle. It is an ErrInvalid.
type InvalidError struct{ Problems jsonc.Problems }

// Error returns one line for each problem.
func (e *InvalidError) Error() string { return e.Problems.Error() }

// Unwrap returns the problems as jsonc.Problems.
func (e *InvalidError) Unwrap() error { return e.Problems }

// Is reports whether target is the reason of this error.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }

// BadSignatureError reports why a signature can't be parsed. It is an ErrBadSignature.
type BadSignatureError struct{ Cause error }

func (e *BadSignatureError) Error() string {
	return fmt.Sprintf("%s: %s", ErrBadSignature, e.Cause)
}

// Unwrap returns the cause.
func (e *BadSignatureError) Unwrap() error { return e.Cause }

// Is reports whether target is the reason of this error.
func (e *BadSignatureError) Is(target error) bool { return target == ErrBadSignature }

// UnknownKeyError holds the ID of the key that made a signature. It is an ErrUnknownKey.
type UnknownKeyError struct{ KeyID uint64 }

func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("bundle: signed by key %s, which is not a trusted one", FormatKeyID(e.KeyID))
}

// Is reports whether target is the reason of this error.
func (e *UnknownKeyError) Is(target error) bool { return target == ErrUnknownKey }

// ExpiredError holds the time at which a bundle expired. It is an ErrExpired.
type ExpiredError struct {
	Version      uint64
	Expires, Now time.Time
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("bundle: version %d expired at %s; it is %s", e.Version,
		e.Expires.Format(time.RFC3339), e.Now.Format(time.RFC3339))
}

// Is reports whether target is the reason of this error.
func (e *ExpiredError) Is(target error) bool { return target == ErrExpired }

// RolledBackError holds the offered and the accepted version. It is an ErrRolledBack.
type RolledBackError struct{ Offered, Accepted uint64 }

func (e *RolledBackError) Error() string {
	return fmt.Sprintf("bundle: version %d is older than version %d, which is already accepted; "+
		"to return to old content, sign it under a higher version", e.Offered, e.Accepted)
}

// Is reports whether target is the reason of this error.
func (e *RolledBackError) Is(target error) bool { return target == ErrRolledBack }

// ConflictError holds the version that is in use with other content, and the changes
// between the two. It is an ErrConflict.
type ConflictError struct {
	Version uint64
	Changes []Change
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("bundle: version %d is already accepted with other content (first difference: %s); "+
		"sign the new content under a higher version", e.Version, e.Changes[0].Path)
}

// Is reports whether target is the reason of this error.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// MissingSectionError lists the sections that must be fetched first. It is an
// ErrMissingSection.
type MissingSectionError struct{ Digests []Digest }

func (e *MissingSectionError) Error() string {
	return fmt.Sprintf("bundle: %d sections are missing, the first is %s", len(e.Digests), e.Digests[0])
}

// Is reports whether target is the reason of this error.
func (e *MissingSectionError) Is(target error) bool { return target == ErrMissingSection }

// NotFoundError identifies an item that a bundle doesn't define. It is an ErrNotFound.
type NotFoundError struct {
	Kind ItemKind
	Name string
	// Known are the names that the bundle defines.
	Known []string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("the bundle defines no %s %q; it defines %s", e.Kind, e.Name, listOrNone(e.Known))
}

// Is reports whether target is the reason of this error.
func (e *NotFoundError) Is(target error) bool { return target == ErrNotFound }
