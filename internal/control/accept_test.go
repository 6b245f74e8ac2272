package control_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/memnet"
)

// fullListener fails the first accepts, as in a process with too many open files.
type fullListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (l *fullListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends since it has too many open files for a moment.
func TestServerOutlivesFailedAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		network := memnet.New()
		l, err := network.Listen(address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		srv := control.NewServer(control.ServerConfig{Listener: &fullListener{Listener: l, failures: 5}})
		control.Register(srv, methodEcho, func(_ context.Context, peer identity.Peer, req echoRequest) (echoReply, error) {
			return echoReply{Text: req.Text, Peer: peer}, nil
		})
		ended := make(chan error, 1)
		go func() { ended <- srv.Run() }()
		pool := control.NewPool(control.ClientConfig{Dial: network.Dialer("peer")}, 0)
		client := pool.Client(control.Target{Address: address, Peer: identity.Peer{Role: identity.RoleRouter, Name: identity.AnyName}})
		reply, err := control.Call(context.Background(), client, methodEcho, echoRequest{Text: "x"})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(reply.Text).To(gomega.Equal("x"))
		pool.Close()
		g.Expect(srv.Stop()).To(gomega.Succeed())
		g.Expect(<-ended).To(gomega.Succeed())
	})
}
