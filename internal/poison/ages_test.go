package poison

import (
	"testing"

	. "github.com/onsi/gomega"

	"coveferry/internal/age/agetest"
)

// Guards against a request that one wrong message quarantines or clears for good.
func TestLossesAndCompletionsOfAnImpossibleAgeAreIgnored(t *testing.T) {
	g := NewWithT(t)
	for _, millis := range agetest.ImpossibleMillis {
		f := newTestFleet()
		table := f.table("a")
		var losses []LossEntry
		for _, endpoint := range []string{"e0", "e1", "e2", "e3"} {
			losses = append(losses, LossEntry{Endpoint: endpoint, SentAgo: 300, LostAgo: millis, Early: true})
		}
		table.Apply(f.now, Message{Entries: []Entry{{Identity: id, Losses: losses}}})
		g.Expect(table.Check(request(id)).Refused).To(BeFalse(), "%d", millis)

		for _, endpoint := range []string{"e0", "e1", "e2"} {
			f.lose(table, endpoint, timeToLoss)
		}
		g.Expect(table.Check(request(id)).Refused).To(BeTrue())
		table.Apply(f.now, Message{
			Entries:   []Entry{{Identity: id, CompletedAgo: &millis, TriedAgo: &millis}},
			Survivors: []SurvivorEntry{{"e0", millis}, {"e1", millis}, {"e2", millis}},
		})
		g.Expect(table.Check(request(id)).Refused).To(BeTrue(), "%d", millis)
	}
}
