package control

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics of the control channel.
const (
	MetricReceived = "coveferry_control_received_bytes_total"
	MetricSent     = "coveferry_control_sent_bytes_total"
)

// Traffic counts the bytes sent and received over connections, including TLS.
type Traffic struct {
	received, sent atomic.Uint64
}

// Received returns the number of bytes received so far.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// Sent returns the number of bytes sent so far.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// RegisterMetrics registers the counters. It panics if reg already has them.
func (t *Traffic) RegisterMetrics(reg prometheus.Registerer) {
	reg.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: MetricReceived, Help: "Bytes received on the control channel, TLS included.",
		}, func() float64 { return float64(t.Received()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: MetricSent, Help: "Bytes sent on the control channel, TLS included.",
		}, func() float64 { return float64(t.Sent()) }),
	)
}

// WrapDial returns a dial function that counts the bytes of its connections, for
// connections other than those of the control channel.
func (t *Traffic) WrapDial(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.wrap(c), nil
	}
}

// wrap returns a connection whose bytes are counted. A nil Traffic returns c
// unchanged.
func (t *Traffic) wrap(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &countedConn{Conn: c, traffic: t}
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
