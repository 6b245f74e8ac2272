package balance

import (
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/load"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func namedEndpoints(names ...string) []*bundle.Endpoint {
	list := make([]*bundle.Endpoint, len(names))
	for i, name := range names {
		list[i] = &bundle.Endpoint{Name: name, FailureDomain: "fd-" + name, Slots: 4}
	}
	return list
}

func TestChooseExcludesSkippedAndLeaving(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{Seed: 1})
	list := namedEndpoints("a", "b", "c")
	p.Report(epoch, "a", load.Report{Seq: 2, Leaving: true})
	p.Report(epoch, "a", load.Report{Seq: 1})
	skipB := func(e string) bool { return e == "b" }
	for range 50 {
		e, err := p.Choose(epoch, Request{}, list, skipB)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(e.Name).To(gomega.Equal("c"))
	}
	_, err := p.Choose(epoch, Request{}, list[:2], skipB)
	g.Expect(errors.Is(err, ErrNoEndpoint)).To(gomega.BeTrue())
	g.Expect(err).To(gomega.Equal(&NoEndpointError{Candidates: 2, Skipped: 1, Leaving: 1}))
}

func TestOlderSeqIsIgnoredDuringSeqHold(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{SeqHold: time.Second})
	list := namedEndpoints("a")
	p.Report(epoch, "a", load.Report{Seq: 9, DrainPerSecond: 9})
	p.Report(epoch, "a", load.Report{Seq: 8, DrainPerSecond: 8})
	g.Expect(p.Views(epoch, list)[0].Load.DrainPerSecond).To(gomega.Equal(9.0))
	p.Report(epoch.Add(time.Second), "a", load.Report{Seq: 1, DrainPerSecond: 1})
	g.Expect(p.Views(epoch, list)[0].Load.DrainPerSecond).To(gomega.Equal(1.0))
}

func TestOwnRequestsCountUntilReported(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{})
	list := namedEndpoints("a")
	p.Sent(epoch, "a")
	p.Sent(epoch, "a")
	p.Done(epoch, "a", ResultOK, time.Second)
	v := p.Views(epoch, list)[0]
	g.Expect([]int{v.Inflight, v.OwnUnreported, v.Load.Slots}).To(gomega.Equal([]int{1, 1, 4}))
	p.Report(epoch, "a", load.Report{Seq: 1})
	v = p.Views(epoch, list)[0]
	g.Expect([]int{v.Inflight, v.OwnUnreported}).To(gomega.Equal([]int{1, 0}))
}

func TestConcurrentUseLosesNoCount(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{})
	list := namedEndpoints("a", "b", "c")
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for i := range 200 {
				e, _ := p.Choose(epoch, Request{}, list, nil)
				p.Sent(epoch, e.Name)
				p.Report(epoch, e.Name, load.Report{Seq: uint64(worker*200 + i)})
				if i < 100 {
					p.Done(epoch, e.Name, ResultOK, time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	inflight := 0
	for _, v := range p.Views(epoch, list) {
		inflight += v.Inflight
	}
	g.Expect(inflight).To(gomega.Equal(800))
}

func TestChooseDoesNotAllocate(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPool(Config{})
	list := namedEndpoints("a", "b", "c")
	// Hold the scratch, since sync.Pool drops items under the race detector.
	s := p.scratch.Get().(*scratch)
	allocs := testing.AllocsPerRun(1000, func() { _, _ = p.choose(s, epoch, Request{Prefix: 7}, list, nil) })
	g.Expect(allocs).To(gomega.BeZero())
}

func TestPoliciesSkipEjectedEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	views := []View{{Endpoint: "a"}, {Endpoint: "b", Weight: 1}, {Endpoint: "c"}}
	p := NewPool(Config{})
	s := p.scratch.Get().(*scratch)
	for _, policy := range []Policy{&RoundRobin{}, Random{}, LeastLoaded{}, PowerOfTwo{}} {
		for range 20 {
			i, ok := policy.Choose(epoch, Request{}, views, s.rnd)
			g.Expect(ok).To(gomega.BeTrue(), policy.Name())
			g.Expect(i).To(gomega.Equal(1), policy.Name())
		}
		_, ok := policy.Choose(epoch, Request{}, views[:1], s.rnd)
		g.Expect(ok).To(gomega.BeFalse(), policy.Name())
	}
}

func BenchmarkChoose(b *testing.B) {
	p := NewPool(Config{})
	var names []string
	for i := range 20 {
		names = append(names, string(rune('a'+i)))
	}
	list := namedEndpoints(names...)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = p.Choose(epoch, Request{Prefix: 7}, list, nil)
	}
}
