// Package quarantine knows requests under which endpoints end. It stands between
// attempts and choose.
package quarantine

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"

	"coveferry/internal/filters/dispatch"
	"coveferry/internal/filters/relay"
	"coveferry/internal/wire"
)

// endpointLost says whether an attempt ended with the endpoint that it had reached, as
// far as its error shows: the connection broke, or the agent says that its engine broke
// off. An answer, also one that says that it failed, shows that the endpoint lives.
func endpointLost(err error) bool {
	var refused *dispatch.RefusedError
	var noAnswer *dispatch.NoAnswerError
	var broken *relay.BrokenError
	switch {
	case errors.As(err, &refused):
		// With a status the engine has answered.
		return refused.Reason == wire.ReasonEngineFailed && refused.EngineStatus == 0
	case errors.As(err, &noAnswer):
		return noAnswer.Sent && isConnectionLoss(noAnswer.Cause)
	case errors.As(err, &broken):
		return broken.Ending == wire.EndingEngineFailed || broken.Ending == "" && isConnectionLoss(broken.Cause)
	}
	return false
}

// isConnectionLoss says whether the other side or the way there ended a connection, rather
// than that what came on it was no answer. A VM that went dark shows by a timeout of the
// connection.
func isConnectionLoss(err error) bool {
	for _, lossErr := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, lossErr) {
			return true
		}
	}
	return false
}

// answered says whether an attempt ended with an answer of the endpoint's own process, also one
// that says that it failed.
func answered(err error) bool {
	var answer *relay.AnswerError
	var refused *dispatch.RefusedError
	switch {
	case err == nil, errors.As(err, &answer):
		return true
	case errors.As(err, &refused):
		return refused.Reason != wire.ReasonNotHere
	}
	return false
}
