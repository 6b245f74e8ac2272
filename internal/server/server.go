// Package server runs an HTTP server as an actor of oklog/run and stops it
// gracefully: requests under way are finished within a bound.
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

// Bounds of every server.
const (
	// maxStreams bounds the open requests of one HTTP/2 connection; an
	// agent's queue holds them all.
	maxStreams = 4096
	// streamBuffer bounds what a peer may send ahead in one stream.
	streamBuffer = 64 << 10
	idleTimeout  = 2 * time.Minute
)

// Config is what a server needs.
type Config struct {
	Listener net.Listener
	Handler  http.Handler
	TLS      *tls.Config // nil serves plain HTTP
	// HeaderTimeout and MaxHeaderBytes bound a request's head.
	HeaderTimeout  time.Duration
	MaxHeaderBytes int
	// Log takes what the library reports, such as failed handshakes.
	Log zerolog.Logger
	// Grace is how long requests under way may go on after Stop.
	Grace time.Duration
	// Linger is how long no request must have been open before StopWithin
	// closes connections. The library closes one as soon as its answer ends,
	// and a peer that wasn't told in the answer's head may send the next
	// request in that moment, which would be lost.
	Linger time.Duration
}

// Server is an HTTP server.
type Server struct {
	cfg      Config
	http     *http.Server
	requests  *requestTracker
	stopping atomic.Bool
}

// New returns a server that serves once Run is called.
func New(cfg Config) *Server {
	cfg.Listener = closeOnce(cfg.Listener)
	t := &requestTracker{}
	return &Server{cfg: cfg, requests: t, http: &http.Server{
		Handler:           t.track(cfg.Handler),
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

// closeOnceListener closes its listener once, however often it is asked to: both a
// step of a planned stop and the HTTP library do.
type closeOnceListener struct {
	net.Listener
	close func() error
}

func closeOnce(l net.Listener) net.Listener {
	return closeOnceListener{Listener: l, close: sync.OnceValue(l.Close)}
}

// Close implements net.Listener.
func (l closeOnceListener) Close() error { return l.close() }

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.cfg.Listener.Addr().String() }

// Run serves until Stop; it then returns nil at once, while Stop still waits.
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

// Stop takes no new connections, waits for requests under way for the grace,
// and then cuts off what is left, which its error says.
func (s *Server) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.Grace)
	defer cancel()
	return s.shutdown(ctx, s.cfg.Grace)
}

// StopWithin is Stop with another grace. Before it closes connections it waits,
// within the grace, until Linger has passed without a request.
func (s *Server) StopWithin(grace time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	s.stopping.Store(true)
	_ = s.cfg.Listener.Close() // an address that can't be closed is no reason to cut requests off
	s.requests.waitIdle(ctx, s.cfg.Linger)
	return s.shutdown(ctx, grace)
}

func (s *Server) shutdown(ctx context.Context, grace time.Duration) error {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close() // the first error is the one to report
		return errors.Wrapf(err, "requests at %s were cut off after %s", s.Addr(), grace)
	}
	return nil
}

// Grace is how long requests under way may go on after Stop.
func (s *Server) Grace() time.Duration { return s.cfg.Grace }

// Kill ends the server at once, as a crash would, for experiments.
func (s *Server) Kill() error { return s.http.Close() }
