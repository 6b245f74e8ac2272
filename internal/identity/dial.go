package identity

import (
	"context"
	"crypto/tls"
	"net"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// NameLookup returns the name of the process expected at an address, or false if
// none is known.
type NameLookup func(address string) (string, bool)

// DialTLS returns a function for http.Transport.DialTLSContext that verifies the
// name expected at each address, so that a VM that took over the address of a
// replaced VM is rejected. An address without a known name is refused before
// anything is sent. With ForceAttemptHTTP2 the transport uses HTTP/2.
func (id *Identity) DialTLS(dial Dial, expect Role, nameAt NameLookup) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		name, ok := nameAt(address)
		if !ok || name == AnyName {
			return nil, peerErrorf(ErrWrongName, "no %s is known at %s", expect, address)
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secure := tls.Client(conn, id.ClientConfig(expect, name))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close() // the handshake's error is the one to report
			return nil, err
		}
		return secure, nil
	}
}
