package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/follow"
	"coveferry/internal/server/servertest"
	"coveferry/internal/upstream"
)

// updaterOf returns an updater that knows the store's endpoint "e", which counts its health checks.
func updaterOf(t *testing.T, store follow.Store, checks *int) *directoryUpdater {
	g := NewWithT(t)
	d, err := newDirect(DirectConfig{
		VM: "vm", FailureDomain: "y", Callers: "127.0.0.1:0", Store: store,
		Health: func(context.Context, *http.Client, string, string, string) (upstream.Health, error) {
			*checks++
			return upstream.Health{Answered: true}, nil
		},
	}, zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go d.follower.Run(ctx)
	g.Eventually(func() int { return d.follower.Directory().Len() }).Should(Equal(1))
	return d.updater
}

// Guards against taking an answer that a process sent before it ended for a sign that it is alive.
func TestProcessIsAskedOverANewConnectionWhetherItIsAlive(t *testing.T) {
	g := NewWithT(t)
	checks := 0
	l := updaterOf(t, &activeStore{}, &checks)
	var used *http.Client
	l.d.cfg.Health = func(_ context.Context, c *http.Client, _, _, _ string) (upstream.Health, error) {
		used = c
		return upstream.Health{Answered: true}, nil
	}
	entry, _ := l.d.follower.Directory().Entry("e")
	g.Expect(l.processAlive(t.Context(), &entry.Endpoint)).To(BeTrue())
	peer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer peer.Close()
	for range 2 {
		g.Expect(servertest.ReusesConnection(t.Context(), used, http.MethodGet, peer.URL)).To(BeFalse())
	}
}

// An evacuated failure domain must get nothing, so it can't be asked whether an answer is whole.
func TestEvacuatedEndpointIsNotAskedWhetherItsProcessIsAlive(t *testing.T) {
	g := NewWithT(t)
	checks := 0
	l := updaterOf(t, evacuatedStore{}, &checks)
	entry, _ := l.d.follower.Directory().Entry("e")
	ctx, cancel := context.WithTimeout(context.Background(), 4*mayCheckInterval)
	defer cancel()
	g.Expect(l.processAlive(ctx, &entry.Endpoint)).To(BeFalse())
	g.Expect(checks).To(BeZero())
}

func TestEndpointThatAskedForBackoffIsNotAskedMeanwhileWhetherItsProcessIsAlive(t *testing.T) {
	g := NewWithT(t)
	checks := 0
	l := updaterOf(t, &activeStore{}, &checks)
	entry, _ := l.d.follower.Directory().Entry("e")
	now := time.Now()
	l.d.pool.ApplySignals(now, now, "e", upstream.Signals{Backoff: time.Minute})
	ctx, cancel := context.WithTimeout(context.Background(), 4*mayCheckInterval)
	defer cancel()
	g.Expect(l.processAlive(ctx, &entry.Endpoint)).To(BeFalse())
	g.Expect(checks).To(BeZero())
}
