// Package web holds HTTP helpers shared by the stub servers (stand-ins): JSON bodies,
// error bodies, and a gate that simulates an outage.
package web

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// bodyLimit bounds the JSON body of a request in bytes.
const bodyLimit = 1 << 20

// ErrBadBody marks a body that isn't the expected JSON.
var ErrBadBody = errors.New("bad body")

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // the client may have disconnected
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error string `json:"error"`
}

// WriteError answers with an error body.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, ErrorBody{Error: message})
}

// ReadJSON decodes a request's body. Its errors are marked as ErrBadBody.
func ReadJSON[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var v T
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err == nil {
		err = json.Unmarshal(data, &v)
	}
	if err != nil {
		return v, errors.Mark(errors.Wrap(err, "body"), ErrBadBody)
	}
	return v, nil
}

// AbortConnection closes the connection of the current request without
// completing its answer. It doesn't return.
func AbortConnection() { panic(http.ErrAbortHandler) }

// Gate simulates outages. While it is closed, the connections of all requests,
// including those in progress, are aborted. It is initially open and safe for
// concurrent use.
type Gate struct {
	mu      sync.Mutex
	closed  bool
	cancels map[*http.Request]context.CancelFunc
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{cancels: make(map[*http.Request]context.CancelFunc)} }

// SetClosed closes or opens the gate.
func (g *Gate) SetClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	if !closed {
		return
	}
	for _, cancel := range g.cancels {
		cancel()
	}
	clear(g.cancels)
}

// Wrap puts the gate in front of a handler. Closing the gate cancels the
// contexts of its requests and aborts their connections, whatever the handler
// has written.
func (g *Gate) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		if !g.enter(r, cancel) {
			AbortConnection()
		}
		next.ServeHTTP(w, r.WithContext(ctx))
		if !g.leave(r) {
			AbortConnection()
		}
	})
}

func (g *Gate) enter(r *http.Request, cancel context.CancelFunc) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.cancels[r] = cancel
	return true
}

// leave reports whether the gate stayed open during the request.
func (g *Gate) leave(r *http.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, open := g.cancels[r]
	delete(g.cancels, r)
	return open
}
