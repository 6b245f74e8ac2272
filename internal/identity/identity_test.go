package identity_test

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/identity"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// testAuthority is an authority with a clock that the test controls.
type testAuthority struct {
	t   *testing.T
	now time.Time
	ca  *identity.Authority
}

func newTestAuthority(t *testing.T) *testAuthority {
	f := &testAuthority{t: t, now: start}
	ca, err := identity.Ephemeral(identity.WithClock(f.clock))
	f.must(err)
	f.ca = ca
	return f
}

func (f *testAuthority) clock() time.Time { return f.now }

func (f *testAuthority) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *testAuthority) issue(role identity.Role, name string, validity time.Duration) identity.Pair {
	pair, err := f.ca.Issue(role, name, validity)
	f.must(err)
	return pair
}

func (f *testAuthority) newIdentity(role identity.Role, name string, validity time.Duration) *identity.Identity {
	pair := f.issue(role, name, validity)
	id, err := identity.New(f.ca.CertPEM(), pair.CertPEM, pair.KeyPEM, identity.WithClock(f.clock))
	f.must(err)
	return id
}

// result is the outcome of one connection at each side.
type result struct {
	server, client error
	got            string // text read by the client
}

const secret = "for the fleet only"

// dial connects a TLS client and server. The server sends a secret after its
// handshake.
func dial(server, client *tls.Config) result {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return result{server: err, client: err}
	}
	defer lis.Close()
	done := make(chan error, 1)
	go func() {
		serverConn, err := lis.Accept()
		if err != nil {
			done <- err
			return
		}
		defer serverConn.Close()
		conn := tls.Server(serverConn, server)
		err = conn.Handshake()
		done <- err
		if err == nil {
			io.WriteString(conn, secret)
			conn.Close()
		}
	}()
	clientConn, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		return result{server: err, client: err}
	}
	conn := tls.Client(clientConn, client)
	err = conn.Handshake()
	got, readErr := io.ReadAll(conn)
	clientConn.Close()
	return result{server: <-done, client: errors.Join(err, readErr), got: string(got)}
}

func TestServerRejectsUnauthorizedClients(t *testing.T) {
	f, other := newTestAuthority(t), newTestAuthority(t)
	agent := f.newIdentity(identity.RoleAgent, "a1", 48*time.Hour)
	router := f.newIdentity(identity.RoleRouter, "r1", time.Hour)
	early := f.newIdentity(identity.RoleRouter, "early", time.Hour)
	foreign := other.newIdentity(identity.RoleRouter, "r1", time.Hour)
	toAgent := func(id *identity.Identity) *tls.Config { return id.ClientConfig(identity.RoleAgent, "a1") }
	// An unauthorized client accepts any server, so that only the server's
	// check can reject it.
	acceptAnyServer := func(cfg *tls.Config) *tls.Config { cfg.VerifyConnection = nil; return cfg }
	tls12 := toAgent(router)
	tls12.MaxVersion = tls.VersionTLS12
	tls12.MinVersion = tls.VersionTLS12

	for _, c := range []struct {
		name   string
		client *tls.Config
		at     time.Duration
		want   error
	}{
		{"member", toAgent(router), 0, nil},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, 0, identity.ErrNoCertificate},
		{"another authority", acceptAnyServer(toAgent(foreign)), 0, identity.ErrUnknownAuthority},
		{"wrong role", toAgent(f.newIdentity(identity.RoleOperator, "o1", time.Hour)), 0, identity.ErrWrongRole},
		{"expired", toAgent(router), 2 * time.Hour, identity.ErrExpired},
		{"not yet valid", toAgent(early), -time.Hour, identity.ErrNotYetValid},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f.now = start.Add(c.at)
			defer func() { f.now = start }()
			if c.at < 0 {
				acceptAnyServer(c.client) // the agent's certificate isn't valid yet either
			}
			res := dial(agent.ServerConfig(identity.RoleRouter), c.client)
			if c.want == nil {
				g.Expect(res.server).NotTo(gomega.HaveOccurred())
				g.Expect(res.got).To(gomega.Equal(secret))
				return
			}
			g.Expect(errors.Is(res.server, c.want)).To(gomega.BeTrue(), "%v", res.server)
			g.Expect(res.got).To(gomega.BeEmpty())
		})
	}
	g := gomega.NewWithT(t)
	res := dial(agent.ServerConfig(identity.RoleRouter), tls12)
	g.Expect(res.server).To(gomega.HaveOccurred(), "TLS 1.2")
	g.Expect(res.got).To(gomega.BeEmpty())
	res = dial(agent.ServerConfig(), toAgent(router))
	g.Expect(errors.Is(res.server, identity.ErrWrongRole)).To(gomega.BeTrue(), "no role allowed")
}

