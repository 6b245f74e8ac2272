package control

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/identity"
)

// DefaultTimeout is the call timeout of methods that set no other.
const DefaultTimeout = 5 * time.Second

// Method describes a method of the control channel: its name, the types of its
// request and reply, and the roles that may call it.
type Method[Req, Resp any] struct {
	name    string
	roles   []identity.Role
	timeout time.Duration
}

// NewMethod returns a method that peers with the given roles may call. Without
// roles, no peer may call it.
func NewMethod[Req, Resp any](name string, roles ...identity.Role) Method[Req, Resp] {
	return Method[Req, Resp]{name: name, roles: slices.Clone(roles), timeout: DefaultTimeout}
}

// WithTimeout returns the method with another timeout, which applies at the client
// and in the handler.
func (m Method[Req, Resp]) WithTimeout(d time.Duration) Method[Req, Resp] {
	m.timeout = d
	return m
}

// Name returns the method's name on the wire.
func (m Method[Req, Resp]) Name() string { return m.name }

// Checker is implemented by requests that validate themselves. Check is called
// before the handler, and its error is returned with CodeInvalid.
type Checker interface {
	Check() error
}

// Handler answers the calls of a method. The peer is the identity in the
// certificate of the connection. An error that is a *Error is returned with its
// code, any other with CodeInternal.
type Handler[Req, Resp any] func(ctx context.Context, peer identity.Peer, req Req) (Resp, error)

// Register adds a method to a server. It must be called before Run, and panics if
// the method is already registered.
func Register[Req, Resp any](s *Server, m Method[Req, Resp], h Handler[Req, Resp]) {
	s.add(m.name, &methodHandler{
		roles:   m.roles,
		timeout: m.timeout,
		serve: func(ctx context.Context, peer identity.Peer, params []byte) (any, error) {
			req, err := decode[Req](params)
			if err != nil {
				return nil, err
			}
			return h(ctx, peer, req)
		},
	})
}

// decode parses and validates the parameters of a call. Unknown keys are ignored
// because a newer peer may send them.
func decode[Req any](params []byte) (Req, error) {
	var req Req
	if err := json.Unmarshal(params, &req); err != nil {
		return req, &Error{Code: CodeInvalid, Message: err.Error()}
	}
	if c, ok := any(req).(Checker); ok {
		if err := c.Check(); err != nil {
			return req, &Error{Code: CodeInvalid, Message: err.Error()}
		}
	}
	return req, nil
}

// Call calls a method and waits for the reply, at most for the method's timeout.
// The error is a *Error if the peer refused the call, ErrUnreachable if there was
// no connection, so that the call didn't arrive, or ErrOutcomeUnknown if it may
// have.
func Call[Req, Resp any](ctx context.Context, c *Client, m Method[Req, Resp], req Req) (Resp, error) {
	var resp Resp
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	err := c.call(ctx, m.name, req, &resp)
	return resp, errors.Wrapf(err, "%s at %s", m.name, c.Address())
}
