package choose

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/filters/dispatch"
	"coveferry/internal/filters/relay"
	"coveferry/internal/once"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/wire"
)

// homeResolver finds the home of an idempotency key: the one endpoint that may run
// requests with it. It caches the endpoint lists of the current snapshot, since building a
// list costs more than a lookup.
type homeResolver struct{ cache atomic.Pointer[listCache] }

type listCache struct {
	snapshot *bundle.Snapshot
	lists    sync.Map // target -> *once.List
}

// resolve returns the home of the request's key. The home may be outside the endpoint
// subset that this router uses for other requests.
func (h *homeResolver) resolve(s *bundle.Snapshot, r *request.Request) (*bundle.Endpoint, bool) {
	endpoints := r.EndpointsIn(s)
	name := h.endpointList(s, r.KeyTarget(), endpoints).Home(r.Team.Name, r.IdempotencyKey)
	for _, e := range endpoints {
		if e.Name == name {
			return e, true
		}
	}
	return nil, false
}

func (h *homeResolver) endpointList(s *bundle.Snapshot, target string, endpoints []*bundle.Endpoint) *once.List {
	cache := h.cache.Load()
	if cache == nil || cache.snapshot != s {
		cache = &listCache{snapshot: s}
		h.cache.Store(cache) // concurrent stores are harmless: each cache is valid
	}
	if list, known := cache.lists.Load(target); known {
		return list.(*once.List)
	}
	list := once.ListOf(endpoints)
	cache.lists.Store(target, list)
	return list
}

// doPinned sends the request to the home of its key only. It is retried there only after
// an attempt that did not run.
func (f *Filter) doPinned(ctx context.Context, r *request.Request, next pipeline.Next) error {
	home, found := f.homeResolver.resolve(currentSnapshot(r), r)
	if !found || r.TriedEndpoint(home.Name) {
		return &Error{Cause: errHomeTried}
	}
	r.Endpoint, r.SecondEndpoint = home, nil
	r.Tried = append(r.Tried, home.Name)
	return wrapPinned(next(ctx, r))
}

// currentSnapshot returns the snapshot whose endpoints the attempt may use.
func currentSnapshot(r *request.Request) *bundle.Snapshot {
	if r.Epoch > 1 && r.LatestSnapshot != nil {
		return r.LatestSnapshot()
	}
	return r.Snapshot
}

// errHomeTried means that the only endpoint that may run the request was already tried.
var errHomeTried = errors.New("the home of the idempotency key has been tried")

// PinnedError is the error of an attempt at the key's home that rules out a retry.
type PinnedError struct{ Cause error }

// Error implements error.
func (e *PinnedError) Error() string { return "choose: at the key's home: " + e.Cause.Error() }

// Run reports whether the attempt ran. An attempt that was refused because of its key did
// not run, even if an earlier request with the same key did.
func (e *PinnedError) Run() wire.Run {
	var refused *dispatch.RefusedError
	if errors.As(e.Cause, &refused) && isKeyRefusal(refused) {
		return wire.RunNot
	}
	return api.From(e.Cause).Run
}

// wrapPinned wraps the errors that rule out a retry in a PinnedError.
func wrapPinned(err error) error {
	var refused *dispatch.RefusedError
	var noResponse *dispatch.NoResponseError
	var broken *relay.BrokenError
	switch {
	case errors.As(err, &refused):
		if refused.Run == wire.RunNot && !isKeyRefusal(refused) {
			return err
		}
	case errors.As(err, &noResponse):
		if !noResponse.Sent {
			return err
		}
	case !errors.As(err, &broken):
		return err
	}
	return &PinnedError{Cause: err}
}

// keyReply is the response to a refusal because of the idempotency key.
type keyReply struct {
	status  int
	kind    api.Type
	message string
}

// keyReplies maps the refusal reasons of package once to responses.
var keyReplies = map[once.Reason]keyReply{
	once.ReasonDuplicate: {
		http.StatusConflict, api.TypeConflict,
		"another request has this idempotency key; \"run\" and \"earlier\" tell of that one",
	},
	once.ReasonFenced: {
		http.StatusConflict, api.TypeConflict, "this attempt has come before",
	},
	once.ReasonTimeChanged: {
		http.StatusConflict, api.TypeConflict, "the idempotency key was used before with another time of issue",
	},
	once.ReasonFuture: {
		http.StatusBadRequest, api.TypeInvalid, "the idempotency key was issued later than now; check your clock",
	},
	once.ReasonExpired: {
		http.StatusBadRequest, api.TypeInvalid,
		"the idempotency key is older than keys are remembered; an earlier request with it may have run",
	},
	once.ReasonBeforeClaim: {
		http.StatusServiceUnavailable, api.TypeUnavailable,
		"the key is older than the memory of its home, which has started or changed; an earlier request with it may have run",
	},
	once.ReasonHandover: {
		http.StatusServiceUnavailable, api.TypeUnavailable,
		"the key's home is changing; an earlier request with it may have run",
	},
	once.ReasonNotKeyHome: {
		http.StatusServiceUnavailable, api.TypeUnavailable, "router and endpoint disagree on the key's home; try again soon",
	},
	once.ReasonFull: {
		http.StatusServiceUnavailable, api.TypeOverloaded, "the key's home remembers as many keys as it may",
	},
}

func isKeyRefusal(e *dispatch.RefusedError) bool {
	_, ok := keyReplies[once.Reason(e.Reason)]
	return ok
}

// API implements api.Convertible.
func (e *PinnedError) API() *api.Error {
	out := api.From(e.Cause)
	var refused *dispatch.RefusedError
	if !errors.As(e.Cause, &refused) || !isKeyRefusal(refused) {
		return out
	}
	reply := keyReplies[once.Reason(refused.Reason)]
	out.Status = reply.status
	out.Type = reply.kind
	out.Message = reply.message
	out.RetryAfter = refused.RetryAfter()
	out.Earlier = refused.Earlier
	return out
}
