package rollout

import (
	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
)

// Reason says in metrics and logs why a version was refused.
type Reason string

const (
	ReasonRolledBack Reason = "rolled_back"
	ReasonExpired    Reason = "expired"
	ReasonConflict   Reason = "conflict"
	ReasonUnknownKey Reason = "unknown_key"
	ReasonTampered   Reason = "tampered"
	ReasonInvalid    Reason = "invalid"
	ReasonIncomplete Reason = "incomplete" // sections could not be fetched
)

// errUnknownBase is returned for a delta whose base manifest isn't in the
// history.
var errUnknownBase = errors.New("rollout: delta against an unknown manifest")

// reasonOf maps an error to a reason. The empty reason is for errors that
// aren't refusals, such as a broken connection.
func reasonOf(err error) Reason {
	for _, c := range []struct {
		err    error
		reason Reason
	}{
		{bundle.ErrRolledBack, ReasonRolledBack},
		{bundle.ErrExpired, ReasonExpired},
		{bundle.ErrConflict, ReasonConflict},
		{bundle.ErrUnknownKey, ReasonUnknownKey},
		{bundle.ErrTampered, ReasonTampered},
		{bundle.ErrBadSignature, ReasonTampered},
		{bundle.ErrMissingSection, ReasonIncomplete},
		{bundle.ErrInvalid, ReasonInvalid},
		{ErrBadMessage, ReasonInvalid},
	} {
		if errors.Is(err, c.err) {
			return c.reason
		}
	}
	return ""
}
