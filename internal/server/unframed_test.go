package server_test

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/server"
)

// readOverHTTP10 sends an HTTP/1.0 request and returns how the answer's connection ended.
func readOverHTTP10(g *WithT, address string) (answer string, err error) {
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(conn)
	return string(text), err
}

// Guards against a cut answer that a caller of HTTP/1.0 takes for whole: it ends with its connection.
func TestCutAnswerOverHTTP10EndsByAReset(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(s *server.Server)
		whole bool
	}{
		"whole":             {func(*server.Server) {}, true},
		"aborted":           {func(*server.Server) { panic(http.ErrAbortHandler) }, false},
		"the server ends":   {func(s *server.Server) { _ = s.Kill(); time.Sleep(100 * time.Millisecond) }, false},
		"the stop takes on": {func(s *server.Server) { _ = s.StopWithin(time.Millisecond); time.Sleep(100 * time.Millisecond) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			var s *server.Server
			s = server.New(server.Config{Listener: l, Grace: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "id: 1\n\n")
				_ = http.NewResponseController(w).Flush()
				c.end(s)
			})})
			go func() { _ = s.Run() }()
			defer func() { _ = s.Kill() }()
			answer, err := readOverHTTP10(g, l.Addr().String())
			g.Expect(answer).To(HaveSuffix("id: 1\n\n"))
			if c.whole {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(syscall.ECONNRESET))
		})
	}
}
