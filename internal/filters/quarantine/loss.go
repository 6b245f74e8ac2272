// Package quarantine refuses requests that cause endpoints to crash. Put it between
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

// endpointLost reports whether the error suggests that the endpoint was lost during the
// attempt: the connection broke, or the agent reports that its engine failed. Any
// response, including an error response, shows that the endpoint is alive.
func endpointLost(err error) bool {
	var refused *dispatch.RefusedError
	var noResponse *dispatch.NoResponseError
	var broken *relay.BrokenError
	switch {
	case errors.As(err, &refused):
		// A status means that the engine responded.
		return refused.Reason == wire.ReasonEngineFailed && refused.EngineStatus == 0
	case errors.As(err, &noResponse):
		return noResponse.Sent && isConnectionLoss(noResponse.Cause)
	case errors.As(err, &broken):
		return broken.Ending == wire.EndingEngineFailed || broken.Ending == "" && isConnectionLoss(broken.Cause)
	}
	return false
}

// isConnectionLoss reports whether the peer or the network ended the connection, as
// opposed to an invalid response. A VM that fails silently causes a connection timeout.
func isConnectionLoss(err error) bool {
	for _, lossErr := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, lossErr) {
			return true
		}
	}
	return false
}

// responded reports whether the attempt ended with a response of the endpoint's own
// process, including error responses.
func responded(err error) bool {
	var endpointErr *relay.EndpointError
	var refused *dispatch.RefusedError
	switch {
	case err == nil, errors.As(err, &endpointErr):
		return true
	case errors.As(err, &refused):
		return refused.Reason != wire.ReasonWrongEndpoint
	}
	return false
}
