package choose

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/api"
	"coveferry/internal/fairshare"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/waiting"
	"coveferry/internal/wire"
)

// ShareError reports that the request's team is above its fair share of a capacity that doesn't
// suffice for all. The request was not sent.
type ShareError struct {
	// Load is the team's work and Level the fair level, in seconds of work per second over all routers.
	Load, Level float64
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ShareError) Error() string {
	return fmt.Sprintf("choose: the team requests %.3g s of work a second, over the fair level of %.3g", e.Load, e.Level)
}

// API implements api.Convertible.
func (e *ShareError) API() *api.Error {
	return &api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeOverloaded, Code: "share",
		Message: "overloaded: the team has its share of the capacity", Run: wire.RunNot, RetryAfter: e.RetryAfter,
	}
}

// limitRetryAfter bounds a Retry-After by the time within which the caller honours it.
func limitRetryAfter(retryAfter time.Duration, deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return retryAfter
	}
	return max(0, min(retryAfter, waiting.LongestRetryAfter(deadline.Sub(now))))
}

// checkOverload refuses a request that would wait too long, or whose team is above its share of the
// capacity. rank is the request's rank among those for the service.
func (f *Filter) checkOverload(r *request.Request, rank int) error {
	wait := r.ExpectedWait - r.PrefillTime
	shared := f.sharesCapacity(r)
	if shared {
		if err := f.checkShare(r, rank, wait); err != nil {
			f.refusals.count(reasonShare, rank)
			return err
		}
	}
	err := f.checkWait(r, wait)
	if err != nil && shared {
		f.refusals.count(reasonLate, rank)
	}
	return err
}

// sharesCapacity reports whether the request's team shares capacity with others. Services without an engine
// aren't shared: the expected wait says nothing of their capacity.
func (f *Filter) sharesCapacity(r *request.Request) bool {
	if f.shares == nil || r.Route == nil || r.TeamName == "" || !r.Routes.Table.NeedsKeys() {
		return false
	}
	s := r.Routes.Table.Service(r.Service)
	return s != nil && s.Engine != nil
}

// checkShare charges the request to its team, once, and refuses it if the team is above its share. A
// request that was sent before and a resumed stream are charged and never refused.
func (f *Filter) checkShare(r *request.Request, rank int, wait time.Duration) error {
	if r.Share.Charge != nil {
		return nil
	}
	now := time.Now()
	if len(r.Tried) > 0 || r.StreamVersion != nil || r.Resumes != "" {
		r.Share = fairshare.Verdict{Admitted: true, Charge: f.shares.Charge(now, r.Service, rank, r.TeamName, statedWork(r))}
		return nil
	}
	pressure := 0.0
	if limit := f.waitLimit(r); limit > 0 {
		pressure = float64(wait) / float64(limit)
	}
	r.Share = f.shares.Admit(now, r.Service, rank, r.TeamName, statedWork(r), pressure)
	if r.Share.Admitted {
		return nil
	}
	return &ShareError{Load: r.Share.Load, Level: r.Share.Level, RetryAfter: limitRetryAfter(r.Share.RetryAfter, r.Deadline, now)}
}

// statedWork returns the work of a request by what it states, in seconds. That of a request whose prompt
// could not be parsed is unknown.
func statedWork(r *request.Request) float64 {
	if r.Prompt.Tokens == 0 {
		return fairshare.UnknownWork
	}
	return r.PrefillTime.Seconds() + float64(r.Prompt.ExpectedOutput)*r.SecondsPerOutputToken
}

// actualWork returns the work that a request took until it ended with err, in seconds. An answer that
// isn't a stream counts as stated unless it didn't run, since its length isn't known.
func actualWork(r *request.Request, err error) float64 {
	switch {
	case err != nil && r.Delivered.Tokens == 0 && api.From(err).Run == wire.RunNot:
		return 0
	case r.Prompt.Tokens == 0 || !r.Route.Stream:
		return statedWork(r)
	}
	tokens := r.Delivered.Tokens * max(r.TokensPerEvent, 1)
	return r.PrefillTime.Seconds() + float64(tokens)*r.SecondsPerOutputToken
}

// Settle is a filter that corrects what a team was charged for a request to the work that the
// request took, once it has ended with all of its attempts. Put it before the attempts filter.
type Settle struct{}

// Name implements pipeline.Filter.
func (Settle) Name() string { return "settle" }

// Do implements pipeline.Filter.
func (Settle) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	err := next(ctx, r)
	if r.Share.Charge != nil && len(r.Tried) > 0 {
		// A request that was refused as late keeps its charge: the sums are those of the requested work.
		r.Share.Charge.Settle(time.Now(), actualWork(r, err))
	}
	return err
}

// Values of the label "reason" of the counter of refused requests.
const (
	reasonShare = "share"
	reasonLate  = "late"
)

// refusalMetrics counts refused requests of teams.
type refusalMetrics struct {
	refused *prometheus.CounterVec
}

func newRefusalMetrics(reg prometheus.Registerer) *refusalMetrics {
	m := &refusalMetrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coveferry_team_requests_refused_total",
			Help: "Requests of teams refused for lack of capacity: share (the team is above its share) or late (the expected wait is too long), by rank.",
		}, []string{"reason", "tier"}),
	}
	if reg != nil {
		reg.MustRegister(m.refused)
	}
	return m
}

func (m *refusalMetrics) count(reason string, rank int) {
	m.refused.WithLabelValues(reason, strconv.Itoa(rank)).Inc()
}
