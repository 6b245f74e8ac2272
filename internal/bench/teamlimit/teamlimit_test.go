package teamlimit

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

func TestInvalidOptionsAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, o := range []Options{
		{Limit: 1, Duration: time.Second},
		{Routers: []int{1}, Limit: 1, Duration: time.Second},
		{Routers: []int{2}, Duration: time.Second},
		{Routers: []int{2}, Limit: 1},
	} {
		_, err := Run(t.Context(), o, zerolog.Nop())
		g.Expect(errors.Is(err, ErrInvalid)).To(gomega.BeTrue(), "%+v", o)
	}
}

func TestRowSeparatesOverAdmissionFromUnderUse(t *testing.T) {
	g := gomega.NewWithT(t)
	o := Options{Limit: 10, Duration: 10 * time.Second}
	var c counts
	c.admitted.Store(150)
	over := newRow(2, "alone", o, &c)
	c.admitted.Store(25)
	under := newRow(2, "fair-share", o, &c)
	g.Expect([]float64{over.Over, over.Under, under.Over, under.Under}).To(gomega.Equal([]float64{0.5, 0, 0, 0.75}))
	var out bytes.Buffer
	g.Expect(Result{Rows: []Row{over}}.WriteTable(&out)).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.ContainSubstring("50.0%"))
}

func TestLastRouterGetsMostOfTheDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	l := &load{opt: Options{Limit: 100}, urls: make([]string, 5)}
	sum := 0.0
	for i := range l.urls {
		sum += l.demand(i)
	}
	g.Expect(sum).To(gomega.BeNumerically("~", 200, 1e-9))
	g.Expect(l.demand(4)).To(gomega.BeNumerically("~", 160, 1e-9))
}
