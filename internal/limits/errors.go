package limits

import (
	"time"

	"coveferry/internal/credit"
)

// Error reports that a request exceeds a limit of its team.
type Error struct {
	// Kind is the kind of the limit.
	Kind credit.Kind
	// RetryAfter is the estimated time until a request can be admitted.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string { return "limits: the limit of " + string(e.Kind) + " is reached" }
