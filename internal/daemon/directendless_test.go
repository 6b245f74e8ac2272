package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// serveStuckAnswer sends a long part of an answer without an end, and then nothing until the caller
// closes, so that all of them are held at once.
func serveStuckAnswer(conn net.Conn, first string, rest []byte) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(first, "ID", req.Header.Get("Coveferry-Request-Id")))
	_, _ = conn.Write(rest)
	_, _ = io.Copy(io.Discard, conn)
}

// Guards against a router that exceeds its memory by answers without an end.
func TestManyAnswersWithoutEndFitMemory(t *testing.T) {
	const (
		requests = 300
		memory   = 134 << 20
	)
	before := memoryInUse()
	head := "HTTP/1.1 200 OK\r\nCoveferry-Request-Id: ID\r\nConnection: close\r\n"
	for name, c := range map[string]struct {
		stream          bool
		first, repeated string
	}{
		"head":  {false, head, "X-Some: value\r\n"},
		"event": {true, head + "\r\nid: 1\ndata: ", "x"},
		"body":  {false, head + "\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rest := []byte(strings.Repeat(c.repeated, 250<<10/len(c.repeated))) // one copy for all connections
			open, bodies := directMemoryLimits(memory)
			r := startMeasuredRouter(t, measuredRouter{
				serve:  func(conn net.Conn) { serveStuckAnswer(conn, c.first, rest) },
				stream: c.stream, timeout: 3 * time.Second, open: open, bodies: bodies, grace: 100 * time.Millisecond,
			})
			for range requests {
				conn, err := net.Dial("tcp", r.address)
				g.Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				_, _ = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
			}
			most := int64(0)
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				most = max(most, memoryInUse()-before)
			}
			t.Logf("%d KB each", most/requests>>10)
			g.Expect(most).To(BeNumerically("<", openBytes*requests+bodies))
			_ = r.stop() // aborts the requests, whose answers have no end
		})
	}
}
