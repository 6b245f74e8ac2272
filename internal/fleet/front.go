package fleet

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// front simulates the balancer in front of one router. It keeps the listen
// address while the router is replaced, and passes new connections to the
// newest instance.
type front struct {
	listener net.Listener
	mu       sync.Mutex
	current  *frontListener
}

func newFront(l net.Listener) *front {
	f := &front{listener: l}
	go f.run()
	return f
}

// next returns the listener of the next router instance, which gets all
// connections from now on.
func (f *front) next() *frontListener {
	in := &frontListener{front: f, conns: make(chan net.Conn), closed: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = in
	return in
}

func (f *front) run() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return // closed
		}
		f.pass(conn)
	}
}

// pass hands a connection to the current router. If that router closes its
// listener meanwhile, the connection goes to its replacement. Before the first
// router starts, connections are closed.
func (f *front) pass(conn net.Conn) {
	f.mu.Lock()
	in := f.current
	f.mu.Unlock()
	if in == nil {
		_ = conn.Close() // no router has started yet
		return
	}
	select {
	case in.conns <- conn:
	case <-in.closed:
		f.mu.Lock()
		replaced := f.current != in
		f.mu.Unlock()
		if replaced {
			f.pass(conn)
			return
		}
		_ = conn.Close() // no router is left
	}
}

// frontListener is the listener of one router instance behind a front.
type frontListener struct {
	front  *front
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (in *frontListener) Accept() (net.Conn, error) {
	select {
	case conn := <-in.conns:
		return conn, nil
	case <-in.closed:
		return nil, errors.WithStack(net.ErrClosed)
	}
}

// Close implements net.Listener. The front stays open for the next router.
func (in *frontListener) Close() error {
	in.once.Do(func() { close(in.closed) })
	return nil
}

// Addr implements net.Listener.
func (in *frontListener) Addr() net.Addr { return in.front.listener.Addr() }
