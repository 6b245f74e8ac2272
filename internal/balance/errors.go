package balance

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoEndpoint matches every NoEndpointError with errors.Is.
var ErrNoEndpoint = errors.New("no endpoint may take the request")

// NoEndpointError says why Choose found no endpoint: of Candidates endpoints, Skipped were ruled out
// by the caller, Leaving accept no new requests, RateLimited have used up this router's share of
// their rate limit, and BackingOff asked this router to back off.
type NoEndpointError struct {
	Candidates  int
	Skipped     int
	Leaving     int
	RateLimited int
	BackingOff  int
	// AvailableIn is the time until the first of the rate-limited endpoints and those backing off
	// takes the next request, 0 if there are none.
	AvailableIn time.Duration
}

// Error describes the failure with its counts.
func (e *NoEndpointError) Error() string {
	text := fmt.Sprintf("no endpoint may take the request: %d candidates, %d skipped, %d leaving",
		e.Candidates, e.Skipped, e.Leaving)
	if e.BackingOff > 0 {
		text += fmt.Sprintf(", %d backing off", e.BackingOff)
	}
	if e.RateLimited > 0 {
		text += fmt.Sprintf(", %d rate-limited", e.RateLimited)
	}
	if e.RateLimited+e.BackingOff > 0 {
		text += fmt.Sprintf(", the next available in %s", e.AvailableIn)
	}
	return text
}

// Is reports whether target is ErrNoEndpoint.
func (e *NoEndpointError) Is(target error) bool { return target == ErrNoEndpoint }
