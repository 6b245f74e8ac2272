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
	// maxEventBytes limits one event of a stream, and maxCommentBytes the comments between two, which
	// may go on without end at an endpoint that makes no progress.
	maxEventBytes   = 256 << 10
	maxCommentBytes = 64 << 10
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
func relayRouted(r *request.Request) error {
	r.Framing = framingOf(r.Answer)
	if r.Stream && r.Answer.StatusCode == http.StatusOK {
		return relayRoutedStream(r)
	}
	return relayBuffered(r)
}

// relayBuffered buffers a plain response until it is complete.
func relayBuffered(r *request.Request) error {
	if r.Delivered.Started {
		return &BrokenError{Cause: errors.Newf("status %d where the rest of a stream is due", r.Answer.StatusCode)}
	}
	body, whole, err := readBuffered(r)
	if err != nil {
		return &BrokenError{Cause: err}
	}
	if !whole {
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
	s := routedStream{r: r, rc: http.NewResponseController(r.Writer)}
	buf := make([]byte, readBufferBytes)
	for {
		n, readErr := r.Answer.Body.Read(buf)
		if err := s.add(buf[:n]); err != nil {
			return err
		}
		switch {
		case errors.Is(readErr, io.EOF):
			return s.end()
		case readErr != nil:
			return &BrokenError{Cause: readErr}
		}
	}
}

// routedStream is the state of a stream that is relayed.
type routedStream struct {
	r  *request.Request
	rc *http.ResponseController
	// buffered is what has been received and not delivered: a part of an event, and the comments
	// before the first event. With those delivered, no other endpoint could begin the answer.
	buffered []byte
	// begun is set by the first event, and comments counts the bytes of comments since the last.
	begun    bool
	comments int
}

// errNoMemory is an event too long for the memory that is left.
var errNoMemory = errors.New("no memory is left for a long event")

// add adds what was received, and delivers complete events and the comments between them.
func (s *routedStream) add(received []byte) error {
	scanned := len(s.buffered)
	s.buffered = append(s.buffered, received...)
	end := completeEventsLen(s.buffered, scanned)
	var err error
	switch {
	case end == 0:
	case containsEvent(s.buffered[:end]):
		err = s.deliverEvents(end)
	case s.begun:
		err = s.deliverComments(end)
	default:
		s.comments = end
	}
	switch {
	case err != nil:
		return err
	case s.comments > maxCommentBytes:
		return &BrokenError{Cause: &upstream.EndlessError{Part: upstream.PartComments, Bytes: s.comments}}
	case len(s.buffered) > freeBufferBytes && !reserve(s.r, maxEventBytes):
		return &BrokenError{Cause: errNoMemory}
	case len(s.buffered) > maxEventBytes:
		return &BrokenError{Cause: &upstream.EndlessError{Part: upstream.PartEvent, Bytes: len(s.buffered)}}
	}
	return nil
}

func (s *routedStream) deliverEvents(end int) error {
	s.begun, s.comments = true, 0
	now := time.Now()
	if s.r.OnData != nil {
		s.r.OnData(now)
	}
	if s.r.OnEvent != nil {
		s.r.OnEvent(now)
	}
	events := s.buffered[:end]
	if err := s.write(events); err != nil {
		return err
	}
	recordGap(s.r)
	s.r.RecordEvents()
	// The number of tokens in an event is unknown, so each event counts as one.
	s.r.Delivered.Tokens += bytes.Count(events, eventDelimiter)
	if id := lastEventID(events); id != "" {
		s.r.Delivered.LastEvent = id
	}
	s.r.Events.Add(firstEventID(events), s.r.Delivered.LastEvent)
	s.drop(end)
	return nil
}

// deliverComments delivers comments, which are no progress.
func (s *routedStream) deliverComments(end int) error {
	s.comments += end
	if err := s.write(s.buffered[:end]); err != nil {
		return err
	}
	s.drop(end)
	return nil
}

// write sends a part of the stream to the caller at once.
func (s *routedStream) write(part []byte) error {
	writeResponseHeader(s.r)
	api.ExtendWriteDeadline(s.r.Writer)
	if _, err := s.r.Writer.Write(part); err != nil {
		return &CallerError{Cause: err}
	}
	if err := s.rc.Flush(); err != nil {
		return &CallerError{Cause: err}
	}
	return nil
}

func (s *routedStream) drop(n int) { s.buffered = append(s.buffered[:0], s.buffered[n:]...) }

// end handles the end of the answer. It is an error in the middle of an event. Without an event, the
// end of the connection may be a crash, and any other end one of a stream of comments only.
func (s *routedStream) end() error {
	switch {
	case endsWithConnection(s.r.Answer) && (len(s.buffered) > 0 || !s.begun):
		return &BrokenError{Cause: errConnectionEnded}
	case completeEventsLen(s.buffered, 0) < len(s.buffered):
		return &BrokenError{Cause: errors.New("the stream ended in the middle of an event")}
	case len(s.buffered) > 0:
		return s.deliverComments(len(s.buffered))
	}
	writeResponseHeader(s.r)
	return nil
}

// errConnectionEnded is the end of a connection that doesn't complete the answer. It counts as
// a broken connection.
var errConnectionEnded = errors.Wrap(io.ErrUnexpectedEOF, "the connection ended")

// endsWithConnection reports whether an answer has neither a length nor chunks.
func endsWithConnection(answer *http.Response) bool {
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}

func framingOf(answer *http.Response) request.Framing {
	if endsWithConnection(answer) {
		return request.FramingConnection
	}
	return request.FramingLength
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
	crlfDelimiter  = []byte("\r\n\r\n")
	idField        = []byte("id:")
)

// completeEventsLen returns the length of the complete events at the start of b. An event
// ends with an empty line, with LF or CRLF line endings. The first scanned bytes are known to
// hold no end of an event, unless these are comments before the first event.
func completeEventsLen(b []byte, scanned int) int {
	from := max(0, scanned-len(crlfDelimiter)+1)
	rest, end := b[from:], 0
	if i := bytes.LastIndex(rest, eventDelimiter); i >= 0 {
		end = from + i + len(eventDelimiter)
	}
	if i := bytes.LastIndex(rest, crlfDelimiter); i >= 0 {
		end = max(end, from+i+len(crlfDelimiter))
	}
	return end
}

// containsEvent reports whether complete events are more than comments and empty lines.
func containsEvent(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line[0] != ':' && line[0] != '\n' && line[0] != '\r' {
			return true
		}
	}
	return false
}

// firstEventID returns the ID of the first event that has one.
func firstEventID(events []byte) string {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
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
