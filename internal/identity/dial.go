package identity

import (
	"context"
	"crypto/tls"
	"net"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// NameLookup tells the name of the process that should answer at an address, or
// that none is known.
type NameLookup func(address string) (string, bool)

// DialTLS returns a dial for http.Transport.DialTLSContext that checks at each
// address the name expected there, so that a VM which got the address of a
// replaced one isn't taken for it. An address without a name is refused before
// anything is sent. With ForceAttemptHTTP2 the transport speaks HTTP/2 over it.
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
			_ = conn.Close() // the handshake's error says more
			return nil, err
		}
		return secure, nil
	}
}
