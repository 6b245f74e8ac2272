package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/server/servertest"
)

func TestRequestWithNewConnectionUsesNoneThatIsOpen(t *testing.T) {
	g := NewWithT(t)
	peer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer peer.Close()
	client := NewDirectClient()
	defer client.CloseIdleConnections()
	reuses := func(ctx context.Context) bool {
		reused, err := servertest.ReusesConnection(ctx, client, http.MethodGet, peer.URL)
		g.Expect(err).NotTo(HaveOccurred())
		return reused
	}
	g.Expect(reuses(t.Context())).To(BeFalse(), "the first")
	g.Expect(reuses(t.Context())).To(BeTrue(), "another one")
	g.Expect(reuses(WithNewConnection(t.Context()))).To(BeFalse())
	g.Expect(reuses(t.Context())).To(BeTrue(), "the open one is left as it was")
}
