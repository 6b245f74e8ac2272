package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// echo starts a server that sends each line back, and returns its address.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for lines := bufio.NewScanner(conn); lines.Scan(); {
					fmt.Fprintln(conn, lines.Text())
				}
			}()
		}
	}()
	return l.Addr().String()
}

// roundTrip sends a line and returns the line received within 400 ms.
func roundTrip(conn net.Conn, line string) (string, error) {
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return "", err
	}
	if err := conn.SetReadDeadline(time.Now().Add(400 * time.Millisecond)); err != nil {
		return "", err
	}
	return bufio.NewReader(conn).ReadString('\n')
}

// heldFor is how long a proxy holds a line.
const heldFor = 150 * time.Millisecond

func TestProxyInjectsNetFaults(t *testing.T) {
	g := NewWithT(t)
	p, err := NewProxy(echo(t))
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", p.Address())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	conn := dial()
	g.Expect(roundTrip(conn, "calm")).To(Equal("calm\n"))

	p.SetFault(NetFaultDelay)
	sent := time.Now()
	g.Expect(roundTrip(conn, "slow")).To(Equal("slow\n"))
	g.Expect(time.Since(sent)).To(BeNumerically(">=", 2*proxyDelay))

	for _, h := range []NetFault{NetFaultOneWay, NetFaultSilence} {
		p.SetFault(h)
		_, err = roundTrip(dial(), "lost")
		var timeout net.Error
		g.Expect(err).To(BeAssignableToTypeOf(&net.OpError{}), string(h))
		g.Expect(err).To(Satisfy(func(err error) bool { timeout, _ = err.(net.Error); return timeout.Timeout() }), string(h))
		p.SetFault(NetFaultNone)
	}

	conn = dial()
	g.Expect(roundTrip(conn, "calm")).To(Equal("calm\n"))
	p.SetFault(NetFaultHold)
	sent = time.Now()
	time.AfterFunc(heldFor, func() { p.SetFault(NetFaultNone) })
	g.Expect(roundTrip(conn, "held")).To(Equal("held\n"))
	g.Expect(time.Since(sent)).To(BeNumerically(">=", heldFor))

	p.SetFault(NetFaultReset)
	_, err = roundTrip(conn, "reset")
	g.Expect(err).To(HaveOccurred())
	p.SetFault(NetFaultNone)
	g.Expect(roundTrip(dial(), "again")).To(Equal("again\n"))
}
