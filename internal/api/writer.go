package api

import (
	"net/http"
	"time"
)

// writeTimeout bounds how long a caller may take to read one part of its answer.
const writeTimeout = 30 * time.Second

// ExtendWriteDeadline sets the write deadline for the next part of the answer. Call it before
// each part: otherwise the previous deadline applies, which has expired if the answer paused
// for longer.
func ExtendWriteDeadline(w http.ResponseWriter) {
	// Writers in tests may not support deadlines; these are written to without one.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// DeadlineWriter extends the write deadline before each write.
type DeadlineWriter struct{ W http.ResponseWriter }

// Write implements io.Writer.
func (p DeadlineWriter) Write(piece []byte) (int, error) {
	ExtendWriteDeadline(p.W)
	return p.W.Write(piece)
}
