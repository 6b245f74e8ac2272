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

// notes is an observer that keeps what it is told.
type notes struct{ failed []bool }

func (*notes) Answered(string, wire.Clock, time.Time, load.Report) bool { return true }
func (n *notes) Failed(_, _ string, sent bool)                          { n.failed = append(n.failed, sent) }

func TestObserverIsToldOfConnectionsOnly(t *testing.T) {
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		ctx  context.Context
		err  error
		want []bool
	}{
		{t.Context(), nil, nil},
		{t.Context(), &LostError{Sent: false}, []bool{false}},
		{t.Context(), &LostError{Sent: true}, []bool{true}},
		{t.Context(), &relay.BrokenError{}, []bool{true}},
		{t.Context(), &relay.BrokenError{Ending: wire.EndingEngineFailed}, nil},
		{t.Context(), &RefusedError{}, nil},
		{gone, &LostError{Sent: true}, nil},
	} {
		n := &notes{}
		f := &Filter{}
		f.Observe(n)
		f.observe(c.ctx, &bundle.Endpoint{Name: "e0"}, c.err)
		NewWithT(t).Expect(n.failed).To(Equal(c.want), "%v", c.err)
	}
}
