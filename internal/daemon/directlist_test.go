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
	"coveferry/internal/directory"
	"coveferry/internal/follow"
	"coveferry/internal/membership"
	"coveferry/internal/route"
	"coveferry/internal/upstream"
)

// oneEndpoint is a store with an endpoint in a failure domain that is evacuated.
type oneEndpoint struct{ follow.Store }

func (oneEndpoint) OperatorState(context.Context) (follow.OperatorState, error) {
	return follow.OperatorState{Config: &route.Config{Version: 1}, Evacuated: []string{"x"}, Revision: 1}, nil
}

func (oneEndpoint) Page(context.Context, string, bool) (follow.Page, error) {
	entry := directory.Entry{Endpoint: bundle.Endpoint{Name: "e", VM: "e", Address: "10.0.0.1:80", FailureDomain: "x", Services: []string{"s"}, Slots: 4}}
	return follow.Page{Reading: directory.Reading{Entries: []directory.Entry{entry}, Revision: 1}}, nil
}

func (oneEndpoint) Await(ctx context.Context, _ uint64, _ time.Duration) (follow.Reading, error) {
	<-ctx.Done()
	return follow.Reading{}, ctx.Err()
}

// A health check takes a place like any request, and an evacuated failure domain gets nothing.
func TestAnEvacuatedEndpointIsNotAskedForItsHealth(t *testing.T) {
	g := NewWithT(t)
	asked := 0
	d, err := newDirect(Direct{
		VM: "vm", FailureDomain: "y", Callers: "127.0.0.1:0", Store: oneEndpoint{},
		Health: func(context.Context, *http.Client, string, string, string) (upstream.Health, error) {
			asked++
			return upstream.Health{Sent: true}, nil
		},
	}, zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.follower.Run(ctx)
	g.Eventually(func() int { return d.follower.Directory().Len() }).Should(Equal(1))
	_, err = d.list.health(ctx, "e")
	g.Expect(err).To(MatchError(membership.ErrNotAsked))
	g.Expect(asked).To(BeZero())
	g.Expect(d.pool.AcceptsWork("e")).To(BeFalse())
}

// One that limits its requests gets no more checks than requests.
func TestAnEndpointThatNamesALimitIsNotAskedForItsHealthBeyondIt(t *testing.T) {
	g := NewWithT(t)
	asked := 0
	d, err := newDirect(Direct{
		VM: "vm", FailureDomain: "y", Callers: "127.0.0.1:0", Store: &endpointInUse{},
		Health: func(context.Context, *http.Client, string, string, string) (upstream.Health, error) {
			asked++
			return upstream.Health{Sent: true, RateLimit: upstream.RateLimit{Statement: upstream.LimitNamed, PerSecond: 1}}, nil
		},
	}, zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.follower.Run(ctx)
	g.Eventually(func() int { return d.follower.Directory().Len() }).Should(Equal(1))
	_, err = d.list.health(ctx, "e")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.pool.Limits().Endpoints).To(Equal(1), "a check tells of a limit as well")
	refused := 0
	for range 5 {
		if _, err := d.list.health(ctx, "e"); errors.Is(err, membership.ErrNotAsked) {
			refused++
		}
	}
	g.Expect(asked).To(BeNumerically("<=", 2))
	g.Expect(refused).To(BeNumerically(">=", 4))
}

// endpointInUse is a store with an endpoint that may be sent work.
type endpointInUse struct{ oneEndpoint }

func (endpointInUse) OperatorState(context.Context) (follow.OperatorState, error) {
	return follow.OperatorState{Config: &route.Config{Version: 1}, Revision: 1}, nil
}
