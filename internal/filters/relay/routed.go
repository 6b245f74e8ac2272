package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/request"
	"coveferry/internal/server"
	"coveferry/internal/upstream"
	"coveferry/internal/wire"
)

// Limits on the buffering of routed responses.
const (
	// maxBufferedBytes is the size up to which a plain response is buffered until it is
	// complete. If the connection breaks before that, the request can be retried or
	// answered with an accurate error.
	maxBufferedBytes = 256 << 10
	// freeBufferBytes may be buffered of each answer without a reservation.
	freeBufferBytes = 32 << 10
	// readBufferBytes is the maximum size of one read.
	readBufferBytes = 4 << 10
)

// EndpointError is an endpoint's own error response. The request ran. If it is idempotent,
// it may be retried at another endpoint; otherwise the response is passed to the caller
// unchanged.
type EndpointError struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error implements error.
func (e *EndpointError) Error() string {
	return fmt.Sprintf("relay: the endpoint answered that it failed: status %d", e.Status)
}

// Write writes the response to the caller.
func (e *EndpointError) Write(w http.ResponseWriter) error {
	copyHeader(w.Header(), e.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(e.Body)))
	api.ExtendWriteDeadline(w)
	w.WriteHeader(e.Status)
	_, err := w.Write(e.Body)
	return err
}

// API implements api.Convertible, for code that needs to know whether the request ran. The
// caller receives the response itself.
func (e *EndpointError) API() *api.Error {
	return &api.Error{
		Status: e.Status, Type: api.TypeUpstream, Code: "endpoint_failed",
		Message: "the endpoint failed", Run: wire.RunYes,
	}
}

// relayRouted passes an endpoint's response on unchanged.
func (f Filter) relayRouted(ctx context.Context, r *request.Request) error {
	r.EndsWithConnection = server.EndsWithConnection(r.Answer)
	if r.Stream && r.Answer.StatusCode == http.StatusOK {
		return f.relayRoutedStream(ctx, r)
	}
	return f.relayBuffered(ctx, r)
}

// relayBuffered buffers a plain response until it is complete.
func (f Filter) relayBuffered(ctx context.Context, r *request.Request) error {
	if r.Delivered.Started {
		return &BrokenError{Cause: errors.Newf("status %d where the rest of a stream is due", r.Answer.StatusCode)}
	}
	body, whole, err := readBuffered(r)
	if err != nil {
		return &BrokenError{Cause: err}
	}
	if !whole {
		return f.relayLarge(ctx, r, body)
	}
	if err := f.confirmEnd(ctx, r); err != nil {
		return err
	}
	response := &EndpointError{Status: r.Answer.StatusCode, Header: r.Answer.Header, Body: body}
	if r.Answer.StatusCode >= http.StatusInternalServerError {
		return response
	}
	r.Delivered.Started = true
	recordFirstToken(r)
	if err := response.Write(r.Writer); err != nil {
		return &CallerError{Cause: err}
	}
	return nil
}

// readBuffered reads a plain response as far as it may be buffered, and reports whether that is all
// of it.
func readBuffered(r *request.Request) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r.Answer.Body, freeBufferBytes))
	if err != nil || len(body) < freeBufferBytes {
		return body, true, err
	}
	if !reserve(r, maxBufferedBytes) {
		return body, false, nil
	}
	buf := make([]byte, bufferSize(r.Answer))
	return fill(buf, copy(buf, body), r.Answer.Body)
}

// bufferSize returns the size of the buffer for an answer longer than freeBufferBytes: one byte more
// than its length if that is known, to read its end.
func bufferSize(answer *http.Response) int64 {
	if answer.ContentLength < 0 {
		return maxBufferedBytes
	}
	return min(answer.ContentLength+1, maxBufferedBytes)
}

// fill reads into buf, of which so many bytes are filled, and reports whether the reader ended.
func fill(buf []byte, filled int, from io.Reader) (read []byte, whole bool, err error) {
	for filled < len(buf) {
		n, err := from.Read(buf[filled:])
		filled += n
		if errors.Is(err, io.EOF) {
			return buf[:filled], true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return buf, false, nil
}

func reserve(r *request.Request, bytes int64) bool {
	return r.ReserveAnswer == nil || r.ReserveAnswer(bytes)
}

// relayLarge relays a response that is too large to buffer.
func (f Filter) relayLarge(ctx context.Context, r *request.Request, head []byte) error {
	writeResponseHeader(r)
	r.Delivered.Unresumable = true
	out := api.DeadlineWriter{W: r.Writer}
	if _, err := out.Write(head); err != nil {
		return &CallerError{Cause: err}
	}
	if _, err := io.Copy(out, r.Answer.Body); err != nil {
		return &BrokenError{Cause: err}
	}
	return f.confirmEnd(ctx, r)
}

// writeResponseHeader sends the response header unless it was sent before.
func writeResponseHeader(r *request.Request) {
	if r.Delivered.Started {
		return
	}
	r.Delivered.Started = true
	copyHeader(r.Writer.Header(), r.Answer.Header)
	if r.Answer.ContentLength >= 0 && !r.Stream {
		r.Writer.Header().Set("Content-Length", strconv.FormatInt(r.Answer.ContentLength, 10))
	}
	recordFirstToken(r)
	r.Writer.WriteHeader(r.Answer.StatusCode)
}

// connectionHeaders are hop-by-hop headers, and headers that the router sets itself.
var connectionHeaders = append([]string{"Content-Length"}, upstream.HopByHopHeaders...)

// copyHeader copies response headers but leaves the caller's connection headers alone,
// such as "Connection: close" set by a router that is stopping.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(connectionHeaders, name) {
			to[name] = values
		}
	}
}
