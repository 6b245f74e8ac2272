package router_test

import (
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
)

// refusal is an answer by which an endpoint states that it didn't run a request, and won't.
type refusal struct {
	status int
	header string
}

func (r refusal) write(conn net.Conn, req *http.Request) {
	writeAnswer(conn, r.status, "Id: "+req.Header.Get("Id")+"\r\n"+r.header, "")
}

// Guards against a second run, or a broken promise, where the refusal of an earlier attempt comes once more on
// the connection of the next one.
func TestRepeatedRefusalIsNotTakenForTheAnswerToTheNextAttempt(t *testing.T) {
	for name, refused := range map[string]refusal{
		"by another process": {http.StatusMisdirectedRequest, ""},
		"while full":         {http.StatusServiceUnavailable, "Not-Run: 1\r\n"},
	} {
		for _, path := range []string{"/once/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				runRoutedAmong(t, balance.Config{}, 1, func(g *WithT, w *routerFixture, client *http.Client) {
					restarted := &bundle.Endpoint{Name: "e1-restarted", Address: w.endpoints[0].Address, Services: []string{"s"}, Slots: 4}
					var refusedOn net.Conn
					runs := 0
					w.handle = func(_ string, req *http.Request, conn net.Conn) {
						if refusedOn == nil {
							refusedOn = conn
							w.endpoints = []*bundle.Endpoint{restarted}
							w.list(restarted)
							refused.write(conn, req)
							return
						}
						if conn == refusedOn {
							refused.write(conn, req)
						}
						runs++
						writeOK(conn, req, "id: 1\n\n")
					}
					got := call(g, client, "POST", path, "x")
					g.Expect(runs).To(Equal(1))
					g.Expect(got.status).To(Equal(200), "it has run")
				})
			})
		}
	}
}
