package bundle

import "time"

// sourceName is the file name in messages about a bundle received over the network.
const sourceName = "bundle"

// Accept verifies and checks a signed bundle. It returns the snapshot to use from
// now on: a new one, or current itself if the bundle has the same version and
// content. Otherwise it returns an error and no snapshot, and current stays in
// force. Current is nil in a process that has not accepted a bundle yet.
//
// The error is one of ErrBadSignature, ErrUnknownKey, ErrTampered, ErrInvalid,
// ErrRolledBack, ErrConflict and ErrExpired.
func Accept(now time.Time, current *Snapshot, src, sig []byte, keys []PublicKey) (*Snapshot, error) {
	comment, err := verify(keys, src, sig, bundlePurpose)
	if err != nil {
		return nil, err
	}
	b, err := Parse(sourceName, src)
	if err != nil {
		return nil, err
	}
	if comment != trustedComment(bundlePurpose, b.Version, b.Expires) {
		return nil, ErrTampered
	}
	return acceptSuccessor(now, current, b)
}

// acceptSuccessor decides whether a bundle with a valid signature may replace the
// one in force. The bundle in force is accepted again even after it has expired,
// because that changes nothing.
func acceptSuccessor(now time.Time, current *Snapshot, b *Bundle) (*Snapshot, error) {
	if err := checkVersionAndExpiry(now, current, b.Version, b.Expires); err != nil {
		return nil, err
	}
	if current != nil && b.Version == current.Version() {
		return acceptSameVersion(current, b)
	}
	return NewSnapshot(b), nil
}

// checkVersionAndExpiry decides by version and expiry alone.
func checkVersionAndExpiry(now time.Time, current *Snapshot, version uint64, expires time.Time) error {
	switch {
	case current != nil && version < current.Version():
		return &RolledBackError{Offered: version, Accepted: current.Version()}
	case current != nil && version == current.Version():
		return nil
	case !now.Before(expires):
		return &ExpiredError{Version: version, Expires: expires, Now: now}
	default:
		return nil
	}
}

func acceptSameVersion(current *Snapshot, b *Bundle) (*Snapshot, error) {
	if changes := Diff(current.Bundle(), b); len(changes) > 0 {
		return nil, &ConflictError{Version: b.Version, Changes: changes}
	}
	return current, nil
}
