package wire_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"coveferry/internal/load"
	"coveferry/internal/wire"
)

func TestHeaderRoundTrip(t *testing.T) {
	g := NewWithT(t)
	h := http.Header{}
	sent := wire.End{Ending: wire.EndingComplete, Tokens: 7, Load: load.Report{Seq: 1, Slots: 2, DrainPerSecond: 0.5}}
	g.Expect(wire.Encode(h, wire.HeaderEnd, sent)).To(Succeed())
	var got wire.End
	g.Expect(wire.Decode(h, wire.HeaderEnd, &got)).To(Succeed())
	g.Expect(got).To(Equal(sent))
}

func TestMalformedMessagesAreMarked(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "{", "[]", strings.Repeat(" ", 9<<10) + "{}"} {
		h := http.Header{}
		h.Set(wire.HeaderEnd, text)
		var end wire.End
		err := wire.Decode(h, wire.HeaderEnd, &end)
		g.Expect(errors.Is(err, wire.ErrMalformed)).To(BeTrue(), text)
	}
	good := wire.Envelope{Request: "r", Epoch: 1, Kind: wire.KindChat, DeadlineMillis: 1}
	g.Expect(good.Validate()).To(Succeed())
	for _, invalidate := range []func(*wire.Envelope){
		func(e *wire.Envelope) { e.Request = "" },
		func(e *wire.Envelope) { e.Epoch = 0 },
		func(e *wire.Envelope) { e.Kind = "" },
		func(e *wire.Envelope) { e.Tier = -1 },
		func(e *wire.Envelope) { e.Tier = load.MaxTiers },
		func(e *wire.Envelope) { e.DeadlineMillis = 0 },
	} {
		bad := good
		invalidate(&bad)
		g.Expect(errors.Is(bad.Validate(), wire.ErrMalformed)).To(BeTrue())
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"request":"r","epoch":1,"kind":"chat","deadline_ms":5}`)
	f.Add(`{"ending":"complete","load":{"q":[1,2,3]}}`)
	f.Fuzz(func(t *testing.T, text string) {
		h := http.Header{wire.HeaderEnvelope: {text}, wire.HeaderEnd: {text}, wire.HeaderLoad: {text}}
		var env wire.Envelope
		if wire.Decode(h, wire.HeaderEnvelope, &env) == nil && env.Validate() == nil {
			var report load.Report
			report.CountBelow(env.Tier) // valid envelopes have a tier in range
		}
		var end wire.End
		_ = wire.Decode(h, wire.HeaderEnd, &end)
	})
}
