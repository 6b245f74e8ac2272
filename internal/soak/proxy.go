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

// proxyDelay is the delay that NetFaultDelay adds to each chunk in each direction: more than
// the network latency within a region, less than the timeouts of single calls.
const proxyDelay = 150 * time.Millisecond

// proxyBytes is the maximum size of a chunk that a proxy forwards.
const proxyBytes = 16 << 10

// Proxy forwards TCP connections over loopback and injects network faults.
type Proxy struct {
	listener net.Listener
	target   string
	fault    atomic.Pointer[NetFault]
	// limiter limits the bandwidth of data from the target; nil means unlimited.
	limiter *rate.Limiter
	mu      sync.Mutex
	open    map[net.Conn]struct{}
}

// NewProxy returns a proxy that forwards connections to target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "soak: listen for a proxy")
	}
	p := &Proxy{listener: l, target: target, open: make(map[net.Conn]struct{})}
	p.SetFault(NetFaultNone)
	return p, nil
}

// LimitBandwidth limits the total bandwidth of data from the target to mbps, in Mbit/s. It must be
// called before Run.
func (p *Proxy) LimitBandwidth(mbps float64) {
	const bytesPerMbit = 1e6 / 8
	p.limiter = rate.NewLimiter(rate.Limit(mbps*bytesPerMbit), proxyBytes)
}

// Address returns the listen address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault sets the fault of all connections from now on. NetFaultReset also resets open ones.
func (p *Proxy) SetFault(fault NetFault) {
	p.fault.Store(&fault)
	if fault == NetFaultReset {
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

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}

// Run forwards connections until ctx ends.
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
	if *p.fault.Load() == NetFaultReset {
		reset(conn)
		return
	}
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(conn) // as if the target refused the connection
		return
	}
	p.track(conn, up)
	defer p.untrack(conn, up)
	var both sync.WaitGroup
	both.Go(func() { p.relay(up, conn, true) })
	both.Go(func() { p.relay(conn, up, false) })
	both.Wait()
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.open[conn] = struct{}{}
	}
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.open, conn)
		_ = conn.Close()
	}
}

// relay copies data in one direction, to the target or from it, until either end
// closes, and then closes both. Data received while NetFaultOneWay or NetFaultSilence
// drops it is lost, as in a partition whose sender gives up.
func (p *Proxy) relay(to, from net.Conn, toTarget bool) {
	defer to.Close()
	defer from.Close()
	chunk := make([]byte, proxyBytes)
	for {
		n, err := from.Read(chunk)
		if n > 0 && !p.forward(to, chunk[:n], toTarget) {
			reset(to) // TCP never ends a connection in order after data was lost
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

// forward writes a chunk to the other end. It returns false if the connection must be
// closed, as after a fault that dropped data.
func (p *Proxy) forward(to net.Conn, chunk []byte, toTarget bool) bool {
	switch fault := *p.fault.Load(); {
	case fault == NetFaultDelay:
		time.Sleep(proxyDelay)
	case fault == NetFaultSilence, fault == NetFaultOneWay && !toTarget:
		p.waitWhile(fault)
		return false
	case fault == NetFaultHold && toTarget:
		p.waitWhile(fault)
	}
	if p.limiter != nil && !toTarget {
		if err := p.limiter.WaitN(context.Background(), len(chunk)); err != nil {
			return false // can't happen: a chunk is no larger than the limiter's burst
		}
	}
	_, err := to.Write(chunk)
	return err == nil
}

// waitWhile waits until the fault changes, since a partitioned connection shows neither
// data nor an end.
func (p *Proxy) waitWhile(fault NetFault) {
	for *p.fault.Load() == fault {
		time.Sleep(10 * time.Millisecond)
	}
}
