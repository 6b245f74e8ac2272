package router_test

// The story: bodies that callers send slowly took memory that nothing bounded: as many as there
// may be open requests, each as long as a body may be, 8 GB on a VM of 144 MB.
// The cause: a body took room once it had arrived.
// The evidence: these tests, in which the second caller's body was read, too.

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

// half is more than half of the room that bodies have in these tests.
const half = 600 << 10

// sendSlowly begins a request whose body doesn't come to its end.
func (w *world) sendSlowly(g *WithT, header string, sent int) net.Conn {
	conn, err := w.net.Dialer("caller")(context.Background(), "tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: %s\r\nId: slow\r\nKey: k\r\n%s\r\n", routeHost, header)
		if strings.HasPrefix(header, "Transfer") {
			_, _ = fmt.Fprintf(conn, "%x\r\n", half)
		}
		_, _ = io.WriteString(conn, strings.Repeat("x", sent))
	}()
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
	return conn
}

func TestBodiesTakeRoomWhileTheyArrive(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		sent   int
	}{
		"of a known length": {fmt.Sprintf("Content-Length: %d\r\n", half), 10},
		"in chunks":         {"Transfer-Encoding: chunked\r\n", half},
	} {
		t.Run(name, func(t *testing.T) {
			playRouted(t, func(g *WithT, w *world, client *http.Client) {
				config := testConfig()
				config.Limits.BodyBytes = 1 << 20
				w.table = mustTable(config)
				slow := w.sendSlowly(g, c.header, c.sent)
				refused := call(g, client, "POST", "/once/", strings.Repeat("x", half))
				g.Expect(refused.status).To(Equal(503))
				g.Expect(refused.body).To(ContainSubstring("router_full"))
				g.Expect(w.count()).To(BeZero())
				g.Expect(slow.Close()).To(Succeed())
				time.Sleep(100 * time.Millisecond)
				g.Expect(call(g, client, "POST", "/once/", strings.Repeat("x", half)).status).To(Equal(200), "there is room again")
			})
		})
	}
}
