package daemon

import (
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/slo"
)

func TestObjectivesFromBundle(t *testing.T) {
	g := NewWithT(t)
	o := objectives(bundle.NewSnapshot(&bundle.Bundle{
		Classes: []bundle.Class{{Name: "receipts", Objective: 0.99}, {Name: "reviews"}},
	}))
	g.Expect(o.Check()).To(Succeed())
	g.Expect(o.For("receipts")).To(Equal(0.99))
	g.Expect(o.For("reviews")).To(Equal(slo.DefaultObjective))
}
