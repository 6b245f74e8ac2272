package agent_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/agent"
	"coveferry/internal/sched/fifo"
	"coveferry/internal/server"
	"coveferry/internal/server/servertest"
	"coveferry/internal/wire"
)

// serveEarlyReset answers each upload before it is read, without a length, and resets the connection. The
// service itself goes on.
func serveEarlyReset(conn *net.TCPConn) {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if req.Method == http.MethodOptions {
		_, _ = io.WriteString(conn, "HTTP/1.1 204 X\r\n\r\n")
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of a body")
	time.Sleep(10 * time.Millisecond)
	_ = conn.SetLinger(0)
}

// Guards against a part of an answer that the agent takes for the whole of it.
func TestServiceAnswerThatIsResetDuringItsUploadIsNotWhole(t *testing.T) {
	const (
		uploads     = 10
		uploadBytes = 16 << 20 // more than a connection takes of a body that nobody reads
	)
	g := NewWithT(t)
	address := servertest.ListenRaw(t, serveEarlyReset)
	client := server.NewClient(nil, nil)
	defer client.CloseIdleConnections()
	ag := agent.New(agent.Config{
		Endpoint: "e", Engine: agent.Engine{URL: "http://" + address},
		Policy: fifo.New(fifo.Config{Slots: 1}), MaxBody: uploadBytes, Client: client,
	})
	for range uploads {
		resp := callService(g, ag, strings.Repeat("x", uploadBytes))
		if resp.StatusCode == http.StatusOK {
			g.Expect(ending(g, resp)).To(Equal(wire.EndingEngineFailed))
		}
	}
}
