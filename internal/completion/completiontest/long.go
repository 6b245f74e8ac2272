// Package completiontest helps tests of what is kept of long answers.
package completiontest

import (
	"io"
	"net/http"
	"runtime"
)

// LongAnswer is the body of an answer that repeats an event for a number of bytes and then ends.
type LongAnswer struct {
	Event string
	// Bytes is about how much of the events there is.
	Bytes int
	// End follows the events.
	End string

	read  int
	rest  string
	heap  uint64
	atEnd bool
}

// Read implements io.Reader.
func (l *LongAnswer) Read(p []byte) (int, error) {
	if l.rest == "" {
		l.next()
	}
	if l.rest == "" {
		return 0, io.EOF
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	l.read += n
	return n, nil
}

func (l *LongAnswer) next() {
	switch {
	case l.read < l.Bytes:
		l.rest = l.Event
	case !l.atEnd:
		l.atEnd = true
		l.heap = HeapInUse()
		l.rest = l.End
	}
}

// Close implements io.Closer.
func (l *LongAnswer) Close() error { return nil }

// BytesRead returns how much of the answer was read.
func (l *LongAnswer) BytesRead() int { return l.read }

// HeapAtEnd returns HeapInUse after the last event; 0 if it wasn't read.
func (l *LongAnswer) HeapAtEnd() uint64 { return l.heap }

// HeapInUse returns the memory that is in use, in bytes.
func HeapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// DiscardWriter is an http.ResponseWriter and http.Flusher that keeps only the header.
type DiscardWriter struct{ header http.Header }

// NewDiscardWriter returns a writer with an empty header.
func NewDiscardWriter() DiscardWriter { return DiscardWriter{http.Header{}} }

// Header implements http.ResponseWriter.
func (d DiscardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d DiscardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d DiscardWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (d DiscardWriter) Flush() {}
