package memnet_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"coveferry/internal/memnet"
)

const (
	address = "127.0.0.1:1"
	backlog = 1024 // connections that wait to be accepted
)

// A connection that is being dialed when Cut is called must not be established.
func TestCutClosesConnectionsBeingDialed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		net := memnet.New()
		l, err := net.Listen(address)
		g.Expect(err).NotTo(HaveOccurred())
		dial := net.Dialer("a")
		for range backlog {
			_, err := dial(t.Context(), "tcp", address)
			g.Expect(err).NotTo(HaveOccurred())
		}
		result := make(chan error, 1)
		go func() {
			_, err := dial(t.Context(), "tcp", address)
			result <- err
		}()
		synctest.Wait() // the dial waits because the backlog is full
		net.Cut("a", address)
		_, err = l.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(<-result).To(MatchError(memnet.ErrCut))
		net.Heal("a", address)
		_, err = l.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		_, err = dial(t.Context(), "tcp", address)
		g.Expect(err).NotTo(HaveOccurred(), "healed")
		g.Expect(l.Close()).To(Succeed())
	})
}
