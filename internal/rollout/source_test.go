package rollout_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"coveferry/internal/rollout"
	"coveferry/internal/server"
)

// Guards against an answer that is read as if one of its lines, such as that of the version, weren't there.
func TestServicesAnswerWithABlankInTheNameOfAFieldIsAnError(t *testing.T) {
	g := NewWithT(t)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Version : 7\r\nContent-Length: 2\r\n\r\n{}")
		_ = conn.Close()
	}))
	defer service.Close()
	base, err := url.Parse(service.URL)
	g.Expect(err).NotTo(HaveOccurred())
	client := rollout.NewServiceClient(base, nil)
	defer client.Close()
	_, _, _, err = client.Manifest(t.Context(), 0)
	var malformed *server.MalformedHeadError
	g.Expect(errors.As(err, &malformed)).To(BeTrue(), "%v", err)
}
