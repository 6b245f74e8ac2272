package control

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// A frame consists of one byte for the encoding of the body, the length of the
// body as a varint, and the body.
const (
	encodingPlain byte = 0
	encodingFlate byte = 1
)

const (
	// DefaultMaxMessage bounds an uncompressed message. It leaves room for a
	// full bundle of the largest fleet.
	DefaultMaxMessage = 2 << 20
	// compressThreshold is the minimum size in bytes of a compressed message.
	compressThreshold = 512
	// writeTimeout bounds the write of a message to a slow peer, readTimeout
	// the read of a message after its first byte.
	writeTimeout = 5 * time.Second
	readTimeout  = 5 * time.Second
)

// stream sends and receives JSON messages in frames over one connection. It is a
// jsonrpc2.ObjectStream: one goroutine reads, and the library serializes writes.
type stream struct {
	conn       net.Conn
	reader     *bufio.Reader
	maxMessage int
	// idleTimeout bounds the time between messages from the peer; 0 means no limit.
	idleTimeout time.Duration
}

func newStream(c net.Conn, maxMessage int, idle time.Duration) *stream {
	return &stream{conn: c, reader: bufio.NewReader(c), maxMessage: maxMessage, idleTimeout: idle}
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(body) > s.maxMessage {
		return errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(body), s.maxMessage)
	}
	frame := encodeFrame(body)
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "write message")
	}
	if _, err = s.conn.Write(frame); err != nil {
		_ = s.conn.Close() // part of the frame may have been sent, so no other can follow
	}
	return errors.Wrap(err, "write message")
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	if err := s.awaitMessage(); err != nil {
		return err
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return errors.Wrap(err, "read message")
	}
	body, err := readFrame(s.reader, s.maxMessage)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return malformed(err, "decode message")
	}
	return nil
}

// awaitMessage waits for the first byte of the next message. The error is io.EOF if
// the peer closed the connection between messages.
func (s *stream) awaitMessage() error {
	var deadline time.Time
	if s.idleTimeout > 0 {
		deadline = time.Now().Add(s.idleTimeout)
	}
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return errors.Wrap(err, "read message")
	}
	_, err := s.reader.Peek(1)
	return err
}

var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // can't happen: the level is valid
	}
	return w
}}

var flateReaders = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

func encodeFrame(body []byte) []byte {
	encoding := encodingPlain
	if len(body) >= compressThreshold {
		encoding, body = encodingFlate, deflate(body)
	}
	frame := make([]byte, 0, 1+binary.MaxVarintLen64+len(body))
	frame = append(frame, encoding)
	frame = binary.AppendUvarint(frame, uint64(len(body)))
	return append(frame, body...)
}

func deflate(body []byte) []byte {
	var out bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&out)
	_, _ = w.Write(body) // writes to a buffer don't fail
	_ = w.Close()
	return out.Bytes()
}

// readFrame returns the body of the next frame. It allocates memory only for data
// that has arrived, whatever length the frame declares, and decompresses at most
// maxMessage bytes.
func readFrame(in *bufio.Reader, maxMessage int) ([]byte, error) {
	encoding, err := in.ReadByte()
	if err != nil {
		return nil, err
	}
	length, err := binary.ReadUvarint(in)
	if err != nil {
		return nil, malformed(err, "read length")
	}
	if length > uint64(maxMessage) {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", length, maxMessage)
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, in, int64(length)); err != nil {
		return nil, malformed(err, "read body")
	}
	switch encoding {
	case encodingPlain:
		return body.Bytes(), nil
	case encodingFlate:
		return inflate(&body, maxMessage)
	default:
		return nil, errors.Wrapf(ErrMalformed, "unknown encoding %d", encoding)
	}
}

// malformed wraps a library's error as ErrMalformed.
func malformed(err error, operation string) error {
	return &CallError{Kind: ErrMalformed, Err: errors.Wrap(err, operation)}
}

func inflate(body io.Reader, maxMessage int) ([]byte, error) {
	r := flateReaders.Get().(io.ReadCloser)
	defer flateReaders.Put(r)
	if err := r.(flate.Resetter).Reset(body, nil); err != nil {
		return nil, malformed(err, "unpack")
	}
	out, err := io.ReadAll(io.LimitReader(r, int64(maxMessage)+1))
	if err != nil {
		return nil, malformed(err, "unpack")
	}
	if len(out) > maxMessage {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes decompressed", maxMessage)
	}
	return out, nil
}
