package server_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"coveferry/internal/server"
	"coveferry/internal/server/servertest"
)

// startRawPeer runs a peer that answers each request with the same bytes, keeps its connections, and returns its
// URL.
func startRawPeer(t *testing.T, answer string) string {
	return "http://" + servertest.ListenRaw(t, func(conn *net.TCPConn) { serveRaw(conn, answer) })
}

func serveRaw(conn net.Conn, answer string) {
	requests := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
	}
}

// expectMalformed expects each client to reject an answer for its head.
func expectMalformed(t *testing.T, answer string) {
	for name, client := range clientsByName() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := client.Get(startRawPeer(t, answer))
			var malformed *server.MalformedHeadError
			g.Expect(errors.As(err, &malformed)).To(BeTrue(), "%v", err)
			g.Expect(server.MayHaveSent(err)).To(BeTrue())
		})
	}
}

func TestAnswerWithoutAFinalStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000 X", "-00 X", "+20 X", "099 X", "101 X", "600 X", "999 X"} {
		t.Run(status, func(t *testing.T) { expectMalformed(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n") })
	}
}

func TestAnswerOfAnotherMajorVersionIsAnError(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0"} {
		t.Run(version, func(t *testing.T) { expectMalformed(t, version+" 200 OK\r\nContent-Length: 0\r\n\r\n") })
	}
}

func TestAnswerWithAFinalStatusIsReturned(t *testing.T) {
	for _, status := range []string{"200 OK", "200", "204 No Content", "299 X", "304 X", "404 X", "500 X", "599 X"} {
		for name, client := range clientsByName() {
			t.Run(status+" "+name, func(t *testing.T) {
				g := NewWithT(t)
				resp, err := client.Get(startRawPeer(t, "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\n\r\nHTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n"))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Body.Close()).To(Succeed())
				g.Expect(resp.Status).To(HavePrefix(status))
			})
		}
	}
}

func TestAnswerWithABlankInTheNameOfAFieldIsAnError(t *testing.T) {
	for _, line := range []string{"X Trouble: 1", "X-Trouble : 1", "Transfer-Encoding : chunked"} {
		t.Run(line, func(t *testing.T) { expectMalformed(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 0\r\n\r\n") })
	}
}

// Guards against the rest of a malformed answer that is read as the answer to the next request.
func TestConnectionOfAMalformedAnswerIsNotUsedAgain(t *testing.T) {
	for name, client := range clientsByName() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			url := startRawPeer(t, "HTTP/1.1 200 OK\r\nContent-Length : 5\r\nContent-Length: 0\r\n\r\n")
			for range 10 {
				reused, err := servertest.ReusesConnection(t.Context(), client, http.MethodPost, url)
				g.Expect(err).To(HaveOccurred())
				g.Expect(reused).To(BeFalse())
			}
		})
	}
}
