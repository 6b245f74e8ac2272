package engine

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// bodyLimit bounds the body of a request in bytes.
const bodyLimit = 64 << 20

// Handler serves the engine's interface.
func (e *Engine) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST "+PathChat, e.serveChat)
	api.HandleFunc("POST "+PathCompletions, e.serveCompletion)
	api.HandleFunc("GET "+PathModels, e.serveModels)
	api.HandleFunc("GET "+PathHealth, e.serveHealth)
	api.HandleFunc("GET "+PathLoad, e.serveLoad)
	api.HandleFunc("GET "+PathEvents, e.serveEvents)
	api.HandleFunc("POST "+PathExport, e.serveExport)
	api.HandleFunc("POST "+PathImport, e.serveImport)
	api.HandleFunc("POST "+PathOrders, e.serveOrder)
	api.HandleFunc("POST "+PathAbort, e.serveAbort)
	root := e.controls()
	root.Handle("/", e.requireUp(api))
	return root
}

// requireUp passes requests on while the engine is up, blocks them while it is
// paused, and aborts their connections while it is crashed.
func (e *Engine) requireUp(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.waitUntilUp(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// waitUntilUp blocks while the engine is paused. It returns false if the engine
// is crashed or the caller has disconnected.
func (e *Engine) waitUntilUp(ctx context.Context) bool {
	e.mu.Lock()
	unpaused, crashSignal, crashed := e.unpaused, e.crashSignal, e.crashed
	e.mu.Unlock()
	if crashed {
		return false
	}
	select {
	case <-unpaused:
		return true
	case <-crashSignal:
		return false
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) { e.serveGenerate(w, r, true) }

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.serveGenerate(w, r, false)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request, chat bool) {
	req, err := e.readRequest(w, r, chat)
	if err != nil {
		writeError(w, err)
		return
	}
	s, err := e.submit(req)
	if err != nil {
		writeError(w, err)
		return
	}
	defer e.cancel(s, EndCancelled)
	out := newResponseWriter(w, req)
	if err := e.relay(r.Context(), s, out); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) readRequest(w http.ResponseWriter, r *http.Request, chat bool) (*request, error) {
	body, err := readAll(w, r)
	if err != nil {
		return nil, err
	}
	req, err := parseRequest(chat, body)
	if errors.Is(err, errResumeMismatch) {
		e.countMismatch()
	}
	if err != nil {
		return nil, err
	}
	req.idemKey = r.Header.Get(HeaderIdempotencyKey)
	req.id = r.Header.Get(HeaderRequestID)
	if req.id == "" {
		req.id = strings.ReplaceAll(uuid.NewString(), "-", "")
	}
	return req, nil
}

func (e *Engine) countMismatch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.totals.Mismatches++
}

// readAll returns the request's body.
func readAll(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		return nil, badRequest("body: %v", err)
	}
	return body, nil
}

// errTruncated marks an answer that ends early, since the engine crashed or the
// caller disconnected while it was paused, and an order interrupted by a crash.
var errTruncated = errors.New("engine: the answer is cut off")

// relay writes a sequence's tokens as they are produced.
func (e *Engine) relay(ctx context.Context, s *sequence, out *responseWriter) error {
	if err := out.begin(); err != nil {
		return err
	}
	for {
		select {
		case <-s.notify:
		case <-s.crashSignal:
			return errTruncated
		case <-ctx.Done():
			return ctx.Err()
		}
		if !e.waitUntilUp(ctx) {
			return errTruncated
		}
		p := e.progress(s)
		if p.end == EndCrashed {
			return errTruncated
		}
		if err := out.write(p); err != nil {
			return err
		}
		if p.end != EndNone {
			return out.finish(p)
		}
	}
}
