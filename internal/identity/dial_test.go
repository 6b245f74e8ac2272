package identity_test

import (
	"io"
	"log"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"coveferry/internal/identity"
)

// A router that expects a1 at an address must send nothing if a2 answers there.
func TestDialTLSChecksTheNameAtEachAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestAuthority(t)
	served := 0
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served++
		peer, _ := identity.PeerOf(r.TLS)
		_, _ = w.Write([]byte(peer.String()))
	})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	f.must(err)
	agent := f.newIdentity(identity.RoleAgent, "a2", time.Hour)
	server := &http.Server{Handler: handler, TLSConfig: agent.ServerConfig(identity.RoleRouter), ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.ServeTLS(lis, "", "") }() // ends with Close
	defer server.Close()
	address := lis.Addr().String()
	url := "https://" + address
	names := map[string]string{}
	nameAt := func(address string) (string, bool) { name, ok := names[address]; return name, ok }
	router := f.newIdentity(identity.RoleRouter, "r1", time.Hour)
	client := &http.Client{Transport: &http.Transport{
		ForceAttemptHTTP2: true,
		DialTLSContext:    router.DialTLS((&net.Dialer{}).DialContext, identity.RoleAgent, nameAt),
	}}
	defer client.CloseIdleConnections()

	_, err = client.Get(url)
	g.Expect(errors.Is(err, identity.ErrWrongName)).To(gomega.BeTrue(), "%v", err)
	names[address] = "a1"
	_, err = client.Get(url)
	g.Expect(errors.Is(err, identity.ErrWrongName)).To(gomega.BeTrue(), "%v", err)
	g.Expect(served).To(gomega.BeZero())

	names[address] = "a2"
	resp, err := client.Get(url)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("coveferry://router/r1"))
	g.Expect(resp.ProtoMajor).To(gomega.Equal(2))
	g.Expect(served).To(gomega.Equal(1))
}
