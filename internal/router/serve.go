package router

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	openai "github.com/sashabaranov/go-openai"

	"coveferry/internal/api"
	"coveferry/internal/filters/authenticate"
	"coveferry/internal/filters/relay"
	"coveferry/internal/request"
	"coveferry/internal/sse"
	"coveferry/internal/wire"
)

func (rt *Router) serveChat(w http.ResponseWriter, req *http.Request) {
	rt.serve(w, req, &request.Request{Kind: wire.KindChat})
}

func (rt *Router) serveCompletion(w http.ResponseWriter, req *http.Request) {
	rt.serve(w, req, &request.Request{Kind: wire.KindCompletion})
}

func (rt *Router) serveService(w http.ResponseWriter, req *http.Request) {
	path := "/" + req.PathValue("path")
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	rt.serve(w, req, &request.Request{
		Kind:    wire.KindService,
		Method:  req.Method,
		Service: req.PathValue("service"),
		Path:    path,
	})
}

// serve runs a request through its filter chain, records the result and answers errors.
func (rt *Router) serve(w http.ResponseWriter, req *http.Request, r *request.Request) {
	r.ID = rt.cfg.NewID()
	r.Arrived = time.Now()
	r.ArrivedClock = rt.cfg.Clock()
	r.Snapshot = rt.snapshot.Load()
	r.LatestSnapshot = rt.snapshot.Load
	r.Header = req.Header
	r.Writer = w
	rt.announceClose(w)
	err := rt.receiveAndRun(req, r)
	rt.record(r, err)
	if err != nil {
		rt.announceClose(w) // a stop may have begun since the request came
		rt.answerError(r, err)
	}
}

func (rt *Router) receiveAndRun(req *http.Request, r *request.Request) error {
	if rt.drain.refuseNew.Load() {
		return stoppingError{}
	}
	if err := checkHeaders(req, r); err != nil {
		return err
	}
	if err := rt.capacity.acquire(); err != nil {
		return err
	}
	defer rt.capacity.release()
	bodyBudget := &budget{pools: rt.capacity.bodies}
	defer bodyBudget.release()
	body, err := rt.receiveBody(req, r, bodyBudget)
	if rt.drain.sendCtx.Err() != nil {
		return stoppingError{}
	}
	if err != nil {
		return err
	}
	r.Body = body
	rt.useLatestConfig(r)
	answerBudget := &budget{pools: rt.capacity.answers}
	defer answerBudget.release()
	r.ReserveAnswer = answerBudget.reserve
	ctx, stop := rt.drain.withAbort(req.Context())
	defer stop()
	err = rt.runFilters(ctx, r)
	if err != nil && errors.Is(context.Cause(ctx), errAborted) {
		return &abortError{cause: err, notSent: len(r.Tried) == 0}
	}
	return err
}

// useLatestConfig has a request judged by the configuration in force: its body may have taken longer
// than a key that its header named stayed valid.
func (rt *Router) useLatestConfig(r *request.Request) {
	r.Snapshot = rt.snapshot.Load()
	if r.Kind == wire.KindRouted {
		r.Routes = rt.cfg.Routing.Routes()
	}
}

// runFilters runs the request through the filter chain of its kind.
func (rt *Router) runFilters(ctx context.Context, r *request.Request) error {
	if r.Kind != wire.KindRouted {
		return rt.chain(ctx, r)
	}
	if r.Routes.Table == nil {
		return notReadyError{}
	}
	return rt.routedChain(ctx, r)
}

// answerError reports an error to the caller: as a complete answer before the answer has
// started, otherwise as an event in the stream. A plain service's answer that has started has
// no place for an error, so its connection is aborted. So is that of a caller who has left, who may
// still read: returning would complete the answer.
func (rt *Router) answerError(r *request.Request, err error) {
	var gone *relay.CallerError
	if errors.As(err, &gone) {
		panic(http.ErrAbortHandler)
	}
	if r.Kind == wire.KindRouted {
		rt.answerRouted(r, err)
		return
	}
	out := api.From(err)
	out.RequestID = r.ID
	if !r.Delivered.Started {
		r.Writer.Header().Set(api.HeaderRequestID, r.ID)
		out.Write(r.Writer)
		return
	}
	if r.Kind == wire.KindService {
		panic(http.ErrAbortHandler)
	}
	api.ExtendWriteDeadline(r.Writer)
	_ = sse.WriteError(r.Writer, string(out.JSON())) // the caller may have disconnected
}

