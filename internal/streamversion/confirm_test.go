package streamversion

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var errAway = errors.New("the source is away")

// Guards against a stream that goes on at another version since the one that began it joined after the list
// was last known to be the newest.
func TestListThatIsOlderThanTheQuestionTellsNoVersion(t *testing.T) {
	for _, listAge := range []time.Duration{time.Millisecond, maxListAge / 4, maxListAge - time.Second} {
		for _, id := range []string{"a", ""} {
			run(t, func(f *fixture) {
				f.update("v1", "v1")
				time.Sleep(DefaultLongestReturn)
				f.confirmedAt, f.changesErr = time.Now().Add(-listAge), errAway
				found, known := f.find(id)
				f.Expect(known).To(BeFalse(), "%s: %+v", listAge, found)
				f.Expect(found.RetryIn).To(BeNumerically(">", 0), "its router may tell of it once the list is lost")
				f.Expect(found.RetryIn).To(BeNumerically("<=", maxListAge+toldWithin))
			})
		}
	}
}

func TestVersionThatJoinedSinceTheListWasReadIsFound(t *testing.T) {
	for _, id := range []string{"a", ""} {
		run(t, func(f *fixture) {
			f.update("v1", "v1")
			time.Sleep(DefaultLongestReturn)
			f.begin("open", "v1")
			f.confirmedAt = time.Now().Add(-time.Second)
			f.changes.Entries = listOf("v2").Entries()
			_, known := f.find(id)
			f.Expect(known).To(BeFalse())
			time.Sleep(toldWithin)
			f.Expect(f.peers.told).To(HaveLen(1), "streams of the other version are told now")
		})
	}
}

func TestListThatIsConfirmedTellsTheVersionSoon(t *testing.T) {
	for _, id := range []string{"a", ""} {
		run(t, func(f *fixture) {
			f.update("v1", "v1")
			time.Sleep(DefaultLongestReturn)
			f.confirmedAt = time.Now().Add(-time.Second)
			start := time.Now()
			found, known := f.find(id)
			f.Expect(known).To(BeTrue())
			f.Expect(found.ServiceVersion.Version).To(Equal("v1"))
			f.Expect(time.Since(start)).To(BeNumerically("<=", changesDelay))
		})
	}
}

// A router is lost, and the callers of its streams come to others at the same moment.
func TestCallersThatComeAtTheSameTimeShareACallToTheSource(t *testing.T) {
	run(t, func(f *fixture) {
		f.update("v1", "v1")
		time.Sleep(DefaultLongestReturn)
		f.cfg.ConfirmInterval = func() time.Duration { return 50 * time.Millisecond }
		f.confirmedAt = time.Now().Add(-time.Second)
		const callers = 300
		results := make(chan bool, callers)
		for range callers {
			go func() {
				_, known := f.find("")
				results <- known
			}()
			time.Sleep(time.Millisecond / 3)
		}
		for range callers {
			f.Expect(<-results).To(BeTrue())
		}
		f.Expect(f.changesAsked).To(BeNumerically("<=", 5), "in 0.1 s")
	})
}

// A router that the source refuses learns from others whose lists are confirmed, and only from these.
func TestRouterThatCannotConfirmItsListHasOthersConfirmTheirs(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		run(t, func(f *fixture) {
			f.update("v1", "v1")
			time.Sleep(DefaultLongestReturn)
			f.confirmedAt, f.changesErr = time.Now().Add(-time.Second), errAway
			f.peers.answers = []Answer{{Single: true, Only: "v1", Confirmed: confirmed}}
			found, known := f.find("a")
			f.Expect(known).To(Equal(confirmed))
			if known {
				f.Expect(found.Evidence).To(Equal(EvidencePeerList))
			}
		})
	}
}

func TestAnswerToAnotherRouterIsConfirmedWhereItAsksForThat(t *testing.T) {
	run(t, func(f *fixture) {
		f.update("v1", "v1")
		time.Sleep(DefaultLongestReturn)
		f.confirmedAt = time.Now().Add(-time.Second)
		q := Query{Service: "s", Window: DefaultLongestReturn}
		f.Expect(f.Answer(context.Background(), time.Now(), q)).To(Equal(Answer{Only: "v1", Single: true}))
		q.Confirm = true
		f.Expect(f.Answer(context.Background(), time.Now(), q)).To(Equal(Answer{Only: "v1", Single: true, Confirmed: true}))
		f.changesErr = errAway
		time.Sleep(time.Millisecond)
		f.Expect(f.Answer(context.Background(), time.Now(), q).Confirmed).To(BeFalse())
	})
}

// A version whose entries came and went while this router didn't read has served, too.
func TestVersionThatCameAndWentUnseenIsFound(t *testing.T) {
	run(t, func(f *fixture) {
		f.update("v1", "v1")
		time.Sleep(DefaultLongestReturn)
		f.confirmedAt = time.Now().Add(-time.Second)
		f.changes.Replaced = listOf("v2").Entries()
		_, known := f.find("")
		f.Expect(known).To(BeFalse())
	})
}
