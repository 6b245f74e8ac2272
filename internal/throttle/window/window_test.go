package window

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestWindowCoversItsLengthAndAtMostATenthMore(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const length = 10 * time.Second
	for offset := time.Duration(0); offset < time.Second; offset += 50 * time.Millisecond {
		r := New(length)
		r.Add(start, Counts{})
		r.Add(start.Add(offset), Counts{Total: 1})
		end := start.Add(offset + length)
		g.Expect(r.Sum(end.Add(-time.Nanosecond)).Total).To(Equal(1), "%s", offset)
		g.Expect(r.Sum(end.Add(length/slicesPerWindow)).Total).To(BeZero(), "%s", offset)
	}
}
