package lab

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"coveferry/internal/control"
	"coveferry/internal/memnet"
)

// Loopback is the loopback interface, with ports chosen by the kernel.
type Loopback struct{}

// Listen implements Network.
func (Loopback) Listen(_, address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	return net.Listen("tcp", address)
}

const dialTimeout = 2 * time.Second

// Dialer implements Network.
func (Loopback) Dialer(string) control.Dial {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext
}

// Memory is an in-memory network whose processes can be disconnected from each
// other. It is safe for concurrent use.
type Memory struct {
	net *memnet.Net

	mu        sync.Mutex
	addresses map[string]string // by process name
}

// NewMemory returns a network without processes.
func NewMemory() *Memory {
	return &Memory{net: memnet.New(), addresses: make(map[string]string)}
}

// Listen implements Network.
func (m *Memory) Listen(name, address string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address == "" {
		n := len(m.addresses)
		address = fmt.Sprintf("10.0.%d.%d:7430", n/250, n%250+1)
	}
	m.addresses[name] = address
	return m.net.Listen(address)
}

// Dialer implements Network.
func (m *Memory) Dialer(name string) control.Dial {
	dial := m.net.Dialer(name)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return dial(ctx, network, address)
	}
}

// Cut blocks connections between two processes in both directions.
func (m *Memory) Cut(a, b string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.net.Cut(a, m.addresses[b])
	m.net.Cut(b, m.addresses[a])
}

// CutOneWay blocks connections from one process to another, but not in the
// other direction.
func (m *Memory) CutOneWay(from, to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.net.Cut(from, m.addresses[to])
}

// Heal reverses Cut and CutOneWay.
func (m *Memory) Heal(a, b string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.net.Heal(a, m.addresses[b])
	m.net.Heal(b, m.addresses[a])
}
