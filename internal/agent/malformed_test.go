package agent_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/agent"
	"coveferry/internal/sched/fifo"
	"coveferry/internal/server"
	"coveferry/internal/server/servertest"
	"coveferry/internal/wire"
)

// newRawServiceAgent returns an agent beside a service that answers each request with the same bytes.
func newRawServiceAgent(t *testing.T, answer string) *agent.Agent {
	address := servertest.ListenRaw(t, func(conn *net.TCPConn) {
		if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, answer)
		}
	})
	client := server.NewClient(nil, nil)
	t.Cleanup(client.CloseIdleConnections)
	return agent.New(agent.Config{
		Endpoint: "e", Engine: agent.Engine{URL: "http://" + address},
		Policy: fifo.New(fifo.Config{Slots: 1}), MaxBody: 1 << 10, Client: client,
	})
}

// expectEngineFailed expects an agent to report that its engine failed, though it answered.
func expectEngineFailed(t *testing.T, answer string) {
	g := NewWithT(t)
	resp := callService(g, newRawServiceAgent(t, answer), "x")
	g.Expect(resp.StatusCode).NotTo(Equal(http.StatusOK))
	var refusal wire.Refusal
	g.Expect(json.NewDecoder(resp.Body).Decode(&refusal)).To(Succeed())
	g.Expect(refusal.Reason).To(Equal(wire.ReasonEngineFailed))
	g.Expect(refusal.Run).To(Equal(wire.RunUnknown))
	g.Expect(refusal.EngineStatus).To(Equal(http.StatusBadGateway))
}

func TestServiceAnswerWithoutAFinalStatusIsAFailure(t *testing.T) {
	for _, status := range []string{"000 X", "+20 X", "101 X", "600 X"} {
		t.Run(status, func(t *testing.T) { expectEngineFailed(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok") })
	}
}

func TestServiceAnswerWithABlankInTheNameOfAFieldIsAFailure(t *testing.T) {
	for _, line := range []string{"X Trouble: 1", "Content-Length : 2", "Transfer-Encoding : chunked"} {
		t.Run(line, func(t *testing.T) { expectEngineFailed(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\nok") })
	}
}
