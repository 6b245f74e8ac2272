package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
)

func TestAValueServesForAWhileAndIsThenWorkedOutAnew(t *testing.T) {
	g := NewWithT(t)
	var l cached[int]
	worked := 0
	get := func(after time.Duration) (int, time.Duration) {
		return l.get(time.Unix(100, 0).Add(after), func() int { worked++; return worked })
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

// Who hears a report that has been held for a while must know how old it is.
func TestWordsThatAreHeldGrowOlder(t *testing.T) {
	g := NewWithT(t)
	held := []balance.LoadWord{{Endpoint: "e", Running: 3, AgeMillis: 7}}
	g.Expect(aged(held, 30*time.Millisecond)).To(Equal([]balance.LoadWord{{Endpoint: "e", Running: 3, AgeMillis: 37}}))
	g.Expect(aged(held, 0)).To(Equal(held))
	g.Expect(held[0].AgeMillis).To(Equal(int64(7)), "it is told to others, too")
}