// serveModels lists the models of the bundle.
func (rt *Router) serveModels(w http.ResponseWriter, req *http.Request) {
	r := &request.Request{Header: req.Header, Snapshot: rt.snapshot.Load(), Writer: w, ID: rt.cfg.NewID()}
	err := authenticate.Filter{}.Do(req.Context(), r, writeModels)
	if err != nil {
		rt.answerError(r, err)
	}
}

func writeModels(_ context.Context, r *request.Request) error {
	list := modelsList{Object: "list"}
	for _, m := range r.Snapshot.Bundle().Models {
		list.Data = append(list.Data, openai.Model{ID: m.Name, Object: "model", OwnedBy: "coveferry"})
	}
	api.ExtendWriteDeadline(r.Writer)
	r.Writer.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(r.Writer).Encode(list)
}

// modelsList is the protocol's list type; the library's type has no "object" field.
type modelsList struct {
	Object string         `json:"object"`
	Data   []openai.Model `json:"data"`
}

func serveUnknown(w http.ResponseWriter, req *http.Request) {
	(&api.Error{
		Status: http.StatusNotFound, Type: api.TypeInvalid, Code: "unknown_path", Run: wire.RunNot,
		Message: req.Method + " " + req.URL.Path + " is not served; see POST /v1/chat/completions, " +
			"POST /v1/completions, GET /v1/models, /services/NAME/PATH",
	}).Write(w)
}

// checkHeaders enforces the route table's limit on header size, which may change with each
// table. The HTTP server's own limit applies to all requests.
func checkHeaders(req *http.Request, r *request.Request) error {
	if r.Routes.Table == nil || r.Routes.Table.Limits().HeaderBytes <= 0 {
		return nil
	}
	const separatorBytes = len(": \r\n")
	size := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, value := range values {
			size += len(name) + len(value) + separatorBytes
		}
	}
	if limit := r.Routes.Table.Limits().HeaderBytes; size > limit {
		return headersTooLarge(limit)
	}
	return nil
}

// defaultBodyBytes is the body size limit if none is configured.
const defaultBodyBytes = 4 << 20

// bodyLimit returns the size limit of the request's body.
func bodyLimit(r *request.Request) int64 {
	if r.Kind != wire.KindRouted {
		return int64(r.Snapshot.Bundle().Limits.RequestBytes)
	}
	if r.Routes.Table == nil || r.Routes.Table.Limits().BodyBytes <= 0 {
		return defaultBodyBytes
	}
	return r.Routes.Table.Limits().BodyBytes
}

// receiveBody reads the request's body subject to BodyTimeout, its size limit and the memory
// left for bodies. A body whose declared size doesn't fit isn't read. RefuseUnsentRequests ends it.
func (rt *Router) receiveBody(req *http.Request, r *request.Request, budget *budget) ([]byte, error) {
	limit := bodyLimit(r)
	if req.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	if !budget.reserve(req.ContentLength) {
		return nil, capacityExceeded("bodies")
	}
	rc := http.NewResponseController(r.Writer)
	// Connections in tests may not support deadlines; these are read without one.
	_ = rc.SetReadDeadline(time.Now().Add(rt.cfg.BodyTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	defer context.AfterFunc(rt.drain.sendCtx, func() { _ = rc.SetReadDeadline(time.Now()) })()
	body, err := io.ReadAll(budget.reader(http.MaxBytesReader(r.Writer, req.Body, limit)))
	if err != nil {
		return nil, bodyError(err, limit)
	}
	return body, nil
}
