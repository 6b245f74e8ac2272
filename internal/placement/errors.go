package placement

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// RefusedError says that the engine refused an order or a query with a status
// other than 200.
type RefusedError struct {
	Status int
	// RetryAfter is the delay that the engine asked for; 0 if none.
	RetryAfter time.Duration
}

// Error returns a text with the status.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("placement: the engine refused with status %d", e.Status)
}

// errChangedDuringQuery says that an order began or ended while the engine was
// queried.
var errChangedDuringQuery = errors.New("placement: an order began or ended while the engine was queried")

// statusOf returns the status of a refusal, 0 for any other error.
func statusOf(err error) int {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Status
	}
	return 0
}

// hadNoEffect reports whether an order that ended with the error had no effect and
// never will. This holds for 4xx, 503 (not now) and 507 (out of memory). Other
// 5xx statuses and broken connections leave it open.
func hadNoEffect(err error) bool {
	status := statusOf(err)
	known := status == http.StatusServiceUnavailable || status == http.StatusInsufficientStorage
	return known || status >= http.StatusBadRequest && status < http.StatusInternalServerError
}
