package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Limits of the client for connections between the system's own processes.
const (
	dialTimeout = 2 * time.Second
	keepAlive   = 15 * time.Second
	// maxIdlePerPeer is enough idle connections for all concurrent requests of
	// a plain HTTP peer, such as an engine.
	maxIdlePerPeer = 512
	// pingAfter is how long a connection may be idle before a ping is sent,
	// and pingTimeout how long the reply may take.
	pingAfter   = 5 * time.Second
	pingTimeout = 2 * time.Second
	// MaxResponseHeaderBytes bounds the head of an answer with all interim answers before it.
	// Hundreds of heads without end at once take some MB.
	MaxResponseHeaderBytes = 32 << 10
	// continueTimeout is longer than any deadline.
	continueTimeout = 24 * time.Hour
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client for connections between the system's own processes.
// With a TLS config it uses HTTP/2, so that the streams to one agent share a
// connection. Without one it uses plain HTTP, and each request arrives at most
// once. A nil dial means TCP.
func NewClient(cfg *tls.Config, dial Dial) *http.Client {
	if dial == nil {
		dial = TCP()
	}
	t := newTransport()
	if cfg == nil {
		return newAtMostOnceClient(t, dial)
	}
	t.DialContext = dial
	t.TLSClientConfig = cfg
	t.ForceAttemptHTTP2 = true
	return &http.Client{Transport: t}
}

// NewTLSClient returns a client like that of NewClient whose dial function
// performs the TLS handshake itself, as identity.DialTLS does.
func NewTLSClient(dial Dial) *http.Client {
	t := newTransport()
	t.DialTLSContext = dial
	t.ForceAttemptHTTP2 = true
	return &http.Client{Transport: t}
}

// Limits of the client for endpoints without an agent.
const (
	// deadPeerIdle, deadPeerProbe and deadPeerProbes configure TCP keepalive to
	// detect a peer that disappeared without closing, such as a VM that lost
	// power, within about five seconds. They never disconnect an idle peer
	// whose VM is running.
	deadPeerIdle   = 2 * time.Second
	deadPeerProbe  = time.Second
	deadPeerProbes = 3
	// directDialTimeout is long compared with the milliseconds that a
	// successful dial takes, and short enough to try another endpoint.
	directDialTimeout = 500 * time.Millisecond
	// directIdle is shorter than the idle timeouts of common servers, which
	// start at five seconds: a request sent on a closing connection is lost.
	directIdle = 4 * time.Second
)

// NewDirectClient returns a client for endpoints over plain HTTP/1.1, with one
// connection per concurrent request. Each request arrives at most once.
func NewDirectClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: directDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: deadPeerIdle, Interval: deadPeerProbe, Count: deadPeerProbes,
		},
		Control: setUserTimeout,
	}
	t := newTransport()
	t.IdleConnTimeout = directIdle
	t.HTTP2 = nil
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP1(true)
	client := newAtMostOnceClient(t, dialer.DialContext)
	// Redirects of an endpoint are returned to the caller.
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client
}

// NewOneShotClient returns a client over plain HTTP/1.1 that opens a connection for each request, so that
// its errors tell whether one could be established. The connection must be up within connectTimeout.
func NewOneShotClient(connectTimeout time.Duration) *http.Client {
	t := newTransport()
	t.DisableKeepAlives = true
	t.HTTP2 = nil
	t.DialContext = (&net.Dialer{Timeout: connectTimeout}).DialContext
	return &http.Client{Transport: NewStrictTransport(t)}
}

// TCP returns a dial function for TCP.
func TCP() Dial {
	return (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext
}

func newTransport() *http.Transport {
	return &http.Transport{
		TLSHandshakeTimeout:    dialTimeout,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerPeer,
		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
		IdleConnTimeout:        idleTimeout,
		// A request that expects "100 Continue" withholds its body until the
		// peer sends it; its context ends the wait.
		ExpectContinueTimeout: continueTimeout,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream: streamBuffer,
			SendPingTimeout:           pingAfter,
			PingTimeout:               pingTimeout,
		},
	}
}
