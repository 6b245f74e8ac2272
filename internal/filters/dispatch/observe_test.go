package dispatch

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/filters/relay"
	"coveferry/internal/load"
	"coveferry/internal/wire"
)

// recordingObserver records the failures that it receives.
type recordingObserver struct{ failed []bool }

func (*recordingObserver) Answered(string, wire.Clock, time.Time, load.Report) bool { return true }
func (o *recordingObserver) Failed(_, _ string, sent bool)                          { o.failed = append(o.failed, sent) }

func TestObserverReceivesConnectionFailuresOnly(t *testing.T) {
	canceledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		ctx  context.Context
		err  error
		want []bool
	}{
		{t.Context(), nil, nil},
		{t.Context(), &NoResponseError{Sent: false}, []bool{false}},
		{t.Context(), &NoResponseError{Sent: true}, []bool{true}},
		{t.Context(), &relay.BrokenError{}, []bool{true}},
		{t.Context(), &relay.BrokenError{Ending: wire.EndingEngineFailed}, nil},
		{t.Context(), &RefusedError{}, nil},
		{canceledCtx, &NoResponseError{Sent: true}, nil},
	} {
		observer := &recordingObserver{}
		f := &Filter{}
		f.SetObserver(observer)
		f.reportConnectionFailure(c.ctx, &bundle.Endpoint{Name: "e0"}, c.err)
		NewWithT(t).Expect(observer.failed).To(Equal(c.want), "%v", c.err)
	}
}
