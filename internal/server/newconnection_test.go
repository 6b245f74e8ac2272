package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"

	. "github.com/onsi/gomega"
)

func TestRequestWithNewConnectionUsesNoneThatIsOpen(t *testing.T) {
	g := NewWithT(t)
	peer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer peer.Close()
	client := NewDirectClient()
	defer client.CloseIdleConnections()
	reuses := func(ctx context.Context) bool {
		reused := false
		trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { reused = c.Reused }}
		req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, peer.URL, nil)
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := client.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		return reused
	}
	g.Expect(reuses(t.Context())).To(BeFalse(), "the first")
	g.Expect(reuses(t.Context())).To(BeTrue(), "another one")
	g.Expect(reuses(WithNewConnection(t.Context()))).To(BeFalse())
	g.Expect(reuses(t.Context())).To(BeTrue(), "the open one is left as it was")
}
