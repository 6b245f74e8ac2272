package age_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/age"
	"coveferry/internal/age/agetest"
)

func TestUnknownAgeExceedsEveryLimit(t *testing.T) {
	g := NewWithT(t)
	for _, unknown := range []age.Age{{}, age.Of(-1), age.Of(math.MinInt64), age.Since(time.Time{}, time.Now())} {
		g.Expect(unknown.Exceeds(math.MaxInt64)).To(BeTrue())
		g.Expect(unknown.Known()).To(BeFalse())
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

// Guards against values of a message that look new or overflow.
func TestValuesThatNoAgeCanHaveAreUnknown(t *testing.T) {
	g := NewWithT(t)
	for _, millis := range agetest.ImpossibleMillis {
		g.Expect(age.FromMillis(millis)).To(Equal(age.Age{}), "%d", millis)
	}
	g.Expect(age.FromOptionalMillis(nil)).To(Equal(age.Age{}))
	g.Expect(age.Age{}.OptionalMillis()).To(BeNil())
}

func FuzzAgeNeverLooksYoungerAfterAMessage(f *testing.F) {
	for _, seed := range []int64{0, 1, -1, 999_999, 1_000_001, math.MaxInt64, math.MinInt64} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, n int64) {
		before := age.Of(time.Duration(n))
		after := age.FromOptionalMillis(before.OptionalMillis())
		value, _ := before.Get()
		if after.Known() && (!before.Known() || !after.Exceeds(value-1)) {
			t.Errorf("%s became %s", before, after)
		}
		decoded, known := age.FromMillis(n).Get()
		if known && (decoded < 0 || decoded.Milliseconds() != n) {
			t.Errorf("%d ms became %s", n, decoded)
		}
	})
}
