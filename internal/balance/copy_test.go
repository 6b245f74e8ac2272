package balance

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A retry leaves out endpoints, so that fewer may be left than the last decision dedicated.
func TestCopyTargetWithFewerEndpointsThanDedicated(t *testing.T) {
	g := NewWithT(t)
	p := NewPromptAware()
	p.demand.isolations = map[string]isolation{"": {gapLimits: []int64{250}, dedicated: 9}}
	views := []View{
		{Endpoint: "a", FailureDomain: "x", Weight: 1},
		{Endpoint: "b", FailureDomain: "y", Weight: 1},
	}
	g.Expect(p.Estimate(tightGapRequest(1), views, nil, 0).CopyTo).To(Equal(1))
}
