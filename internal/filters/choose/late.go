package choose

import (
	"net/http"
	"time"

	"coveferry/internal/api"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// minRetryAfter is the least time after which to come back to endpoints that
// have too much to read: that of a few prompts.
const minRetryAfter = 100 * time.Millisecond

// LateError is a request whose answer would begin too late at any endpoint. It
// was not sent.
type LateError struct {
	// Wait is how long it would probably have waited, and Objective how long
	// it may.
	Wait, Objective time.Duration
}

// Error implements error.
func (e *LateError) Error() string {
	return "choose: the answer would begin after " + e.Wait.String() + ", over the objective of " + e.Objective.String()
}

// API implements api.Convertible.
func (e *LateError) API() *api.Error {
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeOverloaded, Code: "late",
		Message: "overloaded: the answer could not begin in time", Run: wire.RunNot,
		RetryAfter: max(minRetryAfter, e.Wait-e.Objective),
	}
}

// checkWait refuses a routed request that waits so long for others that all are late.
// A prompt that takes long to read by itself is no reason: refusing it would leave its
// caller nothing and bring others little. The
// same limit holds for all routes of a service, its longest objective: else a
// short objective would have requests refused while less urgent ones with a long
// one are taken. One that an endpoint has had before isn't refused.
func (f *Filter) checkWait(r *request.Request, wait time.Duration) error {
	if f.refuseLateFactor <= 0 || r.Route == nil || len(r.Tried) > 0 {
		return nil
	}
	objective := r.Table.LongestObjective(r.Service)
	limit := time.Duration(f.refuseLateFactor * float64(objective))
	if limit <= 0 || wait <= limit {
		return nil
	}
	return &LateError{Wait: wait, Objective: objective}
}
