package eventstream

import "bytes"

// maxEndBytes is the length of the longest end of an event: CRLF twice.
const maxEndBytes = 4

// End returns the length of the first complete event at the start of b, with the empty line that ends
// it, or 0 if there is none. The first scanned bytes are known to hold no end of an event.
//
// A CR at the end of b may be half of a CRLF. It ends an event only after another bare CR, so that an
// event isn't passed on with half of the end of its last line.
func End(b []byte, scanned int) int {
	for from := max(0, scanned-maxEndBytes+1); ; {
		i := bytes.IndexAny(b[from:], "\r\n")
		if i < 0 {
			return 0
		}
		lineEnd := from + i
		if n := emptyLine(b[lineEnd:]); n > 0 {
			return lineEnd + n
		}
		from = lineEnd + 1
	}
}

// emptyLine returns the length of the end of a line and an empty line after it at the start of b, or 0 if
// these aren't there.
func emptyLine(b []byte) int {
	for _, end := range eventEnds {
		if bytes.HasPrefix(b, end) {
			return len(end)
		}
	}
	return 0
}

// eventEnds are an end of a line and an empty line. A longer one stands before its own start.
var eventEnds = [][]byte{[]byte("\r\n\r\n"), []byte("\n\r\n"), []byte("\n\n"), []byte("\r\r"), []byte("\r\n\n")}
