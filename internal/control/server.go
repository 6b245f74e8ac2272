package control

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/semaphore"

	"coveferry/internal/clock"
	"coveferry/internal/identity"
)

// protocol is the ALPN protocol of both sides, so that the handshake fails on a
// port that serves another protocol.
const protocol = "coveferry-control"

// Limits of a server.
const (
	defaultMaxConns  = 8192
	handshakeTimeout = 5 * time.Second
	// maxCallsPerConn is the maximum number of concurrent calls per connection.
	maxCallsPerConn   = 64
	serverIdleTimeout = 10 * time.Minute
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	// Identity authenticates this process. Peers with one of the Roles may
	// connect; each method restricts them further. If Identity is nil, in an
	// environment without certificates, connections don't use TLS and all peers
	// are treated as routers.
	Identity *identity.Identity
	Roles    []identity.Role
	// MaxMessage is the maximum message size in bytes; 0 means DefaultMaxMessage.
	MaxMessage int
	// MaxConns is the maximum number of open connections; 0 means 8,192.
	MaxConns int
	// Traffic counts the bytes of all connections; it may be nil.
	Traffic *Traffic
	Log     zerolog.Logger
}

// Server answers the calls of peers.
type Server struct {
	cfg     ServerConfig
	tls     *tls.Config
	methods map[string]*methodHandler

	ctx    context.Context
	cancel context.CancelFunc
	// mu guards stopped, so that no task is added to active once Stop waits
	// for it.
	mu      sync.Mutex
	stopped bool
	active  sync.WaitGroup // open connections and running handlers
}

// methodHandler is a registered method without its type parameters.
type methodHandler struct {
	roles   []identity.Role
	timeout time.Duration
	serve   func(ctx context.Context, peer identity.Peer, params []byte) (any, error)
}

// NewServer returns a server, which accepts connections once Run is called.
func NewServer(cfg ServerConfig) *Server {
	if cfg.MaxMessage == 0 {
		cfg.MaxMessage = DefaultMaxMessage
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = defaultMaxConns
	}
	s := &Server{cfg: cfg, methods: make(map[string]*methodHandler)}
	if cfg.Identity != nil {
		s.tls = cfg.Identity.ServerConfig(cfg.Roles...)
		s.tls.NextProtos = []string{protocol}
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *Server) add(name string, e *methodHandler) {
	if s.methods[name] != nil {
		panic("control: method " + name + " is registered twice")
	}
	s.methods[name] = e
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.cfg.Listener.Addr().String() }

// acceptRetryDelay is the pause after a failed accept, in which connections may end.
const acceptRetryDelay = 100 * time.Millisecond

// Run serves connections until Stop is called, and then returns nil.
func (s *Server) Run() error {
	l := netutil.LimitListener(s.cfg.Listener, s.cfg.MaxConns)
	for {
		conn, err := l.Accept()
		if s.ctx.Err() != nil {
			if err == nil {
				_ = conn.Close() // accepted after Stop
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrapf(err, "control: accept at %s", s.Addr())
		}
		if err != nil { // such as too many open files
			s.cfg.Log.Error().Err(err).Msg("control: accepting a connection failed")
			clock.Sleep(s.ctx, acceptRetryDelay)
			continue
		}
		if !s.startTask(func() { s.serveConn(conn) }) {
			_ = conn.Close() // accepted after Stop
		}
	}
}

// startTask runs f in a goroutine that Stop waits for. It returns false if the
// server has been stopped.
func (s *Server) startTask(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.active.Go(f)
	}
	return !s.stopped
}

func (s *Server) markStopped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// Stop closes the listener and all connections, cancels the contexts of the
// handlers and waits for them.
func (s *Server) Stop() error {
	s.cancel()
	s.markStopped()
	err := s.cfg.Listener.Close()
	s.active.Wait()
	return errors.Wrap(err, "control: stop")
}

func (s *Server) serveConn(raw net.Conn) {
	conn, peer, err := s.accept(s.cfg.Traffic.wrap(raw))
	if err != nil {
		s.cfg.Log.Debug().Err(err).Stringer("from", raw.RemoteAddr()).Msg("control connection refused")
		_ = raw.Close() // the handshake's error is the one to report
		return
	}
	rpc := jsonrpc2.NewConn(s.ctx, newStream(conn, s.cfg.MaxMessage, serverIdleTimeout), &session{
		server: s, peer: peer, callSlots: semaphore.NewWeighted(maxCallsPerConn),
	}, jsonrpc2.SetLogger(logAdapter{s.cfg.Log}))
	<-rpc.DisconnectNotify()
}

// accept performs the TLS handshake if the server uses TLS.
func (s *Server) accept(raw net.Conn) (net.Conn, identity.Peer, error) {
	if s.tls == nil {
		return raw, identity.Peer{Role: identity.RoleRouter}, nil
	}
	conn := tls.Server(raw, s.tls)
	peer, err := s.handshake(conn)
	return conn, peer, err
}

func (s *Server) handshake(conn *tls.Conn) (identity.Peer, error) {
	ctx, cancel := context.WithTimeout(s.ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return identity.Peer{}, errors.Wrap(err, "handshake")
	}
	cs := conn.ConnectionState()
	return identity.PeerOf(&cs)
}

// session is one peer's connection to a server.
type session struct {
	server    *Server
	peer      identity.Peer
	callSlots *semaphore.Weighted
}

// Handle implements jsonrpc2.Handler. Calls are handled concurrently.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return // every method has a reply, so notifications are ignored
	}
	if !s.callSlots.TryAcquire(1) {
		s.reply(ctx, conn, req.ID, nil, &Error{Code: CodeBusy, Message: "too many calls at once"})
		return
	}
	started := s.server.startTask(func() {
		defer s.callSlots.Release(1)
		result, err := s.serve(ctx, req)
		s.reply(ctx, conn, req.ID, result, err)
	})
	if !started {
		s.callSlots.Release(1)
	}
}

// serve runs the handler. It recovers a panic, so that one handler can't end the
// process with all its requests.
func (s *session) serve(ctx context.Context, req *jsonrpc2.Request) (result any, err error) {
	e := s.server.methods[req.Method]
	switch {
	case e == nil:
		return nil, &Error{Code: CodeUnknownMethod, Message: "unknown method " + req.Method}
	case !slices.Contains(e.roles, s.peer.Role):
		return nil, &Error{Code: CodeForbidden, Message: string(s.peer.Role) + " may not call " + req.Method}
	case req.Params == nil:
		return nil, &Error{Code: CodeInvalid, Message: "no parameters"}
	}
	defer func() {
		if p := recover(); p != nil {
			s.server.cfg.Log.Error().Str("method", req.Method).Interface("panic", p).Msg("handler panicked")
			err = &Error{Code: CodeInternal, Message: "internal error"}
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	return e.serve(ctx, s.peer, *req.Params)
}

func (s *session) reply(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, result any, err error) {
	if err == nil {
		err = conn.Reply(ctx, id, result)
		if !errors.Is(err, ErrTooLarge) {
			return // sent, or the peer has disconnected
		}
	}
	_ = conn.ReplyWithError(ctx, id, toWire(err)) // the peer may have disconnected
}

// logAdapter writes the library's messages to the log.
type logAdapter struct{ log zerolog.Logger }

// Printf implements jsonrpc2.Logger.
func (p logAdapter) Printf(format string, v ...any) { p.log.Debug().Msgf(format, v...) }
