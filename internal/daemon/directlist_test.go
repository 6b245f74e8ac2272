package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/clock"
	"coveferry/internal/directory"
	"coveferry/internal/follow"
	"coveferry/internal/membership"
	"coveferry/internal/poison"
	"coveferry/internal/route"
	"coveferry/internal/upstream"
)

// evacuatedStore is a store with one endpoint, in an evacuated failure domain.
type evacuatedStore struct{ follow.Store }

func (evacuatedStore) OperatorState(context.Context) (follow.OperatorState, error) {
	return follow.OperatorState{Config: &route.Config{Version: 1}, Evacuated: []string{"x"}, Revision: directory.Revision{Number: 1}}, nil
}

func (evacuatedStore) Page(context.Context, string, bool) (follow.Page, error) {
	entry := directory.Entry{Endpoint: bundle.Endpoint{Name: "e", VM: "e", Address: "10.0.0.1:80", FailureDomain: "x", Services: []string{"s"}, Slots: 4}}
	return follow.Page{Reading: directory.Reading{Entries: []directory.Entry{entry}, Revision: directory.Revision{Number: 1}}}, nil
}

func (evacuatedStore) Await(ctx context.Context, _ directory.Revision, _ time.Duration) (follow.Reading, error) {
	<-ctx.Done()
	return follow.Reading{}, ctx.Err()
}

// A health check takes up capacity like any request, and an evacuated failure domain must get
// nothing.
func TestHealthCheckSkipsEvacuatedEndpoint(t *testing.T) {
	g := NewWithT(t)
	calls := 0
	d, err := newDirect(DirectConfig{
		VM: "vm", FailureDomain: "y", Callers: "127.0.0.1:0", Store: evacuatedStore{},
		Health: func(context.Context, *http.Client, string, string, string) (upstream.Health, error) {
			calls++
			return upstream.Health{Connected: true}, nil
		},
	}, zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.follower.Run(ctx)
	g.Eventually(func() int { return d.follower.Directory().Len() }).Should(Equal(1))
	_, err = d.updater.checkHealth(ctx, "e")
	g.Expect(err).To(MatchError(membership.ErrProbeSkipped))
	g.Expect(calls).To(BeZero())
	g.Expect(d.pool.AcceptsWork(time.Now(), "e")).To(BeFalse())
}

// A health check counts against an endpoint's rate limit like a request.
func TestHealthChecksCountAgainstRateLimit(t *testing.T) {
	g := NewWithT(t)
	calls := 0
	d, err := newDirect(DirectConfig{
		VM: "vm", FailureDomain: "y", Callers: "127.0.0.1:0", Store: &activeStore{},
		Health: func(context.Context, *http.Client, string, string, string) (upstream.Health, error) {
			calls++
			return upstream.Health{Connected: true, Signals: upstream.Signals{RateLimit: upstream.RateLimit{Kind: upstream.LimitSet, PerSecond: 1}}}, nil
		},
	}, zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.follower.Run(ctx)
	g.Eventually(func() int { return d.follower.Directory().Len() }).Should(Equal(1))
	_, err = d.updater.checkHealth(ctx, "e")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.pool.Limits().Endpoints).To(Equal(1), "the limit in a health response applies")
	refused := 0
	for range 5 {
		if _, err := d.updater.checkHealth(ctx, "e"); errors.Is(err, membership.ErrProbeSkipped) {
			refused++
		}
	}
	g.Expect(calls).To(BeNumerically("<=", 2))
	g.Expect(refused).To(BeNumerically(">=", 4))
}

// activeStore is a store with one endpoint that may get requests.
type activeStore struct{ evacuatedStore }

func (activeStore) OperatorState(context.Context) (follow.OperatorState, error) {
	return follow.OperatorState{Config: &route.Config{Version: 1}, Revision: directory.Revision{Number: 1}}, nil
}

// healthUpdater returns an updater whose endpoint "e" answers health checks as given.
func healthUpdater(t *testing.T, health upstream.Health, err error) *directoryUpdater {
	answer := make(chan struct{})
	close(answer)
	return healthUpdaterAfter(t, answer, health, err)
}

// healthUpdaterAfter is healthUpdater for an endpoint that answers once the channel is closed.
func healthUpdaterAfter(t *testing.T, answer <-chan struct{}, health upstream.Health, err error) *directoryUpdater {
	g := NewWithT(t)
	d, newErr := newDirect(DirectConfig{
		VM: "vm", FailureDomain: "y", Callers: "127.0.0.1:0", Store: &activeStore{},
		Health: func(context.Context, *http.Client, string, string, string) (upstream.Health, error) {
			<-answer
			return health, err
		},
	}, zerolog.Nop())
	g.Expect(newErr).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go d.follower.Run(ctx)
	g.Eventually(func() int { return d.follower.Directory().Len() }).Should(Equal(1))
	return d.updater
}

// An endpoint that leaves or asks for backoff answers its health checks with 503.
func TestHealthCheckThatSaysLeavingOrBackoffIsNoFailure(t *testing.T) {
	g := NewWithT(t)
	unhealthy := errors.New("status 503")
	leaving := healthUpdater(t, upstream.Health{Connected: true, Signals: upstream.Signals{Leaving: true}}, unhealthy)
	result, err := leaving.checkHealth(context.Background(), "e")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result).To(Equal(membership.HealthResult{Connected: true, Leaving: true}))
	backoff := healthUpdater(t, upstream.Health{Connected: true, Signals: upstream.Signals{Backoff: time.Minute}}, unhealthy)
	_, err = backoff.checkHealth(context.Background(), "e")
	g.Expect(err).To(MatchError(membership.ErrProbeSkipped))
	failing := healthUpdater(t, upstream.Health{Connected: true}, unhealthy)
	result, err = failing.checkHealth(context.Background(), "e")
	g.Expect(err).To(MatchError(unhealthy))
	g.Expect(result).To(Equal(membership.HealthResult{Connected: true}))
}

// An endpoint that broke a connection and answers its health check right after it hasn't crashed.
func TestHealthCheckShowsThatAnEndpointSurvived(t *testing.T) {
	for name, c := range map[string]struct {
		health upstream.Health
		err    error
	}{
		"healthy": {upstream.Health{Connected: true}, nil},
		"leaving": {upstream.Health{Connected: true, Signals: upstream.Signals{Leaving: true}}, errors.New("status 503")},
	} {
		g := NewWithT(t)
		answer := make(chan struct{}) // the router checks an endpoint by itself once it seems to have crashed
		l := healthUpdaterAfter(t, answer, c.health, c.err)
		entry, listed := l.d.follower.Directory().Entry("e")
		g.Expect(listed).To(BeTrue(), name)
		request := poison.Request{Service: "s", Content: 1}
		for _, process := range []string{"e/" + entry.Endpoint.ProcessID(), "f/1", "g/1"} {
			now := clock.Boot()
			l.d.poison.RecordLoss(request, poison.Loss{Endpoint: process, Sent: now, At: now})
		}
		g.Expect(l.d.poison.Check(request).Refused).To(BeTrue(), name)
		close(answer)
		_, err := l.checkHealth(context.Background(), "e")
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(l.d.poison.Check(request).Refused).To(BeFalse(), name)
	}
}
