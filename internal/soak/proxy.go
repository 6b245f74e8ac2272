package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// proxyDelay is what HarmDelay adds to each piece, one way: more than a region's
// width, less than the timeouts of single calls.
const proxyDelay = 150 * time.Millisecond

// proxyBytes is what a proxy passes on at once.
const proxyBytes = 16 << 10

// Proxy passes TCP connections on over loopback and harms them on demand.
type Proxy struct {
	listener net.Listener
	target   string
	harm     atomic.Pointer[Harm]
	// link is what comes back from the target goes over; nil is as fast as it can.
	link *rate.Limiter
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// NewProxy returns a proxy that passes connections on to a target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "soak: listen for a proxy")
	}
	p := &Proxy{listener: l, target: target, open: make(map[net.Conn]struct{})}
	p.Set(HarmNone)
	return p, nil
}

// Narrow has all that comes back from the target share a link of so many Mbit/s. It is
// for a proxy that doesn't run yet.
func (p *Proxy) Narrow(mbps float64) {
	const bytesPerMbit = 1e6 / 8
	p.link = rate.NewLimiter(rate.Limit(mbps*bytesPerMbit), proxyBytes)
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set harms connections from now on; HarmReset resets those that are open.
func (p *Proxy) Set(h Harm) {
	p.harm.Store(&h)
	if h == HarmReset {
		p.resetOpen()
	}
}

func (p *Proxy) resetOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		reset(conn)
	}
}

// reset closes a connection so that its peer gets a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that is closed already stays so
	}
	_ = conn.Close()
}

// Run passes connections on until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		_ = p.listener.Close()
		p.resetOpen()
	})
	defer stop()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(conn net.Conn) {
	if *p.harm.Load() == HarmReset {
		reset(conn)
		return
	}
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(conn) // as the target itself would
		return
	}
	p.keep(conn, up)
	defer p.drop(conn, up)
	var both sync.WaitGroup
	both.Go(func() { p.pass(up, conn, true) })
	both.Go(func() { p.pass(conn, up, false) })
	both.Wait()
}

func (p *Proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.open[conn] = struct{}{}
	}
}

func (p *Proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.open, conn)
		_ = conn.Close()
	}
}

// pass copies one way until either end closes, and then closes both. Bytes that
// come during a cut are lost, as behind a partition whose sender gives up.
func (p *Proxy) pass(to, from net.Conn, forward bool) {
	defer to.Close()
	defer from.Close()
	piece := make([]byte, proxyBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 && !p.forward(to, piece[:n], forward) {
			return
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}

// forward passes a piece on; false ends the connection. After a cut it can't go
// on, since bytes are missing.
func (p *Proxy) forward(to net.Conn, piece []byte, forward bool) bool {
	switch h := *p.harm.Load(); {
	case h == HarmDelay:
		time.Sleep(proxyDelay)
	case h == HarmSilence, h == HarmOneWay && !forward:
		p.waitWhile(h)
		return false
	}
	if p.link != nil && !forward {
		if err := p.link.WaitN(context.Background(), len(piece)); err != nil {
			return false // never: a piece is no larger than the limiter's burst
		}
	}
	_, err := to.Write(piece)
	return err == nil
}

// waitWhile waits until the harm is another, as a connection behind a partition
// shows nothing at all.
func (p *Proxy) waitWhile(h Harm) {
	for *p.harm.Load() == h {
		time.Sleep(10 * time.Millisecond)
	}
}
