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

// Bounds of what is held of a routed answer.
const (
	// maxBufferedBytes is the size up to which a plain answer is held back until
	// it is whole, so that one that breaks off can still be replaced by
	// another or by an honest error.
	maxBufferedBytes = 256 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// readBufferBytes is what is read at once.
	readBufferBytes = 4 << 10
)

// AnswerError is an endpoint's own answer that says that it failed. The request
// ran. Where it may run again another endpoint may do better; else the answer
// goes to the caller as it is.
type AnswerError struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("relay: the endpoint answered that it failed: status %d", e.Status)
}

// Write passes the answer on.
func (e *AnswerError) Write(w http.ResponseWriter) error {
	copyHeader(w.Header(), e.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(e.Body)))
	api.GiveTime(w)
	w.WriteHeader(e.Status)
	_, err := w.Write(e.Body)
	return err
}

// API implements api.Convertible, for those who ask what ran.
func (e *AnswerError) API() *api.Error {
	return &api.Error{
		Status: e.Status, Type: api.TypeUpstream, Code: "endpoint_failed",
		Message: "the endpoint failed", Run: wire.RunYes,
	}
}

// relayRouted passes an endpoint's answer on byte for byte.
func relayRouted(r *request.Request) error {
	if r.Stream && r.Answer.StatusCode == http.StatusOK {
		return relayRoutedStream(r)
	}
	return relayBuffered(r)
}

// relayBuffered holds a plain answer back until it is whole.
func relayBuffered(r *request.Request) error {
	body, err := io.ReadAll(io.LimitReader(r.Answer.Body, maxBufferedBytes))
	if err != nil {
		return &BrokenError{Cause: err}
	}
	if len(body) == maxBufferedBytes {
		return relayLarge(r, body)
	}
	answer := &AnswerError{Status: r.Answer.StatusCode, Header: r.Answer.Header, Body: body}
	if r.Answer.StatusCode >= http.StatusInternalServerError {
		return answer
	}
	r.Delivered.Started = true
	recordFirstToken(r)
	if err := answer.Write(r.Writer); err != nil {
		return &CallerError{Cause: err}
	}
	return nil
}

// relayLarge passes on an answer that is too large to be held back.
func relayLarge(r *request.Request, head []byte) error {
	writeResponseHeader(r)
	r.Delivered.Unresumable = true
	out := api.PieceWriter{W: r.Writer}
	if _, err := out.Write(head); err != nil {
		return &CallerError{Cause: err}
	}
	if _, err := io.Copy(out, r.Answer.Body); err != nil {
		return &BrokenError{Cause: err}
	}
	return nil
}

// writeResponseHeader sends the head of the answer, once.
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

// relayRoutedStream passes events on as they come, each whole: what follows a
// break goes on behind the last event that the caller has.
func relayRoutedStream(r *request.Request) error {
	var buffered []byte
	buf := make([]byte, readBufferBytes)
	rc := http.NewResponseController(r.Writer)
	for {
		n, err := r.Answer.Body.Read(buf)
		buffered = append(buffered, buf[:n]...)
		if n > 0 && r.Heard != nil {
			r.Heard(time.Now())
		}
		end := completeEventsLen(buffered)
		if end > 0 {
			if r.HeardEvent != nil {
				r.HeardEvent(time.Now())
			}
			if err := deliverEvents(r, rc, buffered[:end]); err != nil {
				return err
			}
			buffered = append(buffered[:0], buffered[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return endStream(r, buffered)
		case err != nil:
			return &BrokenError{Cause: err}
		case len(buffered) > maxEventBytes:
			return &BrokenError{Cause: errors.Newf("an event is longer than %d bytes", maxEventBytes)}
		}
	}
}

// endStream ends a stream that the endpoint ended, in the middle of an event or
// behind a whole one.
func endStream(r *request.Request, buffered []byte) error {
	if len(buffered) > 0 {
		return &BrokenError{Cause: errors.New("the stream ended in the middle of an event")}
	}
	writeResponseHeader(r)
	return nil
}

func deliverEvents(r *request.Request, rc *http.ResponseController, events []byte) error {
	writeResponseHeader(r)
	api.GiveTime(r.Writer)
	if _, err := r.Writer.Write(events); err != nil {
		return &CallerError{Cause: err}
	}
	if err := rc.Flush(); err != nil {
		return &CallerError{Cause: err}
	}
	recordGap(r)
	// Every event counts, as the tokens in it aren't known.
	r.Delivered.Tokens += bytes.Count(events, eventDelimiter)
	if id := lastEventID(events); id != "" {
		r.Delivered.LastEvent = id
	}
	return nil
}

// recordGap keeps the longest pause of the stream, by which it may be late.
func recordGap(r *request.Request) {
	d := &r.Delivered
	now := time.Now()
	if !d.LastAt.IsZero() {
		d.MaxGap = max(d.MaxGap, now.Sub(d.LastAt))
	}
	d.LastAt = now
}

var (
	eventDelimiter = []byte("\n\n")
	idField        = []byte("id:")
)

// completeEventsLen is the length of the whole events at the start of b. Events end
// with an empty line, of either of the two usual line ends.
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

// lastEventID is the id of the last event that has one.
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

// connectionHeaders concern one connection only, or are set anew.
var connectionHeaders = append([]string{"Content-Length"}, upstream.HopByHop...)

// copyHeader leaves alone what is set of the caller's connection, such as
// "Connection: close" at a router that stops.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(connectionHeaders, name) {
			to[name] = values
		}
	}
}
