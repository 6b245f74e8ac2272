// Package memnet provides an in-memory network for tests. Its connections are made
// of net.Pipe, so that whole sessions run under testing/synctest in fake time. It
// can simulate network partitions between peers.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrRefused is the error of dialing an address without a listener.
var ErrRefused = errors.New("memnet: connection refused")

// ErrCut is the error of dialing across a partition.
var ErrCut = errors.New("memnet: the peers are partitioned")

// backlog is the maximum number of connections waiting to be accepted.
const backlog = 1024

// Net is an in-memory network. It is safe for concurrent use.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	lastPort  int
	cuts      map[connKey]bool
	conns     map[connKey][]net.Conn
}

// connKey identifies the connections from one peer to a listener's address.
type connKey struct{ from, to string }

// New returns a network without listeners.
func New() *Net {
	return &Net{
		listeners: make(map[string]*listener),
		cuts:      make(map[connKey]bool),
		conns:     make(map[connKey][]net.Conn),
	}
}

// Listen opens a listener. Port 0 selects a free port.
func (n *Net) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "memnet")
	}
	if port == "0" {
		n.lastPort++
		address = net.JoinHostPort(host, fmt.Sprint(n.lastPort))
	}
	if n.listeners[address] != nil {
		return nil, errors.Newf("memnet: %s is already in use", address)
	}
	l := &listener{net: n, address: address, accept: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a dial function for the peer of the given name.
func (n *Net) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, connKey{from: from, to: address})
	}
}

func (n *Net) dial(ctx context.Context, key connKey) (net.Conn, error) {
	n.mu.Lock()
	l, isCut := n.listeners[key.to], n.cuts[key]
	n.mu.Unlock()
	if isCut {
		return nil, ErrCut
	}
	if l == nil {
		return nil, ErrRefused
	}
	client, server := net.Pipe()
	select {
	case l.accept <- server:
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return n.register(key, client)
}

// register records a new connection, unless its peers were partitioned during the
// dial.
func (n *Net) register(key connKey, client net.Conn) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[key] {
		_ = client.Close() // also closes the listener's end
		return nil, ErrCut
	}
	n.conns[key] = append(n.conns[key], client)
	return client, nil
}

// Cut closes the connections of a peer to an address and refuses new ones until
// Heal is called.
func (n *Net) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := connKey{from: from, to: to}
	n.cuts[key] = true
	for _, c := range n.conns[key] {
		_ = c.Close() // may be closed already
	}
	delete(n.conns, key)
}

// Heal ends a partition.
func (n *Net) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, connKey{from: from, to: to})
}

type listener struct {
	net     *Net
	address string
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }
