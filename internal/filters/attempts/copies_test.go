package attempts_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/filters/attempts"
	"coveferry/internal/filters/relay"
	"coveferry/internal/request"
	"coveferry/internal/retry"
	"coveferry/internal/runend"
	"coveferry/internal/wire"
)

// changingHolders is an endpoint with a copy that accepts work when it is asked for the first times only.
type changingHolders struct{ accepts, asked int }

func (h *changingHolders) AcceptsWork(time.Time, string) bool {
	h.asked++
	return h.asked <= h.accepts
}

func (*changingHolders) LosesAnswers(time.Time, string) bool { return false }

func (*changingHolders) ManyLoseAnswers(time.Time, []*bundle.Endpoint) bool { return false }

// endsAfter is a run that ends after a while.
type endsAfter time.Duration

func (d endsAfter) Wait(ctx context.Context, _ *bundle.Endpoint, _ string) (runend.Evidence, error) {
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case <-time.After(time.Duration(d)):
		return runend.EvidenceAnswered, nil
	}
}

// Guards against a second run of a stream that may not run twice where its copy's endpoint begins to leave
// while it is decided that the stream goes on from there.
func TestStreamThatMayNotRunTwiceGoesOnFromItsCopyOrNotAtAll(t *testing.T) {
	for name, maxRuns := range map[string]int{"runs once": 0, "has run as often as it may": 1} {
		for accepts := range 5 {
			t.Run(fmt.Sprint(name, ", accepts ", accepts), func(t *testing.T) {
				expectResumedFromCopyOnly(t, request.Request{NonIdempotent: maxRuns == 0, MaxRuns: maxRuns}, accepts)
			})
		}
	}
}

// expectResumedFromCopyOnly expects that a stream that breaks after its first event is sent again from its
// copy or not at all, whose endpoint accepts work when it is asked for the first times only.
func expectResumedFromCopyOnly(t *testing.T, r request.Request, accepts int) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r.Kind, r.Stream, r.CallerID = wire.KindRouted, true, "q"
		r.Deadline, r.Endpoint = time.Now().Add(time.Minute), &bundle.Endpoint{Name: "e"}
		f := attempts.New(&retry.Policy{}, func() float64 { return 0 }).
			ResumeOnlyAt(&changingHolders{accepts: accepts}).AwaitRunEnds(endsAfter(time.Second))
		made := 0
		err := f.Do(context.Background(), &r, func(_ context.Context, r *request.Request) error {
			made++
			if made > 1 {
				g.Expect(r.ResumeFrom).NotTo(BeNil(), "attempt %d", made)
				r.CopyTo = nil
				return nil
			}
			r.CopyTo, r.Arrival = &bundle.Endpoint{Name: "copy"}, request.ArrivalAnswered
			r.Delivered.Started = true
			r.Delivered.Tokens++
			return &relay.BrokenError{}
		})
		g.Expect(err == nil).To(Equal(made == 2))
		g.Expect(made == 2).To(Equal(accepts >= 2), "it is asked before the decision and before the attempt")
	})
}
