package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAnEndpointIsSilentOnlyWhileRequestsAreOpen(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(Config{Policy: NewPromptAware()})
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	silent := func(d time.Duration) []string { return p.Silent(at(d), time.Second) }
	a := p.SentWork(at(0), "e", Work{})
	p.SentWork(at(900*time.Millisecond), "e", Work{})
	g.Expect(silent(time.Second)).To(BeEmpty())
	g.Expect(silent(1001 * time.Millisecond)).To(Equal([]string{"e"}))
	a.Heard(at(1500 * time.Millisecond))
	g.Expect(silent(2500 * time.Millisecond)).To(BeEmpty())
	g.Expect(silent(2501 * time.Millisecond)).To(Equal([]string{"e"}))
	p.Done(at(2600*time.Millisecond), "e", ResultOK, 0)
	p.Done(at(2600*time.Millisecond), "e", ResultOK, 0)
	g.Expect(silent(time.Minute)).To(BeEmpty())
	p.SentWork(at(time.Minute), "e", Work{})
	g.Expect(silent(time.Minute + time.Second)).To(BeEmpty())
}
