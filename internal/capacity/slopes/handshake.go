package slopes

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/capacity"
	"coveferry/internal/identity"
)

// certValidity is longer than any measurement.
const certValidity = time.Hour

// identities holds the identities of the two ends of a connection.
type identities struct{ router, agent *identity.Identity }

func newIdentities() (identities, error) {
	authority, err := identity.Ephemeral()
	if err != nil {
		return identities{}, err
	}
	router, err := issue(authority, identity.RoleRouter, "router-001")
	if err != nil {
		return identities{}, err
	}
	agent, err := issue(authority, identity.RoleAgent, "agent-0001")
	return identities{router: router, agent: agent}, err
}

func issue(a *identity.Authority, role identity.Role, name string) (*identity.Identity, error) {
	pair, err := a.Issue(role, name, certValidity)
	if err != nil {
		return nil, err
	}
	return identity.New(a.CertPEM(), pair.CertPEM, pair.KeyPEM)
}

func (ids identities) client() *tls.Config {
	return ids.router.ClientConfig(identity.RoleAgent, identity.AnyName)
}

func (ids identities) server() *tls.Config {
	return ids.agent.ServerConfig(identity.RoleRouter)
}

func handshakeProbes() []probe {
	return []probe{{
		name:  "handshake",
		sizes: []int{25, 50, 100, 200},
		series: []capacity.Slope{
			{ID: capacity.HandshakeCPU, Title: "mutual TLS handshake with its TCP connection, one side of two", Unit: capacity.UnitSeconds, Per: "handshake"},
			{ID: capacity.HandshakeBytes, Title: "mutual TLS handshake", Unit: capacity.UnitBytes, Per: "handshake"},
		},
		measure: measureHandshakes,
	}}
}

func measureHandshakes(ctx context.Context, n int) ([]float64, error) {
	ids, err := newIdentities()
	if err != nil {
		return nil, err
	}
	count := &counter{}
	cpu, err := cpuOf(func() error {
		return repeat(n, func() error {
			p, err := ids.countedPair(ctx, count)
			p.close()
			return err
		})
	})
	return []float64{cpu / endsPerConn, float64(count.bytes.Load())}, err
}

// pair holds both ends of a connection.
type pair struct{ near, far net.Conn }

func (p pair) close() {
	if p.near != nil {
		p.near.Close()
	}
	if p.far != nil {
		p.far.Close()
	}
}

// handshakeTimeout bounds a handshake.
const handshakeTimeout = 10 * time.Second

// pair opens a connection and performs the handshake at both ends.
func (ids identities) pair(ctx context.Context) (pair, error) {
	near, far, err := connPair()
	if err != nil {
		return pair{near, far}, err
	}
	return ids.handshake(ctx, near, far)
}

// countedPair is like pair, and counts the bytes of the handshake.
func (ids identities) countedPair(ctx context.Context, count *counter) (pair, error) {
	near, far, err := connPair()
	if err != nil {
		return pair{near, far}, err
	}
	return ids.handshake(ctx, &countedConn{Conn: near, counter: count}, far)
}

func (ids identities) handshake(ctx context.Context, near, far net.Conn) (pair, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	client := tls.Client(near, ids.client())
	server := tls.Server(far, ids.server())
	accepted := make(chan error, 1)
	go func() { accepted <- server.HandshakeContext(ctx) }()
	dialled := client.HandshakeContext(ctx)
	err := errors.CombineErrors(dialled, <-accepted)
	return pair{client, server}, err
}
