package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/age"
	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/retry"
	"coveferry/internal/route"
	"coveferry/internal/router"
	"coveferry/internal/server"
	"coveferry/internal/upstream"
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
			endpoint, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer endpoint.Close()
			rest := []byte(strings.Repeat(c.repeated, 250<<10/len(c.repeated))) // one copy for all connections
			go func() {
				for {
					conn, err := endpoint.Accept()
					if err != nil {
						return
					}
					go serveStuckAnswer(conn, c.first, rest)
				}
			}()
			table, err := route.NewTable(route.Config{
				Services: []route.Service{{Name: "s"}},
				Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/", Stream: c.stream, Targets: []route.Target{{Service: "s", Weight: 1}}, Timeout: 3 * time.Second}},
			})
			g.Expect(err).NotTo(HaveOccurred())
			open, bodies := directMemoryLimits(memory)
			client := server.NewDirectClient()
			rt := router.New(router.Config{
				Pool: balance.NewPool(balance.Config{Policy: balance.NewPromptAware()}), Client: client, Retry: &retry.Policy{},
				BodyTimeout: time.Minute, MaxOpen: open, MaxBodyBytes: bodies, Rand: func() float64 { return 0 }, Log: zerolog.Nop(),
				Routing: &router.Routing{
					Routes: func() route.Snapshot { return route.Snapshot{Table: table, Age: age.Of(0)} },
					Endpoints: func(string) []*bundle.Endpoint {
						return []*bundle.Endpoint{{Name: "e", Address: endpoint.Addr().String(), Slots: requests}}
					},
					Protocol: upstream.Plain{}, Client: client,
					MaxKeyAge: func() time.Duration { return 0 },
				},
			})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			srv := server.New(server.Config{Listener: l, Handler: http.HandlerFunc(rt.ServeRouted), Grace: 100 * time.Millisecond, HeaderTimeout: time.Second})
			go func() { _ = srv.Run() }()
			for range requests {
				conn, err := net.Dial("tcp", l.Addr().String())
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
			runtime.KeepAlive(rt)
			_ = srv.Stop() // aborts the requests, whose answers have no end
		})
	}
}
