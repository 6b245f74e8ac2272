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

	"coveferry/internal/identity"
)

// protocol is what both sides offer by ALPN, so that a connection to a port of
// another kind fails in the handshake.
const protocol = "coveferry-control"

// Bounds of a server.
const (
	defaultMaxConns  = 8192
	handshakeTimeout = 5 * time.Second
	// maxCallsPerConn bounds the calls of one connection that are open at once.
	maxCallsPerConn = 64
	serverIdleTimeout  = 10 * time.Minute
)

// ServerConfig is what a server needs.
type ServerConfig struct {
	Listener net.Listener
	// Identity shows who this process is. Roles may connect at all; each
	// method narrows them. Without an identity, where an environment offers no
	// certificates, connections are plain and all peers count as routers.
	Identity *identity.Identity
	Roles    []identity.Role
	// MaxMessage bounds a message in bytes; 0 is DefaultMaxMessage.
	MaxMessage int
	// MaxConns bounds the connections open at once; 0 is 8,192.
	MaxConns int
	// Traffic counts the bytes of all connections; it may be nil.
	Traffic *Traffic
	Log     zerolog.Logger
}

// Server answers the calls of peers.
type Server struct {
	cfg       ServerConfig
	tls       *tls.Config
	methods map[string]*methodHandler

	ctx    context.Context
	cancel context.CancelFunc
	// mu guards that nothing is added to open once Stop waits for it.
	mu      sync.Mutex
	stopped bool
	active    sync.WaitGroup // connections and handlers
}

// methodHandler is a method with its types taken off.
type methodHandler struct {
	roles   []identity.Role
	timeout time.Duration
	serve   func(ctx context.Context, peer identity.Peer, params []byte) (any, error)
}

// NewServer returns a server that answers once Run is called.
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

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.cfg.Listener.Addr().String() }

// Run answers calls until Stop; it then returns nil.
func (s *Server) Run() error {
	l := netutil.LimitListener(s.cfg.Listener, s.cfg.MaxConns)
	for {
		conn, err := l.Accept()
		if s.ctx.Err() != nil {
			if err == nil {
				_ = conn.Close() // it came too late
			}
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "control: accept at %s", s.Addr())
		}
		if !s.startTask(func() { s.serveConn(conn) }) {
			_ = conn.Close() // it came too late
		}
	}
}

// startTask runs f, for which Stop waits, unless the server stops already.
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

// Stop closes the listener and all connections and waits for the handlers,
// whose contexts end.
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

// accept makes the handshake, if there is one.
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
	server *Server
	peer   identity.Peer
	callSlots   *semaphore.Weighted
}

// Handle implements jsonrpc2.Handler. Calls are answered in any order.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return // every method has a reply
	}
	if !s.callSlots.TryAcquire(1) {
		s.reply(ctx, conn, req.ID, nil, &Error{Code: CodeBusy, Message: "too many calls at once"})
		return
	}
	begun := s.server.startTask(func() {
		defer s.callSlots.Release(1)
		result, err := s.serve(ctx, req)
		s.reply(ctx, conn, req.ID, result, err)
	})
	if !begun {
		s.callSlots.Release(1)
	}
}

// serve runs the handler. A handler that panics must not take the process and
// all its requests with it.
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
			return // sent, or the peer has left
		}
	}
	_ = conn.ReplyWithError(ctx, id, toWire(err)) // the peer may have left
}

// logAdapter passes the library's reports to the log.
type logAdapter struct{ log zerolog.Logger }

// Printf implements jsonrpc2.Logger.
func (p logAdapter) Printf(format string, v ...any) { p.log.Debug().Msgf(format, v...) }
