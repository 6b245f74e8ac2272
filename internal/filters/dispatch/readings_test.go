package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/wire"
)

// Guards against using a delayed clock reading, for example after a pause of the router:
// it would make the router's next attempt look older than it is.
func TestFastestClockReadingIsKept(t *testing.T) {
	start := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	for _, c := range []struct {
		name        string
		incarnation string
		millis      int64
		at          time.Duration
		kept        bool
	}{
		{"as fast", "i", 60_000, time.Minute, false},
		{"received after a pause", "i", 60_000, 80 * time.Second, true},
		{"slower within the drift", "i", 59_990, time.Minute, false},
		{"slower than the drift", "i", 59_980, time.Minute, true},
		{"another agent", "j", 0, time.Minute, false},
	} {
		g := NewWithT(t)
		rs := newClockReadings()
		rs.add("e", start, wire.Clock{Incarnation: "i"})
		next := wire.Clock{Incarnation: c.incarnation, Millis: c.millis}
		rs.add("e", after(c.at), next)
		got, age := rs.latest("e", after(2*time.Minute))
		if c.kept {
			g.Expect(got).To(Equal(wire.Clock{Incarnation: "i"}), c.name)
			g.Expect(age).To(Equal(2*time.Minute), c.name)
			continue
		}
		g.Expect(got).To(Equal(next), c.name)
		g.Expect(age).To(Equal(2*time.Minute-c.at), c.name)
	}
}
