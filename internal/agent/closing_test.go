package agent_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"coveferry/internal/agent"
	"coveferry/internal/memnet"
	"coveferry/internal/sched/fifo"
	"coveferry/internal/server"
	"coveferry/internal/wire"
)

// serveUntilClose answers each request with part of a body and the end of its connection. If the process
// ends with the first, nothing listens any more.
func serveUntilClose(l net.Listener, ends bool) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil && req.Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of a body")
		}
		if err == nil && req.Method == http.MethodOptions {
			_, _ = io.WriteString(conn, "HTTP/1.1 405 X\r\nContent-Length: 0\r\n\r\n")
		}
		if ends {
			_ = l.Close()
		}
		_ = conn.Close()
	}
}

// newServiceAgent returns an agent with one slot beside the service.
func newServiceAgent(client *http.Client) *agent.Agent {
	return agent.New(agent.Config{
		Endpoint: "e", Engine: agent.Engine{URL: "http://" + serviceAddress},
		Policy: fifo.New(fifo.Config{Slots: 1}), MaxBody: 1 << 10, Client: client,
	})
}

// Guards against the answer of a killed service that counts as whole.
func TestServiceAnswerThatEndsWithItsConnectionIsWholeOnlyIfTheServiceStillRuns(t *testing.T) {
	for ends, want := range map[bool]wire.Ending{false: wire.EndingComplete, true: wire.EndingEngineFailed} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			network := memnet.New()
			l, err := network.Listen(serviceAddress)
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			go serveUntilClose(l, ends)
			client := server.NewClient(nil, network.Dialer("agent"))
			defer client.CloseIdleConnections()
			ag := newServiceAgent(client)
			g.Expect(ending(g, callService(g, ag, "x"))).To(Equal(want))
		})
	}
}

// Guards against the chunks of two answers in one run, as after a late answer on a kept connection.
func TestRunWithTheChunksOfAnotherAnswerIsCutOff(t *testing.T) {
	g := NewWithT(t)
	other := strings.ReplaceAll(textChunk+endChunk, `"id":"a"`, `"id":"b"`)
	ag := agent.New(agent.Config{
		Endpoint: "e", Engine: agent.Engine{URL: "http://engine"}, MaxBody: 1 << 10,
		Policy: fifo.New(fifo.Config{Slots: 1}), Client: &http.Client{Transport: fixedEngine(textChunk + other + doneEvent)},
	})
	resp := attempt(g, ag, wire.Envelope{Request: "r", DeadlineMillis: 60_000})
	g.Expect(ending(g, resp)).To(Equal(wire.EndingEngineFailed))
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal(textChunk))
}

// Guards against an answer that looks whole though its service closed in the middle of the head.
func TestServiceAnswerWhoseHeadIsCutIsNotWhole(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Type: a/b\r\n\r\n",
	} {
		for cut := range len(head) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				network := memnet.New()
				l, err := network.Listen(serviceAddress)
				g.Expect(err).NotTo(HaveOccurred())
				defer l.Close()
				runs := 0
				go func() {
					for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
						if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && req.Method == http.MethodPost {
							runs++
							_, _ = io.WriteString(conn, head[:cut])
						}
						_ = conn.Close()
					}
				}()
				client := server.NewClient(nil, network.Dialer("agent"))
				defer client.CloseIdleConnections()
				ag := newServiceAgent(client)
				resp := callService(g, ag, "x")
				g.Expect(resp.StatusCode).NotTo(Equal(http.StatusOK), "%q", head[:cut])
				var refusal wire.Refusal
				g.Expect(json.NewDecoder(resp.Body).Decode(&refusal)).To(Succeed())
				g.Expect(refusal.Run).To(Equal(wire.RunUnknown))
				g.Expect(runs).To(Equal(1))
			})
		}
	}
}
