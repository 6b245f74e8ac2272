// Package server runs an HTTP server as an actor of oklog/run and shuts it down
// gracefully. It also provides the HTTP clients of the system's processes.
package server

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Limits of every server.
const (
	// maxStreams bounds the open requests of one HTTP/2 connection. A request
	// stays open while it waits in an agent's queue.
	maxStreams = 4096
	// streamBuffer is the flow-control window of one stream in bytes.
	streamBuffer = 64 << 10
	idleTimeout  = 2 * time.Minute
)

// Config configures a Server.
type Config struct {
	Listener net.Listener
	Handler  http.Handler
	TLS      *tls.Config // nil serves plain HTTP
	// HeaderTimeout and MaxHeaderBytes bound the header of a request.
	HeaderTimeout  time.Duration
	MaxHeaderBytes int
	// Log receives the errors of the HTTP library, such as failed handshakes.
	Log zerolog.Logger
	// Grace is how long open requests may continue after Stop.
	Grace time.Duration
	// QuietPeriod is how long no request must have been open before StopWithin
	// closes connections. net/http closes a connection as soon as its
	// response ends. A peer whose response header didn't announce this may send
	// its next request at that moment, and the request would be lost.
	QuietPeriod time.Duration
}

// Server is an HTTP server.
type Server struct {
	cfg      Config
	http     *http.Server
	requests *requestTracker
	stopping atomic.Bool
}

// New returns a server, which accepts connections once Run is called.
func New(cfg Config) *Server {
	cfg.Listener = closeOnce(cfg.Listener)
	t := &requestTracker{}
	return &Server{cfg: cfg, requests: t, http: &http.Server{
		Handler:           t.track(resetUnfinished(cfg.Handler)),
		ConnContext:       withConn,
		TLSConfig:         cfg.TLS,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(cfg.Log, "", 0),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:      maxStreams,
			MaxReceiveBufferPerStream: streamBuffer,
		},
	}}
}

// closeOnceListener closes its listener only once, because both StopWithin and the
// HTTP library close it.
type closeOnceListener struct {
	net.Listener
	close func() error
}

func closeOnce(l net.Listener) net.Listener {
	return closeOnceListener{Listener: l, close: sync.OnceValue(l.Close)}
}

// Close implements net.Listener.
func (l closeOnceListener) Close() error { return l.close() }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.cfg.Listener.Addr().String() }

// Run serves until Stop is called. It then returns nil at once, while Stop still
// waits for open requests.
func (s *Server) Run() error {
	err := s.serve()
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() {
		return nil
	}
	return errors.Wrapf(err, "serve %s", s.Addr())
}

func (s *Server) serve() error {
	if s.cfg.TLS == nil {
		return s.http.Serve(s.cfg.Listener)
	}
	return s.http.ServeTLS(s.cfg.Listener, "", "")
}

// Stop closes the listener and waits for open requests up to Grace. It then closes
// the remaining connections and returns an error if there were any.
func (s *Server) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.Grace)
	defer cancel()
	return s.shutdown(ctx, s.cfg.Grace)
}

// StopWithin is Stop with another grace period. Before it closes connections it
// waits, within the grace period, until QuietPeriod has passed without a request.
func (s *Server) StopWithin(grace time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	s.stopping.Store(true)
	_ = s.cfg.Listener.Close() // a failure must not keep open requests from completing
	s.requests.waitIdle(ctx, s.cfg.QuietPeriod)
	return s.shutdown(ctx, grace)
}

func (s *Server) shutdown(ctx context.Context, grace time.Duration) error {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close() // the first error is the one to report
		return errors.Wrapf(err, "requests at %s were aborted after %s", s.Addr(), grace)
	}
	return nil
}

// Grace returns how long open requests may continue after Stop.
func (s *Server) Grace() time.Duration { return s.cfg.Grace }

// Kill closes the server at once, to simulate a crash.
func (s *Server) Kill() error { return s.http.Close() }
