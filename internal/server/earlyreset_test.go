package server_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/server"
	"coveferry/internal/server/servertest"
)

// uploadBytes is more than a connection takes of a request that nobody reads.
const uploadBytes = 16 << 20

const earlyAnswer = "part of an answer or all of it"

// answerEarly reads the beginning of a request, answers it without a length and ends the connection while the
// rest of the request is still being written.
func answerEarly(conn *net.TCPConn, end func(*net.TCPConn)) {
	_, _ = conn.Read(make([]byte, 1<<10))
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+earlyAnswer)
	time.Sleep(10 * time.Millisecond)
	end(conn)
}

// startEarlyPeer runs a peer that answers requests with answerEarly and returns its URL.
func startEarlyPeer(t *testing.T, end func(*net.TCPConn)) string {
	return "http://" + servertest.ListenRaw(t, func(conn *net.TCPConn) { answerEarly(conn, end) })
}

// countWhole uploads a body so many times and returns how many answers look whole.
func countWhole(g *WithT, client *http.Client, url string, uploads int) (whole int) {
	body := make([]byte, uploadBytes)
	for range uploads {
		resp, err := client.Post(url, "", bytes.NewReader(body))
		if err != nil {
			continue
		}
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			g.Expect(string(answer)).To(Equal(earlyAnswer))
			whole++
		}
	}
	return whole
}

func clientsByName() map[string]*http.Client {
	return map[string]*http.Client{
		"direct":   server.NewDirectClient(),
		"plain":    server.NewClient(nil, nil),
		"one shot": server.NewOneShotClient(time.Second),
		"strict":   {Transport: server.NewStrictTransport(&http.Transport{})},
	}
}

// Guards against a cut answer that looks whole since the write of the request took the report of the reset.
func TestAnswerResetDuringTheUploadIsNotComplete(t *testing.T) {
	const uploads = 50
	for end, reset := range map[string]func(*net.TCPConn){
		"reset":            func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
		"closed unread":    func(*net.TCPConn) {},
		"reset, half read": func(conn *net.TCPConn) { _, _ = io.CopyN(io.Discard, conn, uploadBytes/2); _ = conn.SetLinger(0) },
	} {
		for name, client := range clientsByName() {
			t.Run(end+", "+name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				g.Expect(countWhole(g, client, startEarlyPeer(t, reset), uploads)).To(BeZero(), "of %d answers", uploads)
			})
		}
	}
}

func TestAnswerEndedInOrderDuringTheUploadIsComplete(t *testing.T) {
	const uploads = 12
	for end, closeInOrder := range map[string]func(*net.TCPConn){
		"and the rest is read": func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) },
		"and nothing is read":  func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(5 * time.Second) },
	} {
		for name, client := range clientsByName() {
			t.Run(end+", "+name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				g.Expect(countWhole(g, client, startEarlyPeer(t, closeInOrder), uploads)).To(Equal(uploads))
			})
		}
	}
}
