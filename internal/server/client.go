package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Bounds of the client that routers reach agents with.
const (
	dialTimeout = 2 * time.Second
	keepAlive   = 15 * time.Second
	// maxIdlePerPeer keeps a connection for each request that a plain HTTP
	// peer, such as an engine, may hold at once.
	maxIdlePerPeer = 512
	// pingAfter is how long a connection may be silent before it is asked
	// for a sign of life, and pingTimeout how long that may take.
	pingAfter   = 5 * time.Second
	pingTimeout = 2 * time.Second
	// continueTimeout is longer than any deadline.
	continueTimeout = 24 * time.Hour
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client for talk between the system's own processes. With
// TLS settings it uses HTTP/2, so that the streams to one agent share a
// connection; without, each request arrives once at most. A nil dial is TCP's.
func NewClient(cfg *tls.Config, dial Dial) *http.Client {
	if dial == nil {
		dial = TCP()
	}
	t := newTransport()
	if cfg == nil {
		return newNoRetryClient(t, dial)
	}
	t.DialContext = dial
	t.TLSClientConfig = cfg
	t.ForceAttemptHTTP2 = true
	return &http.Client{Transport: t}
}

// NewTLSClient returns a client like NewClient's whose connections come from a
// dial that makes the TLS handshake itself, as identity.DialTLS does.
func NewTLSClient(dial Dial) *http.Client {
	t := newTransport()
	t.DialTLSContext = dial
	t.ForceAttemptHTTP2 = true
	return &http.Client{Transport: t}
}

// Bounds of the client that reaches endpoints without agents.
const (
	// deadPeerIdle, deadPeerProbe and deadPeerProbes find a peer that is gone
	// without a word, such as a VM that lost power, within some five seconds.
	// Silence of a peer whose VM lives ends nothing.
	deadPeerIdle   = 2 * time.Second
	deadPeerProbe  = time.Second
	deadPeerProbes = 3
	// directDialTimeout is long beside the milliseconds of a connection that
	// comes about, and short enough to try another endpoint.
	directDialTimeout = 500 * time.Millisecond
	// directIdle is shorter than the idle timeouts of usual servers, which
	// begin at five seconds: a request that meets a closing connection is lost.
	directIdle = 4 * time.Second
)

// NewDirectClient returns a client for endpoints that are reached over plain
// HTTP/1.1, each answer on a connection of its own while it lasts. Each request arrives once
// at most.
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
	client := newNoRetryClient(t, dialer.DialContext)
	// An endpoint's redirect is the caller's to follow.
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client
}

// TCP returns the dial of the machine's own network.
func TCP() Dial {
	return (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext
}

func newTransport() *http.Transport {
	return &http.Transport{
		TLSHandshakeTimeout: dialTimeout,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout,
		// A request that expects "100 Continue" keeps its body back until
		// the peer asks; its context ends the wait.
		ExpectContinueTimeout: continueTimeout,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream: streamBuffer,
			SendPingTimeout:           pingAfter,
			PingTimeout:               pingTimeout,
		},
	}
}
