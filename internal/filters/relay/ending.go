package relay

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"coveferry/internal/request"
)

// errConnectionEnded is the end of a connection that doesn't complete the answer. It counts as
// a broken connection.
var errConnectionEnded = errors.Wrap(io.ErrUnexpectedEOF, "the connection ended")

func framingOf(answer *http.Response) request.Framing {
	if endsWithConnection(answer) {
		return request.FramingConnection
	}
	return request.FramingLength
}

// endsWithConnection reports whether an answer has neither a length nor chunks.
func endsWithConnection(answer *http.Response) bool {
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}
