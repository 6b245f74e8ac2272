// Package eventstream reads server-sent events and decides which of them continue what a caller has.
// All streams of endpoints without agents pass through it, byte for byte; package sse decodes and encodes
// those of the completions protocol.
package eventstream

import "bytes"

// Event is what an event says of its place in the stream.
type Event struct {
	// ID is the event's ID. HasID says that it has one: an empty one takes back earlier IDs.
	ID    string
	HasID bool
	// HasData says that it has data. One with neither data nor an ID is no part of the content, such
	// as a comment or a retry time.
	HasData bool
}

// IsContent reports whether the event is a part of the stream's content.
func (e Event) IsContent() bool { return e.HasID || e.HasData }

// Names of fields.
const (
	fieldID   = "id"
	fieldData = "data"
)

// byteOrderMark may stand before the first event.
var byteOrderMark = []byte("\uFEFF")

// Parse reads the fields of one complete event. Lines may end with LF, CRLF or CR.
func Parse(event []byte) Event {
	var e Event
	event = bytes.TrimPrefix(event, byteOrderMark)
	for len(event) > 0 {
		var line []byte
		line, event = cutLine(event)
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case fieldData:
			e.HasData = true
		case fieldID:
			e.HasID = true
			e.ID = string(bytes.TrimSpace(value))
		}
	}
	return e
}

// cutLine returns the first line without its end, and what follows it.
func cutLine(b []byte) (line, rest []byte) {
	i := bytes.IndexAny(b, "\r\n")
	if i < 0 {
		return b, nil
	}
	line, rest = b[:i], b[i+1:]
	if b[i] == '\r' && len(rest) > 0 && rest[0] == '\n' {
		rest = rest[1:]
	}
	return line, rest
}
