package server

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// breakingPeer answers requests until breaks is set, and then closes their connections
// without an answer.
type breakingPeer struct {
	listener net.Listener
	arrivals atomic.Int64
	breaks   atomic.Bool
	release  chan struct{} // answers are held back until it is closed
}

func newBreakingPeer(t *testing.T) *breakingPeer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	b := &breakingPeer{listener: l, release: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *breakingPeer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		b.arrivals.Add(1)
		if b.breaks.Load() {
			return
		}
		<-b.release
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"+(string(body) + "good")[:4])
	}
}

// openIdleConns makes the client hold the given number of idle connections to the peer.
func (b *breakingPeer) openIdleConns(g *WithT, client *http.Client, connections int) {
	done := make(chan error, connections)
	for range connections {
		go func() {
			resp, err := client.Get(b.url())
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			done <- err
		}()
	}
	g.Eventually(b.arrivals.Load).Should(Equal(int64(connections)))
	close(b.release)
	for range connections {
		g.Expect(<-done).To(Succeed())
	}
}

func (b *breakingPeer) url() string { return "http://" + b.listener.Addr().String() + "/" }

// http.Transport retries a request whose connection breaks on each idle connection. With a
// plain http.Transport each of these requests, except the POST without a key, arrives four
// times.
func TestRequestOnBrokenConnectionArrivesOnce(t *testing.T) {
	for _, c := range []struct{ method, body, key string }{
		{"GET", "", ""}, {"GET", "ask", ""}, {"HEAD", "", ""}, {"OPTIONS", "", ""},
		{"POST", "", ""}, {"POST", "ask", ""}, {"POST", "", "k"}, {"POST", "ask", "k"},
	} {
		t.Run(c.method+" "+c.body+" "+c.key, func(t *testing.T) {
			g := NewWithT(t)
			peer := newBreakingPeer(t)
			client := NewDirectClient()
			defer client.CloseIdleConnections()
			peer.openIdleConns(g, client, 3)
			peer.breaks.Store(true)
			req, err := http.NewRequest(c.method, peer.url(), strings.NewReader(c.body))
			g.Expect(err).NotTo(HaveOccurred())
			if c.key != "" {
				req.Header.Set("Idempotency-Key", c.key)
			}
			_, err = client.Do(req)
			g.Expect(err).To(HaveOccurred())
			g.Expect(MayHaveSent(err)).To(BeTrue())
			g.Expect(peer.arrivals.Load()).To(Equal(int64(4)), "three requests that opened the idle connections, and this one once")
		})
	}
}

// failingConn is a connection whose writes fail once closed is set.
type failingConn struct {
	net.Conn
	closed *atomic.Bool
}

func (m failingConn) Write(p []byte) (int, error) {
	if m.closed.Load() {
		return 0, errors.New("closed by its peer")
	}
	return m.Conn.Write(p)
}

// Peers close idle connections. A request of which nothing could be written to such a
// connection must be sent again, or the caller gets an error for it.
func TestUnsentRequestIsRetried(t *testing.T) {
	for _, c := range []struct{ method, body, want string }{{"GET", "", "good"}, {"POST", "body", "body"}, {"POST", "", "good"}} {
		g := NewWithT(t)
		peer := newBreakingPeer(t)
		var closed atomic.Bool
		var dials atomic.Int64
		client := NewClient(nil, func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := TCP()(ctx, network, address)
			if dials.Add(1) > 3 {
				return conn, err
			}
			return failingConn{conn, &closed}, err
		})
		defer client.CloseIdleConnections()
		peer.openIdleConns(g, client, 3)
		closed.Store(true)
		req, err := http.NewRequest(c.method, peer.url(), strings.NewReader(c.body))
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := client.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal(c.want))
		g.Expect(peer.arrivals.Load()).To(Equal(int64(4)))
		g.Expect(dials.Load()).To(Equal(int64(4)))
	}
}

func TestErrorsDistinguishUnsentRequests(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Close()).To(Succeed())
	_, err = NewDirectClient().Get("http://" + l.Addr().String())
	g.Expect(err).To(HaveOccurred())
	g.Expect(MayHaveSent(err)).To(BeFalse(), "refused")

	var closed atomic.Bool
	closed.Store(true)
	peer := newBreakingPeer(t)
	_, err = NewClient(nil, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := TCP()(ctx, network, address)
		return failingConn{conn, &closed}, err
	}).Get(peer.url())
	g.Expect(err).To(HaveOccurred())
	g.Expect(MayHaveSent(err)).To(BeFalse(), "writes to the new connection fail")

	peer.breaks.Store(true)
	_, err = NewDirectClient().Get(peer.url())
	g.Expect(err).To(HaveOccurred())
	g.Expect(MayHaveSent(err)).To(BeTrue(), "the connection broke after the request was sent")
}