func TestClientChecksServer(t *testing.T) {
	f, other := newTestAuthority(t), newTestAuthority(t)
	router := f.newIdentity(identity.RoleRouter, "r1", 48*time.Hour)
	for _, c := range []struct {
		name   string
		server *identity.Identity
		expect string
		at     time.Duration
		want   error
	}{
		{"named", f.newIdentity(identity.RoleAgent, "a1", time.Hour), "a1", 0, nil},
		{"any name", f.newIdentity(identity.RoleAgent, "a2", time.Hour), identity.AnyName, 0, nil},
		{"wrong name", f.newIdentity(identity.RoleAgent, "a2", time.Hour), "a1", 0, identity.ErrWrongName},
		{"wrong role", f.newIdentity(identity.RoleRouter, "a1", time.Hour), "a1", 0, identity.ErrWrongRole},
		{"another authority", other.newIdentity(identity.RoleAgent, "a1", time.Hour), "a1", 0, identity.ErrUnknownAuthority},
		{"expired", f.newIdentity(identity.RoleAgent, "a1", time.Hour), "a1", 2 * time.Hour, identity.ErrExpired},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f.now = start.Add(c.at)
			defer func() { f.now = start }()
			server := c.server.ServerConfig(identity.RoleRouter)
			server.VerifyConnection = nil // an impostor accepts any client
			res := dial(server, router.ClientConfig(identity.RoleAgent, c.expect))
			if c.want == nil {
				g.Expect(res.client).NotTo(gomega.HaveOccurred())
				return
			}
			g.Expect(errors.Is(res.client, c.want)).To(gomega.BeTrue(), "%v", res.client)
			g.Expect(res.got).To(gomega.BeEmpty())
		})
	}
}

// An operator's certificate is not valid for a server, even if the client expects
// an operator.
func TestOperatorCertificateCannotServe(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestAuthority(t)
	server := f.newIdentity(identity.RoleOperator, "o1", time.Hour).ServerConfig(identity.RoleRouter)
	client := f.newIdentity(identity.RoleRouter, "r1", time.Hour).ClientConfig(identity.RoleOperator, "o1")
	res := dial(server, client)
	g.Expect(errors.Is(res.client, identity.ErrWrongRole)).To(gomega.BeTrue(), "%v", res.client)
	g.Expect(res.got).To(gomega.BeEmpty())
}

// writeFiles writes an identity's files into dir.
func (f *testAuthority) writeFiles(dir string, ca []byte, pair identity.Pair) {
	f.must(os.WriteFile(filepath.Join(dir, "ca"), ca, 0o600))
	f.must(os.WriteFile(filepath.Join(dir, "cert"), pair.CertPEM, 0o600))
	f.must(os.WriteFile(filepath.Join(dir, "key"), pair.KeyPEM, 0o600))
}

func TestReloadWithoutRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newTestAuthority(t)
		f.now = time.Now()
		ca, err := identity.Ephemeral(identity.WithClock(f.clock))
		f.must(err)
		f.ca = ca
		dir := t.TempDir()
		f.writeFiles(dir, ca.CertPEM(), f.issue(identity.RoleAgent, "a1", time.Hour))
		agent, err := identity.Load(filepath.Join(dir, "ca"), filepath.Join(dir, "cert"), filepath.Join(dir, "key"), identity.WithClock(f.clock))
		f.must(err)
		router := f.newIdentity(identity.RoleRouter, "r1", 100*time.Hour)
		server := agent.ServerConfig(identity.RoleRouter)
		client := router.ClientConfig(identity.RoleAgent, "a1")

		reports := make(chan error, 8)
		go agent.Watch(t.Context(), time.Minute, func(err error) { reports <- err })
		f.now = f.now.Add(2 * time.Hour)
		g.Expect(errors.Is(dial(server, client).client, identity.ErrExpired)).To(gomega.BeTrue())

		f.writeFiles(dir, ca.CertPEM(), f.issue(identity.RoleAgent, "a1", time.Hour))
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(dial(server, client).got).To(gomega.Equal(secret))
		g.Expect(agent.NotAfter()).To(gomega.BeTemporally("~", f.now.Add(time.Hour), time.Second))

		f.writeFiles(dir, ca.CertPEM(), f.issue(identity.RoleAgent, "a2", time.Hour))
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(errors.Is(<-reports, identity.ErrChanged)).To(gomega.BeTrue())
		g.Expect(dial(server, client).got).To(gomega.Equal(secret))

		// The router's authority is no longer trusted, so the router must be rejected.
		other := newTestAuthority(t)
		f.writeFiles(dir, other.ca.CertPEM(), f.issue(identity.RoleAgent, "a1", time.Hour))
		f.must(agent.Reload())
		g.Expect(errors.Is(dial(server, client).server, identity.ErrUnknownAuthority)).To(gomega.BeTrue())
	})
}

func TestIssueRefuses(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestAuthority(t)
	ca, err := identity.NewAuthority(time.Hour, identity.WithClock(f.clock))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = ca.Issue(identity.RoleRouter, "r1", 2*time.Hour)
	g.Expect(errors.Is(err, identity.ErrValidityTooLong)).To(gomega.BeTrue())
	_, err = ca.Issue("king", "r1", time.Minute)
	g.Expect(errors.Is(err, identity.ErrBadPeer)).To(gomega.BeTrue())
	for _, name := range []string{"", "a/b", "-a", "a b", "ä"} {
		_, err = ca.Issue(identity.RoleRouter, name, time.Minute)
		g.Expect(errors.Is(err, identity.ErrBadPeer)).To(gomega.BeTrue(), name)
	}
}

// The clock advances between any two readings, as a real one does, and must not
// make the certificate expire after its authority.
func TestIdentityLastsAsLongAsItsAuthority(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start
	clock := func() time.Time { now = now.Add(time.Millisecond); return now }
	ca, err := identity.Ephemeral(identity.WithClock(clock))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	agent, err := ca.Identity(identity.RoleAgent, "a1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(agent.NotAfter()).To(gomega.Equal(ca.NotAfter()))
}

func TestAuthorityRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestAuthority(t)
	keyPEM, err := f.ca.KeyPEM()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := identity.ParseAuthority(f.ca.CertPEM(), keyPEM, identity.WithClock(f.clock))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f.ca = again
	router := f.newIdentity(identity.RoleRouter, "r1", time.Hour)
	g.Expect(router.Peer().String()).To(gomega.Equal("coveferry://router/r1"))

	reg := prometheus.NewRegistry()
	router.RegisterMetrics(reg)
	families, err := reg.Gather()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(families[0].GetName()).To(gomega.Equal(identity.MetricNotAfter))
	g.Expect(families[0].GetMetric()[0].GetGauge().GetValue()).To(gomega.BeEquivalentTo(start.Add(time.Hour).Unix()))
}
