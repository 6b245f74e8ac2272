package attempts

import (
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/filters/wait"
	"coveferry/internal/retry"
)

// Guards against retries of a request that this router has no capacity for.
func TestRequestRefusedForLackOfCapacityIsNotRetried(t *testing.T) {
	c := classify(&wait.RefusedError{Reason: wait.ReasonLate}, false)
	NewWithT(t).Expect(c).To(Equal(classification{outcome: retry.OutcomeNotRun, final: true, reason: retry.ReasonOverload}))
}
