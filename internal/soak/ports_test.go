package soak

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestConcurrentSoaksGetDifferentPorts(t *testing.T) {
	g := NewWithT(t)
	one, err := newPorts(7)
	g.Expect(err).NotTo(HaveOccurred())
	defer one.release()
	other, err := newPorts(7)
	g.Expect(err).NotTo(HaveOccurred())
	defer other.release()
	a, err := one.free(20)
	g.Expect(err).NotTo(HaveOccurred())
	b, err := other.free(20)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a).To(HaveLen(20))
	for _, address := range a {
		g.Expect(b).NotTo(ContainElement(address))
	}
	_, err = one.free(blockPorts)
	g.Expect(err).To(HaveOccurred())
}
