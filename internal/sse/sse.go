// Package sse reads and writes server-sent events as used by the completions protocol: unnamed
// events with one JSON chunk each, ended by Done.
package sse

import (
	"io"
	"iter"

	"github.com/tmaxmax/go-sse"
)

// Done is the data of the event that ends a complete answer.
const Done = "[DONE]"

// ContentType is the media type of an event stream.
const ContentType = "text/event-stream"

// maxEventBytes is the maximum size of one event of an engine's answer.
const maxEventBytes = 1 << 20

// EventError is the type of an event that contains an error instead of a chunk.
const EventError = "error"

// Event is one event of a stream.
type Event struct {
	Type string // empty for a chunk
	Data string
}

// Read returns an iterator over the events of a stream. Incomplete events are not yielded; an
// error ends the sequence.
func Read(r io.Reader) iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		for e, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			if !yield(Event{Type: e.Type, Data: e.Data}, err) || err != nil {
				return
			}
		}
	}
}

// ReadBatches is like Read, for a stream that is forwarded as it arrives. flush is called
// before each read that may block, after all events received so far were yielded, so that the
// caller can send what it has buffered. An error from flush ends the sequence; it must not be
// io.EOF.
func ReadBatches(r io.Reader, flush func() error) iter.Seq2[Event, error] {
	return Read(&flushingReader{r: r, flush: flush})
}

// flushingReader calls flush before each read.
type flushingReader struct {
	r     io.Reader
	flush func() error
}

// Read implements io.Reader.
func (p *flushingReader) Read(b []byte) (int, error) {
	if err := p.flush(); err != nil {
		return 0, err
	}
	return p.r.Read(b)
}

// WriteData writes an unnamed event.
func WriteData(w io.Writer, data string) error {
	var m sse.Message
	m.AppendData(data)
	_, err := m.WriteTo(w)
	return err
}

// WriteError writes an event of type EventError.
func WriteError(w io.Writer, data string) error {
	m := sse.Message{Type: sse.Type(EventError)}
	m.AppendData(data)
	_, err := m.WriteTo(w)
	return err
}
