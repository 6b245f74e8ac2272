package follow_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/directory"
	"coveferry/internal/follow"
	"coveferry/internal/route"
)

// goBack has the service come back with the given entries at an earlier revision of the next era.
func (s *source) goBack(revision uint64, entries ...directory.Entry) {
	s.configure(func() {
		s.era++
		s.revision, s.entries, s.history = revision, entries, nil
	})
}

func draining(name string) directory.Entry {
	e := entry(name)
	e.Draining = true
	return e
}

func at(address string, e directory.Entry) directory.Entry {
	e.Endpoint.Address = address
	return e
}

// write has an endpoint write its entry.
func (s *source) write(e directory.Entry) {
	s.update(func() {
		for i := range s.entries {
			if s.entries[i].Endpoint.Name == e.Endpoint.Name {
				s.entries[i] = e
			}
		}
		s.history = append(s.history, change{revision: s.revision + 1, changed: []directory.Entry{e}})
	})
}

func acceptsWork(f *follow.Follower, name string) bool { return f.Directory().AcceptsWork(name) }

func TestChangeAtARevisionGivenOutAgainCounts(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		s.configure(func() { s.revision = 40 })
		sleep(2 * time.Second)
		s.goBack(20, entry("a"), entry("b"))
		sleep(time.Second)
		s.write(draining("a"))
		sleep(timing.MinInterval)
		g.Expect(acceptsWork(f, "a")).To(BeFalse())
		g.Expect(acceptsWork(f, "b")).To(BeTrue())
	})
}

func TestOlderCopyUndoesNothingThatWasKnown(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		s.write(draining("a"))
		s.addEndpoint("gone")
		s.addEndpoint("late")
		sleep(time.Second)
		s.removeEndpoint("gone")
		sleep(time.Second)
		// The copy has a as ready, b at an earlier address and the one that has gone, but not the
		// latest; c is new.
		s.goBack(2, entry("a"), at("earlier", entry("b")), entry("gone"), entry("c"))
		sleep(2 * time.Second)
		g.Expect(acceptsWork(f, "a")).To(BeFalse())
		g.Expect(acceptsWork(f, "gone")).To(BeFalse())
		b, _ := f.Directory().Entry("b")
		g.Expect(b.Endpoint.Address).To(Equal("b"))
		g.Expect(acceptsWork(f, "late")).To(BeTrue(), "its entry may be written again")
		g.Expect(acceptsWork(f, "c")).To(BeTrue())
		sleep(3 * time.Second)
		g.Expect(acceptsWork(f, "a")).To(BeTrue(), "what the list says by now counts")
		b, _ = f.Directory().Entry("b")
		g.Expect(b.Endpoint.Address).To(Equal("earlier"))
		_, listed := f.Directory().Entry("late")
		g.Expect(listed).To(BeFalse())
	})
}

func TestEndpointThatDrainsInTheCopyGetsNothing(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		s.goBack(1, draining("a"), entry("b"))
		sleep(timing.Wait + timing.MinInterval)
		g.Expect(acceptsWork(f, "a")).To(BeFalse(), "it may have left since the return")
	})
}

func TestConfigurationNeverGoesBackWithTheSource(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		s.update(func() { s.version = 7 })
		sleep(time.Second)
		s.configure(func() { s.version = 5 })
		s.goBack(1, entry("a"), entry("b"))
		sleep(2 * time.Second)
		g.Expect(f.Table().Version()).To(Equal(uint64(7)))
		s.update(func() { s.version = 9 })
		sleep(time.Second)
		g.Expect(f.Table().Version()).To(Equal(uint64(9)))
	})
}

// Twice in a row, the second time while what was known still holds.
func TestSourceThatGoesBackTwiceIsFollowed(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		s.write(draining("a"))
		sleep(time.Second)
		for range 2 {
			s.goBack(1, entry("a"), entry("b"))
			sleep(1500 * time.Millisecond)
			g.Expect(acceptsWork(f, "a")).To(BeFalse())
		}
		s.write(draining("b"))
		sleep(timing.MinInterval)
		g.Expect(acceptsWork(f, "b")).To(BeFalse())
		g.Expect(f.Directory().Revision().Era).To(Equal(uint64(2)))
	})
}

func TestEvacuationHoldsWhileTheCopyLacksIt(t *testing.T) {
	g := NewWithT(t)
	known, _ := directory.Empty().Merge(directory.Reading{Full: true, Evacuations: directory.Evacuations{Full: true, Active: []string{"d"}}}, time.Now(), time.Time{})
	held, changed := known.Hold(directory.Reading{Full: true, Evacuations: directory.Evacuations{Full: true, Active: []string{"e"}}})
	g.Expect(changed).To(BeTrue())
	g.Expect(held.Evacuations.Active).To(ConsistOf("d", "e"))
}

// eraStore answers each kind of call in an era of its own.
type eraStore struct {
	follow.Store
	operator, page, changes uint64
}

func (s eraStore) OperatorState(context.Context) (follow.OperatorState, error) {
	return follow.OperatorState{Config: &route.Config{Version: 1}, Revision: directory.Revision{Era: s.operator, Number: 9}}, nil
}

func (s eraStore) Page(context.Context, string, bool) (follow.Page, error) {
	return follow.Page{Reading: directory.Reading{Revision: directory.Revision{Era: s.page, Number: 3}}}, nil
}

func (s eraStore) Changes(context.Context, directory.Revision) (directory.Reading, error) {
	return directory.Reading{Revision: directory.Revision{Era: s.changes, Number: 3}}, nil
}

func TestReadThatFallsIntoTwoErasIsRepeated(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	read := func(s eraStore, fresh bool) (follow.Reading, error) {
		return follow.Reader{Store: s, CallTimeout: time.Second}.Read(ctx, fresh)
	}
	for _, s := range []eraStore{{operator: 1, page: 2}, {operator: 2, page: 1}} {
		_, err := read(s, true)
		g.Expect(err).To(MatchError(follow.ErrHistoryLost))
	}
	_, err := read(eraStore{operator: 1, page: 2}, false)
	g.Expect(err).To(MatchError(follow.ErrHistoryLost))
	stale, err := read(eraStore{operator: 2, page: 1}, false)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stale.List.Revision).To(Equal(directory.Revision{Era: 1, Number: 3}), "the earliest is certain")
	_, err = follow.Reader{Store: eraStore{operator: 2, changes: 1}, CallTimeout: time.Second}.CatchUp(ctx, directory.Revision{Era: 1, Number: 1})
	g.Expect(err).To(MatchError(follow.ErrHistoryLost))
}
