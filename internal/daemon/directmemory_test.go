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

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/retry"
	"coveferry/internal/route"
	"coveferry/internal/router"
	"coveferry/internal/server"
	"coveferry/internal/upstream"
)

func TestRequestsAndBodiesFitMemoryLimit(t *testing.T) {
	for _, mb := range []int64{32, 88, 112, 144, 536} {
		g := NewWithT(t)
		memory := mb << 20
		open, bodies := directMemoryLimits(memory)
		const idle = 24 << 20 // of a router that knows some thousand endpoints
		g.Expect(open*openBytes+bodies).To(BeNumerically("<", memory*8/10), "%d MB", mb)
		if mb >= 100 {
			g.Expect(open*openBytes+bodies+idle).To(BeNumerically("<", memory), "%d MB", mb)
		}
	}
	open, bodies := directMemoryLimits(0)
	NewWithT(t).Expect(open).To(Equal(int64(directMaxOpen)))
	NewWithT(t).Expect(bodies).To(Equal(int64(directMaxBodyBytes)))
}

// serveEndlessStream answers with a stream that goes on as long as it is read. It buffers only
// a few bytes per connection.
func serveEndlessStream(conn net.Conn) {
	req, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCoveferry-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Coveferry-Request-Id"))
	event := "id: 1\ndata: " + strings.Repeat("x", 200) + "\n\n"
	for {
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
	}
}

// measuredRouter is a router in this process, before one endpoint that is a part of the process, too.
type measuredRouter struct {
	// serve is the endpoint's side of a connection.
	serve   func(conn net.Conn)
	stream  bool // the route's answers are streams
	timeout time.Duration
	// open and bodies are the router's limits, grace is the time for its stop.
	open, bodies int64
	grace        time.Duration
	// address is the router's, and stop stops it. Set by startMeasuredRouter.
	address string
	stop    func() error
}

func startMeasuredRouter(t *testing.T, r measuredRouter) measuredRouter {
	g := NewWithT(t)
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = endpoint.Close() })
	go func() {
		for {
			conn, err := endpoint.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	table, err := route.NewTable(route.Config{
		Services: []route.Service{{Name: "s"}},
		Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/", Stream: r.stream, Targets: []route.Target{{Service: "s", Weight: 1}}, Timeout: r.timeout}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	client := server.NewDirectClient()
	rt := router.New(router.Config{
		Pool: balance.NewPool(balance.Config{Policy: balance.NewPromptAware()}), Client: client, Retry: &retry.Policy{},
		BodyTimeout: time.Minute, MaxOpen: r.open, MaxBodyBytes: r.bodies, Rand: func() float64 { return 0 }, Log: zerolog.Nop(),
		Routing: &router.Routing{
			Routes: func() route.Snapshot { return route.Snapshot{Table: table} },
			Endpoints: func(string) []*bundle.Endpoint {
				return []*bundle.Endpoint{{Name: "e", Address: endpoint.Addr().String(), Slots: int(r.open)}}
			},
			Protocol: upstream.Plain{}, Client: client,
			MaxKeyAge: func() time.Duration { return 0 },
		},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	srv := server.New(server.Config{Listener: l, Handler: http.HandlerFunc(rt.ServeRouted), Grace: r.grace, HeaderTimeout: time.Second})
	go func() { _ = srv.Run() }()
	r.address, r.stop = l.Addr().String(), srv.Stop
	return r
}

// An open request whose caller doesn't read must not take more memory than openBytes,
// including the endpoint's side of the connection in this process.
func TestStalledCallerMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	const requests = 200
	r := startMeasuredRouter(t, measuredRouter{
		serve: serveEndlessStream, stream: true, timeout: time.Minute, open: requests, bodies: 1 << 20, grace: time.Second,
	})
	before := memoryInUse()
	var callers []net.Conn
	for i := range requests {
		conn, err := net.Dial("tcp", r.address)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nCoveferry-Request-Id: %d\r\nContent-Length: 0\r\n\r\n", i)
		_, err = io.ReadFull(conn, make([]byte, 64))
		g.Expect(err).NotTo(HaveOccurred())
		callers = append(callers, conn)
	}
	time.Sleep(300 * time.Millisecond)
	perRequest := (memoryInUse() - before) / requests
	t.Logf("%d bytes each", perRequest)
	g.Expect(perRequest).To(BeNumerically("<", openBytes))
	for _, conn := range callers {
		conn.Close()
	}
	g.Expect(r.stop()).To(Succeed())
}

// memoryInUse returns the bytes of the heap and the stacks.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
