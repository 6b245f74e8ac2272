package membership

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/load"
	"coveferry/internal/wire"
)

func endpointsOf(names ...string) []*bundle.Endpoint {
	var out []*bundle.Endpoint
	for _, n := range names {
		out = append(out, &bundle.Endpoint{Name: n})
	}
	return out
}

// announcer returns the announcer of the agent with the given name, which reports
// that the given endpoint is leaving.
func (m *routerMesh) announcer(agent, endpoint string, traffic *control.Traffic) *Announcer {
	return NewAnnouncer(AnnouncerConfig{
		Status: func() wire.Status {
			return wire.Status{Endpoint: endpoint, Clock: wire.Clock{Incarnation: "a"}, Load: load.Report{Seq: 1, Leaving: true}}
		},
		Routers: func() []bundle.Router { return m.routers },
		Client: control.ClientConfig{
			Identity: m.identity(identity.RoleAgent, agent), Dial: m.net.Dialer(agent), Traffic: traffic, Log: zerolog.Nop(),
		},
		Log: zerolog.Nop(),
	})
}

// recordRequest sends the announcer's agent a request from a peer with the given
// role and name.
func (m *routerMesh) recordRequest(a *Announcer, role identity.Role, name string) {
	pair, err := m.authority.Issue(role, name, time.Hour)
	m.g.Expect(err).NotTo(HaveOccurred())
	block, _ := pem.Decode(pair.CertPEM)
	cert, err := x509.ParseCertificate(block.Bytes)
	m.g.Expect(err).NotTo(HaveOccurred())
	r := httptest.NewRequest(http.MethodPost, wire.PathAttempts, nil)
	r.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{cert}, VerifiedChains: [][]*x509.Certificate{{cert}}}
	a.Wrap(http.NotFoundHandler()).ServeHTTP(httptest.NewRecorder(), r)
}

func TestNoticeIsSentToRecentlySeenRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRouterMesh(t, 4, 0, 0)
		defer m.stop()
		a := m.announcer("e0", "e0", nil)
		m.recordRequest(a, identity.RoleRouter, "r0")
		time.Sleep(routerTTL + time.Second)
		m.recordRequest(a, identity.RoleRouter, "r1")
		m.recordRequest(a, identity.RoleRouter, "r2")
		m.recordRequest(a, identity.RoleAgent, "r3")
		m.net.Cut("e0", m.routers[2].ControlAddress)
		start := time.Now()
		m.g.Expect(a.Announce(t.Context())).To(Equal(AnnounceResult{Notified: 1, Missed: 1}))
		m.g.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
		m.g.Expect(m.trackers[1].Snapshot(time.Now()).Members[0].Reason).To(Equal(ReasonNotice))
		m.g.Expect(m.countStates(0)).To(Equal(map[State]int{Leaving: 1, Live: 3}))
	})
}

// An agent must not be able to take another agent's endpoint out of service.
func TestNoticeForAnotherEndpointIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRouterMesh(t, 1, 0, 0)
		defer m.stop()
		a := m.announcer("e1", "e0", nil)
		m.recordRequest(a, identity.RoleRouter, "r0")
		m.g.Expect(a.Announce(t.Context())).To(Equal(AnnounceResult{Missed: 1}))
		m.g.Expect(m.countStates(0)).To(Equal(map[State]int{Live: 1}))
	})
}

// The traffic of a leaving grows by less than 6000 bytes for each notified router.
func TestNoticeBytesPerRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var bytes []float64
		sizes := []int{2, 8, 32}
		for _, n := range sizes {
			m := newRouterMesh(t, n, 0, 0)
			traffic := &control.Traffic{}
			a := m.announcer("e0", "e0", traffic)
			for _, r := range m.routers {
				m.recordRequest(a, identity.RoleRouter, r.Name)
			}
			m.g.Expect(a.Announce(t.Context())).To(Equal(AnnounceResult{Notified: n}))
			bytes = append(bytes, float64(traffic.Sent()+traffic.Received()))
			m.stop()
		}
		g := NewWithT(t)
		last := len(sizes) - 1
		slope := (bytes[last] - bytes[0]) / float64(sizes[last]-sizes[0])
		t.Logf("%.0f bytes per router, %.0f KB at 880 routers", slope, slope*880/1000)
		g.Expect(slope).To(BeNumerically("<", 6000))
	})
}
