package router_test

// Bodies must reserve memory while they arrive. If only complete bodies were counted, as many
// as there may be open requests, each of the maximum size, could take 8 GB on a VM of 144 MB.
// The tests fail if a second body that doesn't fit beside a slow one is read.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// overHalfOfBodyBytes is more than half of MaxBodyBytes in these tests.
const overHalfOfBodyBytes = 600 << 10

// sendSlowly starts a request whose body never completes.
func (w *routerFixture) sendSlowly(g *WithT, header string, sent int) net.Conn {
	conn, err := w.net.Dialer("caller")(context.Background(), "tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: %s\r\nId: slow\r\nKey: k\r\n%s\r\n", routeHost, header)
		if strings.HasPrefix(header, "Transfer") {
			_, _ = fmt.Fprintf(conn, "%x\r\n", overHalfOfBodyBytes)
		}
		_, _ = io.WriteString(conn, strings.Repeat("x", sent))
	}()
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
	return conn
}

func TestBodiesReserveMemoryWhileTheyArrive(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		sent   int
	}{
		"of a known length": {fmt.Sprintf("Content-Length: %d\r\n", overHalfOfBodyBytes), 10},
		"in chunks":         {"Transfer-Encoding: chunked\r\n", overHalfOfBodyBytes},
	} {
		t.Run(name, func(t *testing.T) {
			runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
				config := testConfig()
				config.Limits.BodyBytes = 1 << 20
				w.table = mustTable(config)
				slow := w.sendSlowly(g, c.header, c.sent)
				refused := call(g, client, "POST", "/once/", strings.Repeat("x", overHalfOfBodyBytes))
				g.Expect(refused.status).To(Equal(503))
				g.Expect(refused.body).To(ContainSubstring("router_full"))
				g.Expect(w.receivedCount()).To(BeZero())
				g.Expect(slow.Close()).To(Succeed())
				time.Sleep(100 * time.Millisecond)
				g.Expect(call(g, client, "POST", "/once/", strings.Repeat("x", overHalfOfBodyBytes)).status).To(Equal(200), "memory for bodies is available again")
			})
		})
	}
}
