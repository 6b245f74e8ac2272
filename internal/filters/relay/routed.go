package relay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/request"
	"coveferry/internal/upstream"
	"coveferry/internal/wire"
)

// Limits on the buffering of routed responses.
const (
	// maxBufferedBytes is the size up to which a plain response is buffered until it is
	// complete. If the connection breaks before that, the request can be retried or
	// answered with an accurate error.
	maxBufferedBytes = 256 << 10
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
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
func relayRouted(r *request.Request) error {
	if r.Stream && r.Answer.StatusCode == http.StatusOK {
		return relayRoutedStream(r)
	}
	return relayBuffered(r)
}

// relayBuffered buffers a plain response until it is complete.
func relayBuffered(r *request.Request) error {
	body, err := io.ReadAll(io.LimitReader(r.Answer.Body, maxBufferedBytes))
	if err != nil {
		return &BrokenError{Cause: err}
	}
	if len(body) == maxBufferedBytes {
		return relayLarge(r, body)
	}
	response := &EndpointError{Status: r.Answer.StatusCode, Header: r.Answer.Header, Body: body}
	if r.Answer.StatusCode >= http.StatusInternalServerError {
		return response
	}
	r.Delivered.Started = true
	r.EndUnconfirmed = len(body) == 0 && endsWithConnection(r.Answer)
	recordFirstToken(r)
	if err := response.Write(r.Writer); err != nil {
		return &CallerError{Cause: err}
	}
	return nil
}

// relayLarge relays a response that is too large to buffer.
func relayLarge(r *request.Request, head []byte) error {
	writeResponseHeader(r)
	r.Delivered.Unresumable = true
	out := api.DeadlineWriter{W: r.Writer}
	if _, err := out.Write(head); err != nil {
		return &CallerError{Cause: err}
	}
	if _, err := io.Copy(out, r.Answer.Body); err != nil {
		return &BrokenError{Cause: err}
	}
	return nil
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

// relayRoutedStream relays complete events only, so that a resumed stream can continue
// after the last event that the caller received.
func relayRoutedStream(r *request.Request) error {
	var buffered []byte
	buf := make([]byte, readBufferBytes)
	rc := http.NewResponseController(r.Writer)
	events := false
	for {
		n, err := r.Answer.Body.Read(buf)
		buffered = append(buffered, buf[:n]...)
		if n > 0 && r.OnData != nil {
			r.OnData(time.Now())
		}
		end := completeEventsLen(buffered)
		if end > 0 {
			events = true
			if r.OnEvent != nil {
				r.OnEvent(time.Now())
			}
			if err := deliverEvents(r, rc, buffered[:end]); err != nil {
				return err
			}
			buffered = append(buffered[:0], buffered[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return endStream(r, buffered, events)
		case err != nil:
			return &BrokenError{Cause: err}
		case len(buffered) > maxEventBytes:
			return &BrokenError{Cause: errors.Newf("an event is longer than %d bytes", maxEventBytes)}
		}
	}
}

// errConnectionEnded is the end of a connection that doesn't complete the answer. It counts as
// a broken connection.
var errConnectionEnded = errors.Wrap(io.ErrUnexpectedEOF, "the connection ended")

// endStream handles EOF from the endpoint after an attempt's events. It is an error in the
// middle of an event. Without an event, the end of the connection may be a crash.
func endStream(r *request.Request, buffered []byte, events bool) error {
	switch {
	case endsWithConnection(r.Answer) && (len(buffered) > 0 || !events):
		return &BrokenError{Cause: errConnectionEnded}
	case len(buffered) > 0:
		return &BrokenError{Cause: errors.New("the stream ended in the middle of an event")}
	}
	writeResponseHeader(r)
	return nil
}

// endsWithConnection reports whether an answer has neither a length nor chunks.
func endsWithConnection(answer *http.Response) bool {
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}

func deliverEvents(r *request.Request, rc *http.ResponseController, events []byte) error {
	writeResponseHeader(r)
	api.ExtendWriteDeadline(r.Writer)
	if _, err := r.Writer.Write(events); err != nil {
		return &CallerError{Cause: err}
	}
	if err := rc.Flush(); err != nil {
		return &CallerError{Cause: err}
	}
	recordGap(r)
	r.RecordEvents()
	// The number of tokens in an event is unknown, so each event counts as one.
	r.Delivered.Tokens += bytes.Count(events, eventDelimiter)
	if id := lastEventID(events); id != "" {
		r.Delivered.LastEvent = id
	}
	return nil
}

// recordGap records the longest gap between deliveries of the stream, which shows whether
// it was late.
func recordGap(r *request.Request) {
	d := &r.Delivered
	now := time.Now()
	if !d.LastSentAt.IsZero() {
		d.MaxGap = max(d.MaxGap, now.Sub(d.LastSentAt))
	}
	d.LastSentAt = now
}

var (
	eventDelimiter = []byte("\n\n")
	idField        = []byte("id:")
)

// completeEventsLen returns the length of the complete events at the start of b. An event
// ends with an empty line, with LF or CRLF line endings.
func completeEventsLen(b []byte) int {
	end := bytes.LastIndex(b, eventDelimiter)
	if end >= 0 {
		end += len(eventDelimiter)
	}
	if crlf := bytes.LastIndex(b, []byte("\r\n\r\n")); crlf >= 0 {
		end = max(end, crlf+4)
	}
	return max(end, 0)
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	rest := events
	for {
		i := bytes.LastIndex(rest, idField)
		if i < 0 {
			return ""
		}
		if i == 0 || rest[i-1] == '\n' {
			line, _, _ := bytes.Cut(rest[i+len(idField):], []byte("\n"))
			return string(bytes.TrimSpace(line))
		}
		rest = rest[:i]
	}
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
