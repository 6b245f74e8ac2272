package relay

import (
	"net/http"

	"coveferry/internal/api"
	"coveferry/internal/completion"
	"coveferry/internal/request"
	"coveferry/internal/sse"
)

// streamSink writes chunks to the caller as they arrive.
type streamSink struct {
	r  *request.Request
	rc *http.ResponseController
	// unflushed reports that data was written but not flushed.
	unflushed bool
	// flushErr is the error of a failed flush.
	flushErr error
}

func newStreamSink(r *request.Request) *streamSink {
	return &streamSink{r: r, rc: http.NewResponseController(r.Writer)}
}

func (s *streamSink) chunk(data string, c completion.Chunk) error {
	if c.Usage && !s.r.IncludeUsage {
		return nil // requested by the agent, not by the caller
	}
	s.writeHeader()
	return s.writeEvent(data)
}

func (s *streamSink) finish() error {
	s.writeHeader()
	if err := s.writeEvent(sse.Done); err != nil {
		return err
	}
	return s.flush()
}

func (s *streamSink) writeHeader() {
	if s.r.Delivered.Started {
		return
	}
	s.r.Delivered.Started = true
	h := s.r.Writer.Header()
	h.Set("Content-Type", sse.ContentType)
	h.Set("Cache-Control", "no-store")
	h.Set(api.HeaderRequestID, s.r.ID)
	s.r.Writer.WriteHeader(http.StatusOK)
}

// writeEvent writes an event. The first event after a flush sets a write deadline, which
// also covers the following ones, since no read happens between them.
func (s *streamSink) writeEvent(data string) error {
	if !s.unflushed {
		s.unflushed = true
		api.ExtendWriteDeadline(s.r.Writer)
	}
	return sse.WriteData(s.r.Writer, data)
}

func (s *streamSink) flush() error {
	if s.unflushed && s.flushErr == nil {
		s.unflushed = false
		s.flushErr = s.rc.Flush()
	}
	return s.flushErr
}

// collectSink assembles the response for a caller that doesn't stream. The collector is
// kept in the request, since several attempts may add to it.
type collectSink struct{ r *request.Request }

func newCollectSink(r *request.Request) *collectSink {
	if r.Collected == nil {
		r.Collected = &completion.Collector{}
	}
	return &collectSink{r: r}
}

func (s *collectSink) chunk(data string, _ completion.Chunk) error {
	return s.r.Collected.Add(s.r.Kind, data)
}

// flush does nothing: the response is sent as a whole by finish.
func (s *collectSink) flush() error { return nil }

func (s *collectSink) finish() error {
	s.r.Collected.CountTokens(s.r.Delivered.Tokens)
	body, err := s.r.Collected.Response(s.r.Kind, s.r.Arrived)
	if err != nil {
		return err
	}
	h := s.r.Writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderRequestID, s.r.ID)
	s.r.Delivered.Started = true
	api.ExtendWriteDeadline(s.r.Writer)
	s.r.Writer.WriteHeader(http.StatusOK)
	_, err = s.r.Writer.Write(body)
	return err
}
