package router_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// headsOf returns the heads of a whole answer to a request, by how they frame the body, and the body.
func headsOf(req *http.Request, body string) map[string][2]string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\n", req.Header.Get("Id"))
	return map[string][2]string{
		"length": {head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body},
		"chunks": {head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
		"none":   {head + "\r\n", body},
		"1.0":    {"HTTP/1.0" + head[len("HTTP/1.1"):] + "\r\n", body},
	}
}

// Guards against an answer that looks whole though its endpoint closed in the middle of the head, and
// against a second run of what may not run twice.
func TestAnswerWhoseHeadIsCutIsNeverPassedOn(t *testing.T) {
	const body = "id: 1\ndata: a\n\n"
	for _, framing := range []string{"length", "chunks", "none", "1.0"} {
		for path, again := range map[string]bool{"/once/": false, "/safe/": true, "/stream/": false, "/resume/": true} {
			t.Run(framing+path, func(t *testing.T) {
				for cut, whole := 0, false; !whole; cut++ {
					runRouted(t, func(g *WithT, w *routerFixture, client *http.Client) {
						w.handle = func(_ string, req *http.Request, conn net.Conn) {
							answer := headsOf(req, body)[framing]
							if w.receivedCount() > 1 {
								_, _ = io.WriteString(conn, answer[0]+answer[1])
								_ = conn.Close()
								return
							}
							whole = cut+1 == len(answer[0])
							_, _ = io.WriteString(conn, answer[0][:cut])
							_ = conn.Close()
						}
						got := call(g, client, "POST", path, "x")
						if !again {
							g.Expect(got.status).To(Equal(502), "cut after %d bytes", cut)
							g.Expect(w.receivedCount()).To(Equal(1))
							return
						}
						g.Expect(got.status).To(Equal(200), "cut after %d bytes", cut)
						g.Expect(got.err).NotTo(HaveOccurred())
						g.Expect(got.body).To(Equal(body))
						g.Expect(w.receivedCount()).To(Equal(2))
					})
				}
			})
		}
	}
}
