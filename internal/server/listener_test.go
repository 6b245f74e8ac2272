package server

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// countingListener fails if it is closed twice, as a socket does.
type countingListener struct {
	net.Listener
	closed int
}

func (l *countingListener) Close() error {
	l.closed++
	if l.closed > 1 {
		return net.ErrClosed
	}
	return nil
}

func TestListenerIsClosedOnce(t *testing.T) {
	g := NewWithT(t)
	counting := &countingListener{}
	s := New(Config{Listener: counting})
	g.Expect(s.cfg.Listener.Close()).To(Succeed())
	g.Expect(s.cfg.Listener.Close()).To(Succeed())
	g.Expect(counting.closed).To(Equal(1))
}
