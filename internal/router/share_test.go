package router

import (
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/filters/choose"
)

// Guards against replacing the Retry-After of a team above its share by that of full endpoints.
func TestRefusalForAShareHasItsOwnRetryAfter(t *testing.T) {
	NewWithT(t).Expect(hasOwnRetryAfter(&choose.ShareError{})).To(BeTrue())
}
