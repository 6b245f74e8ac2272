package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/clock"
	"coveferry/internal/load"
	"coveferry/internal/poison"
	"coveferry/internal/telemetry"
	"coveferry/internal/upstream"
)

// Guards against a health check whose answer carries the load and sets no pace.
func TestPaceIsTakenFromHealthChecks(t *testing.T) {
	g := NewWithT(t)
	l := healthUpdater(t, upstream.Health{Connected: true, Signals: upstream.Signals{Load: &load.Report{Slots: 4, WorkPercent: 170}}}, nil)
	l.d.pool.SetSuspect("e", false) // makes the endpoint known
	g.Expect(l.d.duePaceChecks(time.Now())).To(BeEmpty(), "no endpoint has stated its pace")
	l.checkPace(context.Background(), "e")
	g.Expect(l.d.pool.PaceStated(time.Now())).To(BeTrue())
	views := l.d.pool.Views(time.Now(), l.d.endpoints("s"))
	g.Expect(views[0].Load.WorkPercent).To(Equal(170.0))
}

// Guards against a failed check for the pace that makes an endpoint suspect or sets its load.
func TestFailedPaceCheckChangesNoState(t *testing.T) {
	g := NewWithT(t)
	l := healthUpdater(t, upstream.Health{Signals: upstream.Signals{Load: &load.Report{Slots: 4, WorkPercent: 170}}}, errors.New("refused"))
	l.d.pool.SetSuspect("e", false)
	l.checkPace(context.Background(), "e")
	g.Expect(l.d.pool.PaceStated(time.Now())).To(BeFalse())
	g.Expect(l.d.pool.InService("e")).To(BeTrue())
}

type paceCheckKey struct{}

// Guards against a pace check that counts as proof that an endpoint survived a lost request, or that it
// accepts requests again after a backoff.
func TestPassedPaceCheckIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d, err := newDirect(DirectConfig{
		VM: "vm", FailureDomain: "y", Callers: "127.0.0.1:0", Store: &activeStore{},
		Health: func(check context.Context, _ *http.Client, _, _, _ string) (upstream.Health, error) {
			if check.Value(paceCheckKey{}) == nil {
				<-ctx.Done() // a check of membership, which the loss causes
				return upstream.Health{}, ctx.Err()
			}
			return upstream.Health{Connected: true, Signals: upstream.Signals{Load: &load.Report{Slots: 4, WorkPercent: 170}}}, nil
		},
	}, zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	go d.follower.Run(ctx)
	g.Eventually(func() int { return d.follower.Directory().Len() }).Should(Equal(1))
	entry, listed := d.follower.Directory().Entry("e")
	g.Expect(listed).To(BeTrue())
	request := poison.Request{Service: "s", Content: 1}
	for _, process := range []string{"e/" + entry.Endpoint.ProcessID(), "f/1", "g/1"} {
		now := clock.Boot()
		d.poison.RecordLoss(request, poison.Loss{Endpoint: process, Sent: now, At: now})
	}
	g.Expect(d.poison.Check(request).Refused).To(BeTrue())
	now := time.Now()
	d.pool.ApplySignals(now.Add(-2*time.Second), now.Add(-2*time.Second), "e", upstream.Signals{Backoff: time.Second})
	before := d.pool.Backoffs(now)
	d.updater.checkPace(context.WithValue(ctx, paceCheckKey{}, true), "e")
	g.Expect(d.pool.PaceStated(time.Now())).To(BeTrue(), "the endpoint was asked")
	g.Expect(d.poison.Check(request).Refused).To(BeTrue())
	g.Expect(d.pool.Backoffs(now)).To(Equal(before))
}

// Guards against paces that are missing from the metrics.
// Guards against paces that are missing from the metrics.
// Guards against paces that are missing from the metrics.
func TestPacesAreExported(t *testing.T) {
	g := NewWithT(t)
	l := healthUpdater(t, upstream.Health{}, nil)
	l.d.pool.Views(time.Now(), l.d.endpoints("s"))
	start := time.Now().Add(-3 * time.Second)
	for n := range 10 {
		l.d.pool.Report(start.Add(time.Duration(n)*300*time.Millisecond), "e", load.Report{Seq: uint64(n + 1), Slots: 4, WorkPercent: 170})
	}
	response := httptest.NewRecorder()
	telemetry.NewMux(l.d.reg, l.d.ready).ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	g.Expect(response.Body.String()).To(ContainSubstring(`coveferry_paced_endpoints{group="service s"} 1`))
	g.Expect(response.Body.String()).To(ContainSubstring(`coveferry_slow_endpoints{group="service s"} 0`))
	g.Expect(response.Body.String()).To(ContainSubstring(`coveferry_endpoint_pace{group="service s",quantile="0.5"} 1.7`))
}

// Guards against a log line for each endpoint when all become slow at once.
func TestPaceLogIsBounded(t *testing.T) {
	g := NewWithT(t)
	var l paceLog
	lines := 0
	start := time.Now()
	for n := range 100 {
		if _, ok := l.take(start.Add(time.Duration(n) * time.Millisecond)); ok {
			lines++
		}
	}
	g.Expect(lines).To(Equal(1))
	omitted, ok := l.take(start.Add(2 * time.Second))
	g.Expect(ok).To(BeTrue())
	g.Expect(omitted).To(Equal(99))
}
