package control

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"coveferry/internal/identity"
)

// Limits of a client.
const (
	dialTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the delay before a reconnect, which
	// grows by backoffFactor and is randomized by backoffJitter.
	minBackoff    = 100 * time.Millisecond
	maxBackoff    = 5 * time.Second
	backoffFactor = 2
	backoffJitter = 0.5
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// ClientConfig is the configuration shared by the clients of a process.
type ClientConfig struct {
	// Identity authenticates this process; if nil, connections don't use TLS.
	Identity *identity.Identity
	// Dial opens connections; nil means TCP.
	Dial Dial
	// MaxMessage is the maximum message size in bytes; 0 means DefaultMaxMessage.
	MaxMessage int
	// Traffic counts the bytes of all connections; it may be nil.
	Traffic *Traffic
	Log     zerolog.Logger
}

func (c ClientConfig) withDefaults() ClientConfig {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if c.MaxMessage == 0 {
		c.MaxMessage = DefaultMaxMessage
	}
	return c
}

// Target identifies the process that a client connects to.
type Target struct {
	Address string
	// Peer is the identity that the process must have. Its name may be
	// identity.AnyName.
	Peer identity.Peer
}

// Client calls the methods of one process. It is safe for concurrent use.
type Client struct {
	cfg    ClientConfig
	target Target
	tls    *tls.Config

	mu      sync.Mutex
	closed  bool
	conn    *jsonrpc2.Conn
	dialing chan struct{} // closed when the current dial ends; nil if there is none
	backoff *backoff.ExponentialBackOff
	retryAt time.Time
	lastErr error
}

// NewClient returns a client, which connects on its first call.
func NewClient(cfg ClientConfig, target Target) *Client {
	cfg = cfg.withDefaults()
	c := &Client{cfg: cfg, target: target, backoff: newBackoff()}
	if cfg.Identity != nil {
		c.tls = cfg.Identity.ClientConfig(target.Peer.Role, target.Peer.Name)
		c.tls.NextProtos = []string{protocol}
	}
	return c
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	b.Multiplier = backoffFactor
	b.RandomizationFactor = backoffJitter
	b.Reset()
	return b
}

// Address returns the address of the process.
func (c *Client) Address() string { return c.target.Address }

// Close closes the connection. Calls in flight and later calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn == nil {
		return nil
	}
	if err := conn.Close(); !errors.Is(err, jsonrpc2.ErrClosed) {
		return errors.Wrap(err, "control: close")
	}
	return nil
}

func (c *Client) call(ctx context.Context, method string, req, resp any) error {
	conn, err := c.connection(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, req, resp)
	if errors.Is(err, context.DeadlineExceeded) {
		// The peer may be gone without having closed the connection, so the
		// next call opens a new one.
		c.discard(conn)
	}
	return fromWire(err)
}

// connection returns the open connection or opens one. It fails at once during
// the backoff after a failed dial.
func (c *Client) connection(ctx context.Context) (*jsonrpc2.Conn, error) {
	for {
		conn, wait, err := c.currentConn()
		if err != nil || conn != nil {
			return conn, err
		}
		if wait == nil {
			return c.dial(ctx)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, unreachable(ctx.Err())
		}
	}
}

// currentConn returns the open connection, or a channel that is closed when the
// current dial ends, or an error. If all are nil, the caller has to dial.
func (c *Client) currentConn() (*jsonrpc2.Conn, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil, nil, unreachable(ErrClosed)
	case c.conn != nil && !isClosed(c.conn.DisconnectNotify()):
		return c.conn, nil, nil
	case c.dialing != nil:
		return nil, c.dialing, nil
	case time.Now().Before(c.retryAt):
		return nil, nil, unreachable(errors.Wrap(c.lastErr, "in backoff after a failed dial"))
	}
	c.conn = nil
	c.dialing = make(chan struct{})
	return nil, nil, nil
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

func (c *Client) dial(ctx context.Context) (*jsonrpc2.Conn, error) {
	conn, err := c.openConn(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.dialing)
	c.dialing = nil
	if err != nil {
		c.lastErr = err
		c.retryAt = time.Now().Add(c.backoff.NextBackOff())
		return nil, unreachable(err)
	}
	if c.closed {
		_ = conn.Close() // the client was closed during the dial
		return nil, unreachable(ErrClosed)
	}
	c.backoff.Reset()
	c.conn = conn
	return conn, nil
}

func (c *Client) openConn(ctx context.Context) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.cfg.Dial(ctx, "tcp", c.target.Address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	conn, err := c.handshake(ctx, c.cfg.Traffic.wrap(raw))
	if err != nil {
		_ = raw.Close() // the handshake's error is the one to report
		return nil, errors.Wrap(err, "handshake")
	}
	return jsonrpc2.NewConn(context.Background(), newStream(conn, c.cfg.MaxMessage, 0), noHandler{},
		jsonrpc2.SetLogger(logAdapter{c.cfg.Log})), nil
}

// handshake performs the TLS handshake if the client uses TLS.
func (c *Client) handshake(ctx context.Context, raw net.Conn) (net.Conn, error) {
	if c.tls == nil {
		return raw, nil
	}
	conn := tls.Client(raw, c.tls)
	return conn, conn.HandshakeContext(ctx)
}

// discard closes a connection, so that the next call opens a new one.
func (c *Client) discard(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = conn.Close() // it may be closed already
}

// noHandler is the handler of the client side, which receives no calls.
type noHandler struct{}

// Handle implements jsonrpc2.Handler.
func (noHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
