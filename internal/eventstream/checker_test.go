package eventstream

import (
	"math/rand/v2"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// numbered returns an event with the given number.
func numbered(n int) Event { return Event{ID: strconv.Itoa(n), HasID: true, HasData: true} }

// run is the events of one attempt.
type run []int

// upTo returns a run of the events from the first number to the last.
func upTo(first, last int) run {
	var r run
	for n := first; n <= last; n++ {
		r = append(r, n)
	}
	return r
}

// relay passes a run's events to a caller at the position, up to one that isn't the next.
func relay(position *Position, numbers *Numbering, r run) (delivered []int, err error) {
	c := NewChecker(position, "s", numbers)
	defer c.Close()
	for _, n := range r {
		verdict, err := c.Check(numbered(n))
		if err != nil {
			return delivered, err
		}
		if verdict == Deliver {
			delivered = append(delivered, n)
		}
	}
	return delivered, nil
}

// A faulty run leaves out, repeats or goes back at random.
func faultyRun(rnd *rand.Rand, from, last int) run {
	r := upTo(max(1, from-rnd.IntN(4)), last)
	if rnd.IntN(2) == 0 {
		r = upTo(from+rnd.IntN(3), last)
	}
	for i := 1; i < len(r); i++ {
		switch rnd.IntN(20) {
		case 0:
			r[i] = r[i-1]
		case 1:
			r[i] += 1 + rnd.IntN(2)
		case 2:
			r[i] = 1 + rnd.IntN(r[i])
		}
	}
	return r
}

// knownNumbering returns a Numbering that has seen many whole streams of a service without gaps.
func knownNumbering() *Numbering {
	return &Numbering{services: map[string]*serviceNumbers{
		"s": {stepCount: stepCount{steps: maxSteps}, starts: startCount{id: "1", with: maxSteps}},
	}}
}

func TestCallersGetEachEventOnceAndInOrderWhateverRunsBring(t *testing.T) {
	const streamLength = 30
	whole := 0
	for seed := range uint64(500) {
		g := NewWithT(t)
		rnd := rand.New(rand.NewPCG(seed, 1))
		numbers := knownNumbering()
		var position Position
		var held run
		for attempt := 0; attempt < 40 && len(held) < streamLength; attempt++ {
			delivered, _ := relay(&position, numbers, faultyRun(rnd, len(held)+1, streamLength))
			held = append(held, delivered...)
		}
		g.Expect(held).To(Equal(upTo(1, len(held))), "seed %d", seed)
		if len(held) == streamLength {
			whole++
		}
	}
	t.Logf("%d of 500 streams are whole", whole)
	NewWithT(t).Expect(whole).To(BeNumerically(">", 475))
}

func TestRouterThatKnowsNothingBreaksOffOnlyWhereAStreamGoesOn(t *testing.T) {
	g := NewWithT(t)
	delivered, err := relay(&Position{}, nil, run{1, 2, 5})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(delivered).To(Equal([]int{1, 2, 5}))
	_, err = relay(&Position{LastID: "5"}, nil, run{7})
	g.Expect(err).To(Equal(&OrderError{Fault: FaultGap, After: "5", ID: "7"}))
}

func TestServiceThatLeavesOutNumbersIsKnownAfterFewStreams(t *testing.T) {
	g := NewWithT(t)
	numbers := NewNumbering()
	for range minSteps {
		_, err := relay(&Position{}, numbers, run{6, 12})
		g.Expect(err).NotTo(HaveOccurred())
	}
	delivered, err := relay(&Position{LastID: "12"}, numbers, run{18, 24})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(delivered).To(Equal([]int{18, 24}))
}

func TestStreamThatBeginsWithALaterEventIsBrokenOff(t *testing.T) {
	g := NewWithT(t)
	numbers := NewNumbering()
	for range 2 * minStarts {
		_, err := relay(&Position{}, numbers, upTo(1, 8))
		g.Expect(err).NotTo(HaveOccurred())
	}
	delivered, err := relay(&Position{}, numbers, upTo(2, 8))
	g.Expect(err).To(Equal(&OrderError{Fault: FaultGap, ID: "2"}))
	g.Expect(delivered).To(BeEmpty())
}

func TestServiceThatBeginsAnywhereIsServed(t *testing.T) {
	g := NewWithT(t)
	numbers := NewNumbering()
	for i := range 100 {
		_, err := relay(&Position{}, numbers, upTo(i%5, i%5+8))
		g.Expect(err).NotTo(HaveOccurred(), "stream %d", i)
	}
}

// One endpoint in sixteen leaves out an event of each run.
func TestFewFaultyEndpointsDoNotMakeGapsUsual(t *testing.T) {
	g := NewWithT(t)
	numbers := NewNumbering()
	for i := range 400 {
		r := upTo(1, 8)
		if i%16 == 0 {
			r = append(upTo(1, 4), upTo(6, 8)...)
		}
		_, _ = relay(&Position{}, numbers, r)
	}
	delivered, err := relay(&Position{}, numbers, run{1, 2, 4})
	g.Expect(err).To(Equal(&OrderError{Fault: FaultGap, After: "2", ID: "4"}))
	g.Expect(delivered).To(Equal([]int{1, 2}))
}

func TestCompareOfIDs(t *testing.T) {
	for _, c := range []struct {
		last, id string
		want     order
	}{
		{"4", "5", orderNext},
		{"4", "4", orderRepeated},
		{"4", "1", orderRepeated},
		{"4", "6", orderGap},
		{"9", "10", orderNext},
		{"run-1-9", "run-1-10", orderNext},
		{"run-1-9", "run-2-10", orderUnknown},
		{"a", "b", orderUnknown},
		{"a", "a", orderRepeated},
		{"4", "b", orderUnknown},
		{"99999999999999999999", "99999999999999999998", orderUnknown},
	} {
		NewWithT(t).Expect(compare(c.last, c.id)).To(Equal(c.want), "%s, %s", c.last, c.id)
	}
}

func TestPositionAfterEventsWithoutIDs(t *testing.T) {
	g := NewWithT(t)
	var p Position
	c := NewChecker(&p, "s", nil)
	for _, step := range []struct {
		event Event
		want  Position
	}{
		{Event{HasData: true}, Position{Unresumable: true}},
		{numbered(1), Position{LastID: "1"}},
		{Event{}, Position{LastID: "1"}},
		{Event{HasData: true}, Position{LastID: "1", Unresumable: true}},
		{numbered(2), Position{LastID: "2"}},
		{Event{HasID: true, HasData: true}, Position{LastID: "2", Unresumable: true}},
	} {
		verdict, err := c.Check(step.event)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(verdict).To(Equal(Deliver))
		g.Expect(p).To(Equal(step.want))
	}
}
