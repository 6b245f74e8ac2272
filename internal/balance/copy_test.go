package balance

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A retry leaves out endpoints, so that fewer may be left than the last decision dedicated.
func TestCopyTargetWithFewerEndpointsThanDedicated(t *testing.T) {
	g := NewWithT(t)
	p := NewPromptAware()
	p.demand.last = map[string]separation{"": {tight: []int64{250}, kept: 9}}
	views := []View{
		{Endpoint: "a", FailureDomain: "x", Weight: 1},
		{Endpoint: "b", FailureDomain: "y", Weight: 1},
	}
	g.Expect(p.Expect(tight(1), views, nil, 0).Copy).To(Equal(1))
}
