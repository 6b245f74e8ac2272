package control

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
)

const fuzzMaxMessage = 4 << 10

func FuzzReadFrame(f *testing.F) {
	f.Add(encodeFrame([]byte(`{"jsonrpc":"2.0","method":"m","id":1}`)))
	f.Add(encodeFrame(bytes.Repeat([]byte("[1,2]"), compressThreshold)))
	f.Add(encodeFrame(bytes.Repeat([]byte{' '}, 2*fuzzMaxMessage)))
	f.Add([]byte{encodingFlate, 3, 1, 0, 0})
	f.Add([]byte{encodingPlain, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := readFrame(bufio.NewReader(bytes.NewReader(data)), fuzzMaxMessage)
		if err != nil {
			return
		}
		if len(body) > fuzzMaxMessage {
			t.Fatalf("%d bytes, at most %d", len(body), fuzzMaxMessage)
		}
		again, err := readFrame(bufio.NewReader(bytes.NewReader(encodeFrame(body))), fuzzMaxMessage)
		if err != nil || !bytes.Equal(again, body) {
			t.Fatalf("encoded and read again: %q, %v; want %q", again, err, body)
		}
	})
}

func TestReadFrameRefuses(t *testing.T) {
	bomb := encodeFrame([]byte(strings.Repeat(" ", 2*fuzzMaxMessage)))
	for name, c := range map[string]struct {
		frame []byte
		want  error
	}{
		"declared length too large": {[]byte{encodingPlain, 0xff, 0xff, 0x03}, ErrTooLarge},
		"too large decompressed":    {bomb, ErrTooLarge},
		"truncated":                 {[]byte{encodingPlain, 5, 'x'}, ErrMalformed},
		"unknown encoding":          {[]byte{9, 1, 'x'}, ErrMalformed},
		"not compressed":            {[]byte{encodingFlate, 2, 0xff, 0xff}, ErrMalformed},
		"invalid length":            {append([]byte{encodingPlain}, bytes.Repeat([]byte{0xff}, 11)...), ErrMalformed},
	} {
		_, err := readFrame(bufio.NewReader(bytes.NewReader(c.frame)), fuzzMaxMessage)
		gomega.NewWithT(t).Expect(errors.Is(err, c.want)).To(gomega.BeTrue(), "%s: %v", name, err)
	}
}
