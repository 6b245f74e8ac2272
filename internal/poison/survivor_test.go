package poison

// Guards against quarantining popular requests because of resets by endpoints that stay
// alive. Endpoints reset three in ten of their requests. Identical requests, such as a
// popular query, were quarantined as if they crashed endpoints: at thirty resets a second,
// three losses in a row occur by chance. Of 1,000 such requests, 15 to 561 were refused,
// because later responses of the same endpoints did not count as evidence of survival.
// With that evidence, a simulation over real connections refuses none.

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestLossesAtSurvivorsDoNotCount(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	table := w.table("a")
	for i := range lossThreshold {
		w.lose(table, fmt.Sprint("e", i), timeToLoss)
	}
	g.Expect(table.Check(request(id)).Refused).To(BeTrue())
	w.now = w.now.Add(10 * time.Millisecond)
	table.RecordResponse("e2", w.now)
	g.Expect(table.Check(request(id)).Refused).To(BeFalse(), "two losses are left")
	g.Expect(w.events).To(HaveLen(2))
	for range 5 {
		w.lose(table, "e2", timeToLoss)
	}
	g.Expect(table.Check(request(id)).Refused).To(BeFalse(), "losses at a survivor don't count")
	w.lose(table, "e3", timeToLoss)
	g.Expect(table.Check(request(id)).Refused).To(BeTrue(), "a loss at another endpoint counts")
}

func TestAnswersThatDoNotProveSurvival(t *testing.T) {
	for name, sent := range map[string]time.Duration{
		"response to an earlier request":    -10 * time.Millisecond,
		"response after a possible restart": minRestartTime,
		"response long after the loss":      time.Hour,
	} {
		g := NewWithT(t)
		w := newTestFleet()
		table := w.table("a")
		for i := range lossThreshold {
			w.lose(table, fmt.Sprint("e", i), timeToLoss)
		}
		table.RecordResponse("e2", w.now.Add(sent))
		g.Expect(table.Check(request(id)).Refused).To(BeTrue(), name)
	}
}

// The time of a received loss may be off by the duration of a call. So only requests sent
// after the message arrived are known to be sent after the loss.
func TestReceivedLossIsDisprovedOnlyByLaterRequests(t *testing.T) {
	g := NewWithT(t)
	w := newTestFleet()
	first, second := w.table("a"), w.table("b")
	for i := range lossThreshold {
		w.lose(first, fmt.Sprint("e", i), timeToLoss)
	}
	w.now = w.now.Add(200 * time.Millisecond)
	second.Apply(w.now, first.UpdateFor(0, maxChangeAge))
	g.Expect(second.Check(request(id)).Refused).To(BeTrue())
	second.RecordResponse("e2", w.now.Add(-time.Millisecond))
	g.Expect(second.Check(request(id)).Refused).To(BeTrue())
	second.RecordResponse("e2", w.now.Add(time.Millisecond))
	g.Expect(second.Check(request(id)).Refused).To(BeFalse())

	g.Expect(digestOf(first)).NotTo(Equal(digestOf(second)))
	first.Apply(w.now, second.UpdateFor(digestOf(first), 0))
	g.Expect(first.Check(request(id)).Refused).To(BeFalse(), "survivors are sent to other routers")
	second.Apply(w.now, first.UpdateFor(0, maxChangeAge))
	g.Expect(second.Check(request(id)).Refused).To(BeFalse(), "and are kept")
	g.Expect(digestOf(first)).To(Equal(digestOf(second)))
}
