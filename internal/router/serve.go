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

// serve takes a request through the pipe and reports how it ended.
func (rt *Router) serve(w http.ResponseWriter, req *http.Request, r *request.Request) {
	r.ID = rt.cfg.NewID()
	r.Arrived = time.Now()
	r.ArrivedClock = rt.cfg.Clock()
	r.Snapshot = rt.snapshot.Load()
	r.Latest = rt.snapshot.Load
	r.Header = req.Header
	r.Writer = w
	rt.announce(w)
	err := rt.receiveAndRun(req, r)
	rt.record(r, err)
	if err != nil {
		answerError(r, err)
	}
}

func (rt *Router) receiveAndRun(req *http.Request, r *request.Request) error {
	if rt.drain.refusing.Load() {
		return stoppingError{}
	}
	if err := checkHeaders(req, r); err != nil {
		return err
	}
	if err := rt.room.enter(); err != nil {
		return err
	}
	defer rt.room.leave()
	held := &bodyRoom{room: rt.room}
	defer held.free()
	body, err := rt.receiveBody(req, r, held)
	if err != nil {
		return err
	}
	r.Body = body
	ctx, done := rt.drain.follow(req.Context())
	defer done()
	err = rt.runPipe(ctx, r)
	if err != nil && errors.Is(context.Cause(ctx), errEnded) {
		return &endedError{cause: err}
	}
	return err
}

// runPipe takes the request through the pipe of its kind.
func (rt *Router) runPipe(ctx context.Context, r *request.Request) error {
	if r.Kind != wire.KindRouted {
		return rt.run(ctx, r)
	}
	if r.Table == nil {
		return notReadyError{}
	}
	return rt.routed(ctx, r)
}

// answerError tells the caller of an error, in the way that is still open: a
// whole answer before the stream began, an event in it afterwards. A plain
// service's answer that was cut off ends the connection, as its only sign.
func answerError(r *request.Request, err error) {
	var gone *relay.CallerError
	if errors.As(err, &gone) {
		return
	}
	if r.Kind == wire.KindRouted {
		answerRouted(r, err)
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
	api.GiveTime(r.Writer)
	_ = sse.WriteError(r.Writer, string(out.JSON())) // the caller may have left
}

// serveModels lists the models of the caller's bundle.
func (rt *Router) serveModels(w http.ResponseWriter, req *http.Request) {
	r := &request.Request{Header: req.Header, Snapshot: rt.snapshot.Load(), Writer: w, ID: rt.cfg.NewID()}
	err := authenticate.Filter{}.Do(req.Context(), r, writeModels)
	if err != nil {
		answerError(r, err)
	}
}

func writeModels(_ context.Context, r *request.Request) error {
	list := modelsList{Object: "list"}
	for _, m := range r.Snapshot.Bundle().Models {
		list.Data = append(list.Data, openai.Model{ID: m.Name, Object: "model", OwnedBy: "coveferry"})
	}
	api.GiveTime(r.Writer)
	r.Writer.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(r.Writer).Encode(list)
}

// modelsList is the protocol's list, whose "object" the library leaves out.
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

// checkHeaders holds a routed request to the operator's bound on headers, which
// changes with the table. The server's own holds for all.
func checkHeaders(req *http.Request, r *request.Request) error {
	if r.Table == nil || r.Table.Limits().HeaderBytes <= 0 {
		return nil
	}
	const between = len(": \r\n")
	size := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, value := range values {
			size += len(name) + len(value) + between
		}
	}
	if limit := r.Table.Limits().HeaderBytes; size > limit {
		return headersTooLarge(limit)
	}
	return nil
}

// defaultBodyBytes bounds a body where no configuration does.
const defaultBodyBytes = 4 << 20

// bodyLimit is the most bytes that the request's body may have.
func bodyLimit(r *request.Request) int64 {
	if r.Kind != wire.KindRouted {
		return int64(r.Snapshot.Bundle().Limits.RequestBytes)
	}
	if r.Table == nil || r.Table.Limits().BodyBytes <= 0 {
		return defaultBodyBytes
	}
	return r.Table.Limits().BodyBytes
}

// receiveBody reads the caller's body within its time, its size and the room
// that all bodies share. One for which there is no room isn't read.
func (rt *Router) receiveBody(req *http.Request, r *request.Request, held *bodyRoom) ([]byte, error) {
	limit := bodyLimit(r)
	if req.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if err := held.take(req.ContentLength); err != nil {
		return nil, err
	}
	rc := http.NewResponseController(r.Writer)
	// A connection without deadlines, as in a test, is read without.
	_ = rc.SetReadDeadline(time.Now().Add(rt.cfg.BodyTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(held.reader(http.MaxBytesReader(r.Writer, req.Body, limit)))
	if err != nil {
		return nil, bodyError(err, limit)
	}
	return body, nil
}
