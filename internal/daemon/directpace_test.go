package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"coveferry/internal/load"
	"coveferry/internal/telemetry"
	"coveferry/internal/upstream"
)

// An endpoint that gets no work is asked for its pace by a health check, whose answer bears its load.
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

// A check for the pace that fails makes no endpoint suspect, and its answer no load.
func TestFailedPaceCheckSaysNothing(t *testing.T) {
	g := NewWithT(t)
	l := healthUpdater(t, upstream.Health{Signals: upstream.Signals{Load: &load.Report{Slots: 4, WorkPercent: 170}}}, errors.New("refused"))
	l.d.pool.SetSuspect("e", false)
	l.checkPace(context.Background(), "e")
	g.Expect(l.d.pool.PaceStated(time.Now())).To(BeFalse())
	g.Expect(l.d.pool.InService("e")).To(BeTrue())
}

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

// When all endpoints become slow at once, a line for each would fill the log.
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
