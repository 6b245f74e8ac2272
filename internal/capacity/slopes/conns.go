package slopes

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http2"

	"coveferry/internal/capacity"
	"coveferry/internal/server"
)

func connProbes() []probe {
	sizes := []int{50, 100, 200, 400}
	return []probe{
		connProbe("conns-plain", sizes, false, capacity.ConnRouterPlain, capacity.ConnAgentPlain, "HTTP/1.1 without TLS"),
		connProbe("conns-tls", sizes, true, capacity.ConnRouterTLS, capacity.ConnAgentTLS, "HTTP/2 over mutual TLS"),
	}
}

func connProbe(name string, sizes []int, secure bool, router, agent capacity.SlopeID, kind string) probe {
	return probe{
		name:  name,
		sizes: sizes,
		series: []capacity.Slope{
			{ID: router, Title: "idle connection at a router, " + kind, Unit: capacity.UnitBytes, Per: "connection"},
			{ID: agent, Title: "idle connection at an agent, " + kind, Unit: capacity.UnitBytes, Per: "connection"},
		},
		measure: func(ctx context.Context, n int) ([]float64, error) { return measureConns(ctx, n, secure) },
	}
}

// measureConns returns the memory of n idle connections at the router's and at
// the agent's end. Both ends are in this process, so each is determined as a
// difference between three setups: bare connections at both ends, a server with
// bare clients, and a server with a real client. Half of a bare pair counts for
// each end.
func measureConns(ctx context.Context, n int, secure bool) ([]float64, error) {
	s, err := newConnSetup(secure)
	if err != nil {
		return nil, err
	}
	bare, err := s.memory(func() (io.Closer, error) { return s.barePairs(ctx, n) })
	if err != nil {
		return nil, errors.Wrap(err, "bare pairs")
	}
	served, err := s.memory(func() (io.Closer, error) { return s.bareClients(n) })
	if err != nil {
		return nil, errors.Wrap(err, "bare clients")
	}
	whole, err := s.memory(func() (io.Closer, error) { return s.realClient(ctx, n) })
	if err != nil {
		return nil, errors.Wrap(err, "real client")
	}
	return []float64{whole - served + bare/endsPerConn, served - bare/endsPerConn}, nil
}

// connSetup holds the parameters shared by the connections of one measurement.
type connSetup struct {
	secure bool
	ids    identities
}

func newConnSetup(secure bool) (*connSetup, error) {
	ids, err := newIdentities()
	return &connSetup{secure: secure, ids: ids}, err
}

// memory returns the memory of the result of open, and closes it.
func (s *connSetup) memory(open func() (io.Closer, error)) (float64, error) {
	return runAndSettle(func() (float64, error) {
		var opened io.Closer
		used, err := memoryOf(func() (any, error) {
			var err error
			opened, err = open()
			return opened, err
		})
		if opened != nil {
			opened.Close()
		}
		return used, err
	})
}

// closers closes its elements in reverse order.
type closers []io.Closer

func (c closers) Close() error {
	for i := len(c) - 1; i >= 0; i-- {
		c[i].Close()
	}
	return nil
}

func (s *connSetup) barePairs(ctx context.Context, n int) (io.Closer, error) {
	var all closers
	for range n {
		p, err := s.pair(ctx)
		if err != nil {
			return all, err
		}
		all = append(all, p.near, p.far)
	}
	return all, nil
}

func (s *connSetup) pair(ctx context.Context) (pair, error) {
	if s.secure {
		return s.ids.pair(ctx)
	}
	near, far, err := connPair()
	return pair{near, far}, err
}

// killOnClose is an io.Closer that kills a server.
type killOnClose struct{ server *server.Server }

func (k killOnClose) Close() error { return k.server.Kill() }

// server starts a server on loopback that answers with an empty body.
func (s *connSetup) server() (*server.Server, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	cfg := server.Config{
		Listener: l,
		Handler:  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
	}
	if s.secure {
		cfg.TLS = s.ids.server()
	}
	srv := server.New(cfg)
	go srv.Run() // returns after Kill
	return srv, nil
}

// bareClients opens connections to a server without HTTP clients.
func (s *connSetup) bareClients(n int) (io.Closer, error) {
	srv, err := s.server()
	if err != nil {
		return nil, err
	}
	all := closers{killOnClose{srv}}
	for range n {
		c, err := s.bareClient(srv.Addr())
		if err != nil {
			return all, err
		}
		all = append(all, c)
	}
	return all, nil
}

func (s *connSetup) bareClient(addr string) (net.Conn, error) {
	if !s.secure {
		return openHTTP1(addr)
	}
	c, err := tls.Dial("tcp", addr, s.ids.client())
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return c, openHTTP2(c)
}

// openHTTP1 sends one request, so that the server allocates its buffers.
func openHTTP1(addr string) (net.Conn, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: endpoint\r\n\r\n"); err != nil {
		return c, errors.Wrap(err, "write a request")
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return c, errors.Wrap(err, "read a response")
	}
	return c, resp.Body.Close()
}

// openHTTP2 opens an HTTP/2 connection and waits for the server's settings.
func openHTTP2(c net.Conn) error {
	if _, err := io.WriteString(c, http2.ClientPreface); err != nil {
		return errors.Wrap(err, "write the preface")
	}
	framer := http2.NewFramer(c, c)
	if err := framer.WriteSettings(); err != nil {
		return errors.Wrap(err, "write settings")
	}
	_, err := framer.ReadFrame()
	return errors.Wrap(err, "read settings")
}

// idleConns is an io.Closer that closes the idle connections of a client.
type idleConns struct{ client *http.Client }

func (c idleConns) Close() error {
	c.client.CloseIdleConnections()
	return nil
}

// realClient opens one connection for each of n host names, all of which resolve
// to the same server, with the client that routers use.
func (s *connSetup) realClient(ctx context.Context, n int) (io.Closer, error) {
	srv, err := s.server()
	if err != nil {
		return nil, err
	}
	client := s.client(srv.Addr())
	all := closers{killOnClose{srv}, idleConns{client}}
	for i := range n {
		if err := s.request(ctx, client, i); err != nil {
			return all, err
		}
	}
	return all, nil
}

func (s *connSetup) client(addr string) *http.Client {
	var dialer net.Dialer
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return dialer.DialContext(ctx, network, addr)
	}
	if !s.secure {
		return server.NewClient(nil, dial)
	}
	client := server.NewClient(s.ids.client(), dial)
	withoutPings(client)
	return client
}

// withoutPings disables the pings of idle connections. Their timers retain the
// memory of closed connections for seconds, which would distort the next reading.
func withoutPings(client *http.Client) {
	if t, ok := client.Transport.(*http.Transport); ok && t.HTTP2 != nil {
		t.HTTP2.SendPingTimeout = 0
	}
}

func (s *connSetup) request(ctx context.Context, client *http.Client, host int) error {
	scheme := "http"
	if s.secure {
		scheme = "https"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s://endpoint-%d/", scheme, host), nil)
	if err != nil {
		return errors.Wrap(err, "make a request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send a request")
	}
	return resp.Body.Close()
}
