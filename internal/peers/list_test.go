package peers

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/directory"
)

func TestAReplyTellsOnlyWhatDiffers(t *testing.T) {
	play(t, 2, func(g *WithT, f *fleet) {
		n := f.nodes[0]
		have := n.follower.Directory()
		ask := func(revision, digest uint64) updateReply {
			reply, err := n.source.serveUpdate(context.Background(), peerOfTests, updateRequest{Version: 1, Revision: revision, Digest: digest})
			g.Expect(err).NotTo(HaveOccurred())
			return reply
		}
		reply := ask(have.Revision(), have.Digest())
		g.Expect(reply.HistoryLost).To(BeFalse())
		g.Expect(reply.Config).To(BeNil())
		g.Expect(reply.Entries).To(BeEmpty())
		// A list of the same revision that differs can't be mended by changes.
		g.Expect(ask(have.Revision(), have.Digest()+1).HistoryLost).To(BeTrue())
		g.Expect(ask(0, 0).HistoryLost).To(BeTrue())
		// One who knows more than this router learns nothing from it.
		g.Expect(ask(have.Revision()+5, have.Digest()+1).HistoryLost).To(BeFalse())
		other := directory.Entry{Endpoint: bundle.Endpoint{Name: "f", Address: "b", Services: []string{"s"}}}
		next, _ := have.Merge(directory.Reading{Entries: []directory.Entry{other}, Gone: []string{"e"}, Revision: 9}, time.Now(), time.Time{})
		n.source.Tell(told{State: n.follower, directory: next})
		reply = ask(have.Revision(), have.Digest())
		g.Expect(reply.Entries).To(Equal([]directory.Entry{other}))
		g.Expect(reply.Removed).To(Equal([]string{"e"}))
		g.Expect(reply.Revision).To(Equal(uint64(9)))
	})
}

func TestRoutersFollowAListThatChangesWithoutReadingItAgain(t *testing.T) {
	play(t, 12, func(g *WithT, f *fleet) {
		before := f.store.count()
		for version := uint64(2); version < 22; version++ {
			f.set(version)
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(time.Second)
		g.Expect(f.inForce(21)).To(Equal(12))
		for _, n := range f.nodes {
			g.Expect(n.follower.Directory().Revision()).To(Equal(uint64(21)), n.vm)
		}
		// Each reader asks once a change, and once a second without one.
		g.Expect(f.store.count() - before).To(BeNumerically("<=", 2*(20+4)))
	})
}

func TestAnEndpointThatLeavesIsOutOfUseAtOnceAtRoutersThatAskOthers(t *testing.T) {
	play(t, 12, func(g *WithT, f *fleet) {
		for version := uint64(2); version < 14; version += 3 {
			f.change(version, true)
			// Two changes in a row have the reader's knowledge get fresh within one
			// question; calls that waited before them left it two waits old.
			time.Sleep(2970 * time.Millisecond)
			f.change(version+1, true)
			time.Sleep(10 * time.Millisecond)
			f.change(version+2, false)
			time.Sleep(600 * time.Millisecond)
			for _, n := range f.nodes {
				g.Expect(n.follower.Directory().Len()).To(Equal(1), "%s at version %d", n.vm, version+2)
			}
		}
	})
}

func TestAWholeListIsToldInParts(t *testing.T) {
	play(t, 2, func(g *WithT, f *fleet) {
		n := f.nodes[0]
		many := make([]directory.Entry, 2*maxPage+1)
		for i := range many {
			many[i] = directory.Entry{Endpoint: bundle.Endpoint{Name: fmt.Sprintf("e%04d", i), Address: fmt.Sprint(i)}}
		}
		list, _ := directory.Empty().Merge(directory.Reading{Whole: true, Entries: many, Revision: 3}, time.Now(), time.Time{})
		n.source.Tell(told{State: n.follower, directory: list})
		starting := New(Config{Self: Member{VM: "new"}, Pool: f.nodes[1].pool, MaxAge: maxAge, Log: zerolog.Nop()})
		for _, asker := range []*Source{starting, f.nodes[1].source} {
			read, err := asker.readPages(context.Background(), n.source.cfg.Self)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read.List.Whole).To(BeTrue())
			g.Expect(read.List.Entries).To(Equal(many))
			if asker == starting {
				g.Expect(read.Config.Version).To(Equal(uint64(1)))
			} else {
				g.Expect(read.Config).To(BeNil(), "what an asker has isn't told again")
			}
		}
	})
}

func TestWhatARouterOnlyKeepsAfterAnOutageIsNotToldToOthers(t *testing.T) {
	play(t, 2, func(g *WithT, f *fleet) {
		n := f.nodes[0]
		gone := directory.Entry{Endpoint: bundle.Endpoint{Name: "gone", Address: "b", Services: []string{"s"}}}
		here := n.follower.Directory().Entries()
		before, _ := directory.Empty().Merge(directory.Reading{Whole: true, Entries: append(here, gone), Revision: 1}, time.Now(), time.Time{})
		after, _ := before.Merge(directory.Reading{Whole: true, Entries: here, Revision: 2}, time.Now(), time.Now().Add(time.Second))
		g.Expect(after.For("s")).To(HaveLen(2), "this router goes on with what may be back")
		n.source.Tell(told{State: n.follower, directory: after})
		page, err := n.source.servePage(context.Background(), peerOfTests, pageRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Entries).To(Equal(here))
		reply, err := n.source.serveUpdate(context.Background(), peerOfTests, updateRequest{Revision: 2, Digest: n.follower.Directory().Digest()})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.HistoryLost).To(BeFalse())
		g.Expect(reply.Entries).To(BeEmpty())
		// One who still lists it is told that it is gone.
		reply, err = n.source.serveUpdate(context.Background(), peerOfTests, updateRequest{Revision: 1, Digest: before.Digest()})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.HistoryLost).To(BeTrue(), "this router was never shown the list before")
	})
}

// told is a router's state with another directory.
type told struct {
	State
	directory *directory.Directory
}

func (s told) Directory() *directory.Directory { return s.directory }
