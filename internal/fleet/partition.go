package fleet

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// errPartitioned is the error of a dial across a partition.
var errPartitioned = errors.New("fleet: no answer across the partition")

// partition is a network that can be partitioned between a process and an address.
// Connections stay open but transfer nothing, as in a network that drops
// packets. It is safe for concurrent use.
type partition struct {
	Network
	mu   sync.Mutex
	cuts map[path]chan struct{} // closed by heal
}

// path is the connection from a process to an address.
type path struct{ from, to string }

func newPartition(n Network) *partition {
	return &partition{Network: n, cuts: make(map[path]chan struct{})}
}

// Dialer implements Network.
func (p *partition) Dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	dial := p.Network.Dialer(from)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		route := path{from: from, to: address}
		if err := p.await(ctx, route); err != nil {
			return nil, err
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithCancel(context.Background())
		return &partitionConn{Conn: conn, partition: p, path: route, open: ctx, close: cancel}, nil
	}
}

// await waits until the path isn't cut.
func (p *partition) await(ctx context.Context, route path) error {
	p.mu.Lock()
	healed := p.cuts[route]
	p.mu.Unlock()
	if healed == nil {
		return nil
	}
	select {
	case <-healed:
		return nil
	case <-ctx.Done():
		return errors.Mark(context.Cause(ctx), errPartitioned)
	}
}

func (p *partition) cut(w path) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cuts[w] == nil {
		p.cuts[w] = make(chan struct{})
	}
}

func (p *partition) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for w, healed := range p.cuts {
		close(healed)
		delete(p.cuts, w)
	}
}

// partitionConn is a connection that transfers nothing while its path is cut.
type partitionConn struct {
	net.Conn
	partition *partition
	path      path
	// open ends when the connection is closed.
	open  context.Context
	close context.CancelFunc
}

// Read implements net.Conn. Data received before the cut is returned after it.
func (c *partitionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err := c.partition.await(c.open, c.path); err != nil {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *partitionConn) Write(b []byte) (int, error) {
	if err := c.partition.await(c.open, c.path); err != nil {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *partitionConn) Close() error {
	c.close()
	return c.Conn.Close()
}

// PartitionAgent partitions the first half of the routers from an agent until Heal.
func (f *Fleet) PartitionAgent(agent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range (len(f.routers) + 1) / 2 {
		f.network.cut(path{from: routerName(i), to: f.agents[agent].Address()})
	}
}

// Heal ends all partitions.
func (f *Fleet) Heal() { f.network.heal() }
