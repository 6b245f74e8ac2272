package identity

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Reasons why a peer was rejected, or why a certificate or key can't be used, for
// errors.Is.
var (
	// ErrNoCertificate: the peer sent no certificate.
	ErrNoCertificate = errors.New("no certificate")
	// ErrUnknownAuthority: no authority in the CA file signed the certificate.
	ErrUnknownAuthority = errors.New("certificate of an unknown authority")
	// ErrExpired: the certificate, or the authority's, has expired.
	ErrExpired = errors.New("certificate expired")
	// ErrNotYetValid: the certificate's validity has not started.
	ErrNotYetValid = errors.New("certificate not yet valid")
	// ErrWrongRole: the peer's certificate is valid, but its role is not allowed.
	ErrWrongRole = errors.New("wrong role")
	// ErrWrongName: the peer has the expected role but another name.
	ErrWrongName = errors.New("wrong name")
	// ErrBadPeer: a role or name is invalid.
	ErrBadPeer = errors.New("bad role or name")
	// ErrNoIdentity: the certificate has no URI with a role and a name.
	ErrNoIdentity = errors.New("certificate without an identity")
	// ErrBadCertificate: the certificate is invalid for another reason.
	ErrBadCertificate = errors.New("bad certificate")
	// ErrBadKeyPair: the PEM can't be parsed, or key and certificate don't match.
	ErrBadKeyPair = errors.New("bad certificate or key")
	// ErrChanged: a reload would have changed the process's role or name.
	ErrChanged = errors.New("identity changed")
	// ErrValidityTooLong: a certificate would expire after its authority.
	ErrValidityTooLong = errors.New("certificate would outlive its authority")
)

// PeerError is one of the errors above with a detail.
type PeerError struct {
	Kind   error
	Detail string
}

// Error returns the reason and its detail.
func (e *PeerError) Error() string {
	if e.Detail == "" {
		return e.Kind.Error()
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
}

// Unwrap returns the reason.
func (e *PeerError) Unwrap() error { return e.Kind }

func peerErrorf(kind error, format string, args ...any) error {
	return &PeerError{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// FileError is an error about a file.
type FileError struct {
	File string
	Err  error
}

// Error returns the file's name and the underlying error.
func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *FileError) Unwrap() error { return e.Err }
