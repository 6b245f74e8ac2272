package membership

// A process that starts again under its name has nothing to do with the one before: that
// one's leaving, its broken connections and its late words don't hold for it. Evidence:
// before the list told incarnations apart, an endpoint that had said it leaves and started
// again under its name stayed out of use until its entry said something else, and words of
// the new process at another address counted as late for ever.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func placeOf(incarnation string) Bundle {
	return Bundle{Places: []Place{{Endpoint: "e0", VM: "vm0", Address: "10.0.0.1:1", Incarnation: incarnation}}}
}

func TestAnotherProcessUnderTheNameIsUsedAfresh(t *testing.T) {
	for name, before := range map[string]func(*scene){
		"leaving by the list": func(s *scene) { s.list("0s", []string{"!0"}) },
		"leaving by its word": func(s *scene) {
			s.apply(OwnWord{Endpoint: "e0", Incarnation: "100", Leaving: true, Via: ReasonReport})
		},
		"suspect": func(s *scene) { s.apply(ConnectionResult{Endpoint: "e0", Incarnation: "100", Result: Refused}) },
		"live":    func(*scene) {},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(NewWithT(t), 0)
			s.apply(placeOf("100"))
			s.list("0s", []string{"0"})
			s.wait("1s")
			before(s)
			changes := s.apply(placeOf("200"))
			s.g.Expect(changes).To(HaveLen(1))
			s.g.Expect(changes[0].Reason).To(Equal(ReasonRestarted))
			s.g.Expect(changes[0].To).To(Equal(Live))
			s.list("1s", []string{"0"})
			s.g.Expect(s.core.Members()[0].State).To(Equal(Live))

			// Late news of the process before.
			s.apply(ConnectionResult{Endpoint: "e0", Incarnation: "100", Result: Refused})
			s.g.Expect(s.core.Members()[0].State).To(Equal(Live))
			s.g.Expect(s.core.Counts(OwnWord{Endpoint: "e0", Incarnation: "200"})).To(BeTrue())
			// Its own failures count as ever.
			s.apply(ConnectionResult{Endpoint: "e0", Incarnation: "200", Result: Refused})
			s.g.Expect(s.core.Members()[0].State).To(Equal(Suspect))
		})
	}
}

func TestTheSameProcessKeepsWhatIsKnown(t *testing.T) {
	s := newScene(NewWithT(t), 0)
	s.apply(placeOf("100"))
	s.list("0s", []string{"!0"})
	s.g.Expect(s.apply(placeOf("100"))).To(BeEmpty())
	s.g.Expect(s.core.Members()[0].State).To(Equal(Leaving))
}

func TestWordsOfTheProcessBeforeAreLate(t *testing.T) {
	s := newScene(NewWithT(t), 0)
	s.apply(placeOf("100")) // which said nothing until it had ended
	s.apply(placeOf("200"))
	s.now = s.now.Add(time.Second)
	s.g.Expect(s.core.Counts(OwnWord{Endpoint: "e0", Incarnation: "100"})).To(BeFalse())
}
