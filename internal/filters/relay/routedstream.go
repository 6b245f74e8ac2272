package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/eventstream"
	"coveferry/internal/request"
	"coveferry/internal/upstream"
)

// Limits on streams, for endpoints that send without end and make no progress.
const (
	// maxEventBytes limits one event, maxCommentBytes the comments between two, and maxDuplicateBytes
	// the events of an attempt that the caller has.
	maxEventBytes     = 256 << 10
	maxCommentBytes   = 64 << 10
	maxDuplicateBytes = 4 << 20
)

// relayRoutedStream relays complete events only, each once and in order, so that a resumed stream can
// continue after the last event that the caller received.
func (f Filter) relayRoutedStream(ctx context.Context, r *request.Request) error {
	s := routedStream{
		r: r, rc: http.NewResponseController(r.Writer), metrics: f.Metrics,
		order: eventstream.NewChecker(&r.Delivered.Position, r.Service, f.Numbering),
	}
	defer s.close()
	buf := make([]byte, readBufferBytes)
	for {
		n, readErr := r.Answer.Body.Read(buf)
		if err := s.add(buf[:n]); err != nil {
			return err
		}
		switch {
		case errors.Is(readErr, io.EOF):
			return s.end(func() error { return f.confirmEnd(ctx, r) })
		case readErr != nil:
			return &BrokenError{Cause: readErr}
		}
	}
}

// routedStream is the state of a stream that is relayed.
type routedStream struct {
	r       *request.Request
	rc      *http.ResponseController
	metrics *Metrics
	order   *eventstream.Checker
	// buffered is the start of an event whose end hasn't been received, and scanned how much of it is
	// known to hold no end.
	buffered []byte
	scanned  int
	// ready is what the caller gets next: events, and the comments between them. Comments before the
	// first event stay there until it comes. With those delivered, no other endpoint could begin the
	// answer.
	ready []byte
	// events counts the events in ready; firstID is the ID of the first and lastID that of the last.
	events          int
	firstID, lastID string
	// begun is set by the first event. comments counts the bytes of comments since the last one, and
	// duplicateBytes those of events that were dropped.
	begun                    bool
	comments, duplicateBytes int
}

// errNoMemory is an event or a collected answer too long for the memory that is left.
var errNoMemory = errors.New("no memory is left for a long event or answer")

// add adds what was received, and delivers the complete events that come next.
func (s *routedStream) add(received []byte) error {
	s.buffered = append(s.buffered, received...)
	orderErr := s.takeEvents()
	if err := s.deliver(); err != nil {
		return err
	}
	if orderErr != nil {
		s.metrics.countFault(orderErr)
		return &BrokenError{Cause: orderErr}
	}
	return s.checkLimits()
}

// takeEvents moves the complete events that were received to ready, except those that the caller has.
// Its error is an *eventstream.OrderError.
func (s *routedStream) takeEvents() error {
	rest := s.buffered
	for {
		end := eventstream.End(rest, s.scanned)
		if end == 0 {
			break
		}
		if err := s.take(rest[:end]); err != nil {
			return err
		}
		rest, s.scanned = rest[end:], 0
	}
	s.buffered = append(s.buffered[:0], rest...)
	s.scanned = len(rest)
	return nil
}

// take decides on one complete event.
func (s *routedStream) take(text []byte) error {
	event := eventstream.Parse(text)
	verdict, err := s.order.Check(event)
	switch {
	case err != nil:
		return err
	case verdict == eventstream.Drop:
		s.duplicateBytes += len(text)
		return nil
	}
	s.ready = append(s.ready, text...)
	if !event.IsContent() {
		s.comments += len(text)
		return nil
	}
	s.begun, s.comments = true, 0
	if s.events == 0 {
		s.firstID = event.ID
	}
	s.events++
	s.lastID = event.ID
	return nil
}

func (s *routedStream) checkLimits() error {
	var cause error
	switch {
	case s.comments > maxCommentBytes:
		cause = &upstream.EndlessError{Part: upstream.PartComments, Bytes: s.comments}
	case s.duplicateBytes > maxDuplicateBytes:
		cause = &upstream.EndlessError{Part: upstream.PartRepeats, Bytes: s.duplicateBytes}
	case len(s.buffered) > maxEventBytes:
		cause = &upstream.EndlessError{Part: upstream.PartEvent, Bytes: len(s.buffered)}
	case len(s.buffered) > freeBufferBytes && !reserve(s.r, maxEventBytes):
		cause = errNoMemory
	default:
		return nil
	}
	return &BrokenError{Cause: cause}
}

// deliver sends what is ready to the caller.
func (s *routedStream) deliver() error {
	if !s.begun || len(s.ready) == 0 {
		return nil
	}
	if s.events > 0 {
		s.reportProgress()
	}
	if err := s.write(s.ready); err != nil {
		return err
	}
	if s.events > 0 {
		s.recordDelivery()
	}
	s.ready, s.events = s.ready[:0], 0
	if cap(s.ready) > freeBufferBytes {
		s.ready = nil // the memory of a long event is reserved once
	}
	return nil
}

// reportProgress tells dispatch of events. Comments are no progress.
func (s *routedStream) reportProgress() {
	now := time.Now()
	if s.r.OnData != nil {
		s.r.OnData(now)
	}
	if s.r.OnEvent != nil {
		s.r.OnEvent(now)
	}
}

func (s *routedStream) recordDelivery() {
	recordGap(s.r)
	s.r.RecordEvents()
	// The number of tokens in an event is unknown, so each event counts as one.
	s.r.Delivered.Tokens += s.events
	s.r.Delivered.Unresumable = s.r.Delivered.Position.Unresumable
	s.r.Events.Add(s.firstID, s.lastID)
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

// end handles the end of the answer. It is an error in the middle of an event, and in a stream without
// any event if the answer ends with its connection. confirm returns an error if that end isn't known to
// be one.
func (s *routedStream) end(confirm func() error) error {
	// An end of a line may follow the last event.
	partial := len(bytes.Trim(s.buffered, "\r\n")) > 0
	empty := !s.begun && s.r.Delivered.Position.LastID == ""
	switch {
	case (partial || empty) && s.r.EndsWithConnection:
		return &BrokenError{Cause: errConnectionEnded}
	case partial:
		return &BrokenError{Cause: errors.New("the stream ended in the middle of an event")}
	}
	if err := confirm(); err != nil {
		return err
	}
	writeResponseHeader(s.r)
	if rest := append(s.ready, s.buffered...); len(rest) > 0 {
		return s.write(rest)
	}
	return nil
}

// close records what the order of the events was.
func (s *routedStream) close() {
	s.order.Close()
	s.r.Events.Duplicates = s.order.Duplicates()
	s.metrics.countDuplicates(s.order.Duplicates())
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
