package age_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/age"
)

func TestUnknownAgeExceedsEveryLimit(t *testing.T) {
	g := NewWithT(t)
	for _, unknown := range []age.Age{{}, age.Of(-1), age.Of(math.MinInt64), age.Since(time.Time{}, time.Now())} {
		g.Expect(unknown.Exceeds(math.MaxInt64)).To(BeTrue())
		g.Expect(unknown.Less(age.Of(math.MaxInt64))).To(BeFalse())
		g.Expect(age.Of(math.MaxInt64).Less(unknown)).To(BeTrue())
		_, known := unknown.Get()
		g.Expect(known).To(BeFalse())
		g.Expect(unknown.String()).To(Equal("unknown"))
	}
}

// Guards against an age below zero, which no limit would ever exceed.
func TestConfirmationOfALaterTimeIsNotBelieved(t *testing.T) {
	g := NewWithT(t)
	now := time.Now().Round(0)
	g.Expect(age.Since(now.Add(time.Nanosecond), now).Exceeds(time.Hour)).To(BeTrue())
	g.Expect(age.Since(now.Add(math.MaxInt64), now).Exceeds(time.Hour)).To(BeTrue())
	g.Expect(age.Since(now, now).Exceeds(0)).To(BeFalse())
	g.Expect(age.Since(now.Add(-time.Second), now)).To(Equal(age.Of(time.Second)))
}
