// Package classify determines what a request asks for and what its team is entitled to:
// class, tier, targets, deadline and candidate endpoints. It needs the team, so put it
// behind authenticate.
package classify

import (
	"context"
	"time"

	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/completion"
	"coveferry/internal/once"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// Filter implements pipeline.Filter.
type Filter struct{}

// Name implements pipeline.Filter.
func (Filter) Name() string { return "classify" }

// Do sets the request's class, deadline, idempotency and target. Its errors are *Error.
func (Filter) Do(ctx context.Context, r *request.Request, next pipeline.Next) error {
	steps := []func(*request.Request) error{setClass, setDeadline, setIdempotency, setTarget, checkKey}
	for _, step := range steps {
		if err := step(r); err != nil {
			return err
		}
	}
	return next(ctx, r)
}

// setClass sets the class, tier and first-token deadline from the team's grant.
func setClass(r *request.Request) error {
	name := r.Header.Get(api.HeaderClass)
	grant, granted := findGrant(r.Team, name)
	if !granted {
		return unknownClassError(r, name)
	}
	class, known := r.Snapshot.Class(grant.Class)
	if !known { // ruled out by the validation of the bundle
		return unknownClassError(r, grant.Class)
	}
	r.Class = class
	r.Tier, _ = r.Snapshot.TierRank(grant.Tier)
	r.FirstTokenBy = r.Arrived.Add(class.FirstToken.Std())
	return nil
}

// findGrant returns the team's grant for a class, or its first grant if class is empty.
func findGrant(t *bundle.Team, class string) (bundle.Grant, bool) {
	for _, g := range t.Grants {
		if class == "" || g.Class == class {
			return g, true
		}
	}
	return bundle.Grant{}, false
}

func setDeadline(r *request.Request) error {
	wait := r.Class.Deadline.Std()
	if text := r.Header.Get(api.HeaderDeadline); text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 {
			return headerError(api.HeaderDeadline, `a positive duration such as "30s"`)
		}
		wait = min(wait, asked)
	}
	r.Deadline = r.Arrived.Add(wait)
	return nil
}

func setIdempotency(r *request.Request) error {
	r.IdempotencyKey = r.Header.Get(api.HeaderIdempotencyKey)
	if r.IdempotencyKey != "" {
		key, err := once.ParseKey(r.IdempotencyKey, r.Header.Get(api.HeaderKeyTime))
		if err != nil {
			return keyError(err)
		}
		r.KeyIssued = key.Issued
	}
	switch r.Header.Get(api.HeaderNonIdempotent) {
	case "", "false":
		r.NonIdempotent = false
	case "true":
		r.NonIdempotent = true
	default:
		return headerError(api.HeaderNonIdempotent, `"true" or "false"`)
	}
	return nil
}

// checkKey refuses a non-idempotent request whose key has no time of issue: an agent that
// has just started can't tell whether the request already ran.
func checkKey(r *request.Request) error {
	if r.NonIdempotent && r.IdempotencyKey != "" && r.KeyIssued.IsZero() {
		return &Error{Code: CodeKeyWithoutTime, Detail: keyWithoutTimeDetail}
	}
	return nil
}

// setTarget sets the model or service and the candidate endpoints.
func setTarget(r *request.Request) error {
	if r.Kind == wire.KindService {
		return setService(r)
	}
	call, err := completion.Parse(r.Kind, r.Body)
	if err != nil {
		return &Error{Code: CodeMalformed, Detail: err.Error()}
	}
	r.Model = call.Model
	r.Stream = call.Stream
	r.IncludeUsage = call.IncludeUsage
	r.MaxTokens = call.MaxTokens
	r.Prefix = call.Prefix
	r.Candidates = r.Snapshot.EndpointsForModel(call.Model)
	if len(r.Candidates) == 0 {
		return &Error{Code: CodeUnknownModel, Detail: call.Model}
	}
	return nil
}

func setService(r *request.Request) error {
	svc, known := r.Snapshot.Service(r.Service)
	if !known {
		return &Error{Code: CodeUnknownService, Detail: r.Service}
	}
	r.NonIdempotent = r.NonIdempotent || !svc.Idempotent
	r.Candidates = r.Snapshot.EndpointsForService(r.Service)
	if len(r.Candidates) == 0 {
		return &Error{Code: CodeUnknownService, Detail: r.Service}
	}
	return nil
}
