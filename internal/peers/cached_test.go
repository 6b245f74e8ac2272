package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
)

func TestCachedValueIsRecomputedAfterTTL(t *testing.T) {
	g := NewWithT(t)
	var c cached[int]
	computed := 0
	get := func(after time.Duration) (int, time.Duration) {
		return c.get(time.Unix(100, 0).Add(after), func() int { computed++; return computed })
	}
	for _, c := range []struct {
		after time.Duration
		value int
		age   time.Duration
	}{
		{0, 1, 0}, {cacheTTL - 1, 1, cacheTTL - 1}, {cacheTTL, 2, 0}, {cacheTTL + time.Millisecond, 2, time.Millisecond},
		{cacheTTL - time.Millisecond, 3, 0}, // the time of day was set back
	} {
		value, age := get(c.after)
		g.Expect(value).To(Equal(c.value), "%s", c.after)
		g.Expect(age).To(Equal(c.age), "%s", c.after)
	}
}

// The receiver of a cached report must know its actual age.
func TestCachedLoadReportsAge(t *testing.T) {
	g := NewWithT(t)
	reports := []balance.LoadSummary{{Endpoint: "e", Running: 3, AgeMillis: 7}}
	g.Expect(aged(reports, 30*time.Millisecond)).To(Equal([]balance.LoadSummary{{Endpoint: "e", Running: 3, AgeMillis: 37}}))
	g.Expect(aged(reports, 0)).To(Equal(reports))
	g.Expect(reports[0].AgeMillis).To(Equal(int64(7)), "the cached report must not change")
}
