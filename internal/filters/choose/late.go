package choose

import (
	"net/http"
	"time"

	"coveferry/internal/api"
	"coveferry/internal/forecast"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// minRetryAfter is the minimum Retry-After if all endpoints have a backlog of prompts or
// are at their rate limits: about the time to prefill a few prompts.
const minRetryAfter = 100 * time.Millisecond

// LateError reports that the response would begin too late at any endpoint. The request
// was not sent.
type LateError struct {
	// Wait is the expected wait. Objective is the latency objective that it exceeds, or the part
	// of it within which a forecast wait has to be.
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

// checkWait refuses a routed request if its expected wait for other requests exceeds the
// limit. The time to prefill its own prompt doesn't count: refusing long prompts would
// starve their callers and help others little.
//
// All routes of a service share one limit, derived from its longest objective. Otherwise
// requests with a short objective would be refused while less urgent ones with a long
// objective are admitted. A request that was already sent to an endpoint is not refused, and a
// resumed stream only if it would wait beyond its deadline: it can't go on at endpoints of other
// versions, which have room for new streams.
func (f *Filter) checkWait(r *request.Request, wait time.Duration) error {
	if f.refuseLateFactor <= 0 || r.Route == nil || len(r.Tried) > 0 {
		return nil
	}
	objective := r.Routes.Table.LongestObjective(r.Service)
	limit := time.Duration(f.refuseLateFactor * float64(objective))
	if r.Forecast {
		limit = forecast.WaitLimit(limit)
		objective = limit
	}
	if r.StreamVersion != nil {
		limit = max(limit, time.Until(r.Deadline))
	}
	if limit <= 0 || wait <= limit {
		return nil
	}
	return &LateError{Wait: wait, Objective: objective}
}
