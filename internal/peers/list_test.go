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
	"coveferry/internal/follow"
)

func TestUpdateReplyContainsOnlyChanges(t *testing.T) {
	runFleet(t, 2, func(g *WithT, f *fleet) {
		n := f.nodes[0]
		list := n.follower.Directory()
		poll := func(revision directory.Revision, digest uint64) updateReply {
			reply, err := n.source.serveUpdate(context.Background(), testPeer, updateRequest{Version: 1, listRevision: toListRevision(revision), Digest: digest})
			g.Expect(err).NotTo(HaveOccurred())
			return reply
		}
		reply := poll(list.Revision(), list.Digest())
		g.Expect(reply.HistoryLost).To(BeFalse())
		g.Expect(reply.Config).To(BeNil())
		g.Expect(reply.Entries).To(BeEmpty())
		// Changes can't reconcile a list that differs at the same revision.
		g.Expect(poll(list.Revision(), list.Digest()+1).HistoryLost).To(BeTrue())
		g.Expect(poll(directory.Revision{}, 0).HistoryLost).To(BeTrue())
		// A requester with a later revision gets no changes.
		g.Expect(poll(directory.Revision{Number: list.Revision().Number + 5}, list.Digest()+1).HistoryLost).To(BeFalse())
		other := directory.Entry{Endpoint: bundle.Endpoint{Name: "f", Address: "b", Services: []string{"s"}}}
		next, _ := list.Merge(directory.Reading{Entries: []directory.Entry{other}, Removed: []string{"e"}, Revision: directory.Revision{Number: 9}}, time.Now(), time.Time{})
		n.source.SetState(overriddenState{State: n.follower, directory: next})
		reply = poll(list.Revision(), list.Digest())
		g.Expect(reply.Entries).To(Equal([]directory.Entry{other}))
		g.Expect(reply.Removed).To(Equal([]string{"e"}))
		g.Expect(reply.Revision).To(Equal(uint64(9)))
	})
}

func TestListChangesNeedNoFullRead(t *testing.T) {
	runFleet(t, 12, func(g *WithT, f *fleet) {
		before := f.origin.count()
		for version := uint64(2); version < 22; version++ {
			f.setVersion(version)
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(time.Second)
		g.Expect(f.countInForce(21)).To(Equal(12))
		for _, n := range f.nodes {
			g.Expect(n.follower.Directory().Revision().Number).To(Equal(uint64(21)), n.vm)
		}
		// Each reader makes a call per change, and one a second without changes.
		g.Expect(f.origin.count() - before).To(BeNumerically("<=", 2*(20+4)))
	})
}

func TestPollingRoutersDropRemovedEndpointAtOnce(t *testing.T) {
	runFleet(t, 12, func(g *WithT, f *fleet) {
		for version := uint64(2); version < 14; version += 3 {
			f.setVersionAndEndpoint(version, true)
			// Two changes in a row refresh the reader's state within one poll; calls that waited
			// before them left it two waits old.
			time.Sleep(2970 * time.Millisecond)
			f.setVersionAndEndpoint(version+1, true)
			time.Sleep(10 * time.Millisecond)
			f.setVersionAndEndpoint(version+2, false)
			time.Sleep(600 * time.Millisecond)
			for _, n := range f.nodes {
				g.Expect(n.follower.Directory().Len()).To(Equal(1), "%s at version %d", n.vm, version+2)
			}
		}
	})
}

func TestFullListIsReadInPages(t *testing.T) {
	runFleet(t, 2, func(g *WithT, f *fleet) {
		n := f.nodes[0]
		entries := make([]directory.Entry, 2*maxPage+1)
		for i := range entries {
			entries[i] = directory.Entry{Endpoint: bundle.Endpoint{Name: fmt.Sprintf("e%04d", i), Address: fmt.Sprint(i)}}
		}
		list, _ := directory.Empty().Merge(directory.Reading{Full: true, Entries: entries, Revision: directory.Revision{Number: 3}}, time.Now(), time.Time{})
		n.source.SetState(overriddenState{State: n.follower, directory: list})
		starting := New(Config{Self: Member{VM: "new"}, Pool: f.nodes[1].pool, MaxAge: maxAge, Log: zerolog.Nop()})
		for _, requester := range []*Source{starting, f.nodes[1].source} {
			read, err := requester.readPages(context.Background(), n.source.cfg.Self)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read.List.Full).To(BeTrue())
			g.Expect(read.List.Entries).To(Equal(entries))
			if requester == starting {
				g.Expect(read.Config.Version).To(Equal(uint64(1)))
			} else {
				g.Expect(read.Config).To(BeNil(), "a configuration that the requester has is not sent again")
			}
		}
	})
}

func TestEndpointsKeptAfterOutageAreNotSentToPeers(t *testing.T) {
	runFleet(t, 2, func(g *WithT, f *fleet) {
		n := f.nodes[0]
		removed := directory.Entry{Endpoint: bundle.Endpoint{Name: "gone", Address: "b", Services: []string{"s"}}}
		listed := n.follower.Directory().Entries()
		before, _ := directory.Empty().Merge(directory.Reading{Full: true, Entries: append(listed, removed), Revision: directory.Revision{Number: 1}}, time.Now(), time.Time{})
		after, _ := before.Merge(directory.Reading{Full: true, Entries: listed, Revision: directory.Revision{Number: 2}}, time.Now(), time.Now().Add(time.Second))
		g.Expect(after.ByService("s")).To(HaveLen(2), "this router keeps the endpoint that may be back")
		n.source.SetState(overriddenState{State: n.follower, directory: after})
		page, err := n.source.servePage(context.Background(), testPeer, pageRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Entries).To(Equal(listed))
		reply, err := n.source.serveUpdate(context.Background(), testPeer, updateRequest{listRevision: listRevision{Revision: 2}, Digest: n.follower.Directory().Digest()})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.HistoryLost).To(BeFalse())
		g.Expect(reply.Entries).To(BeEmpty())
		// A requester that still lists the endpoint must learn that it was removed.
		reply, err = n.source.serveUpdate(context.Background(), testPeer, updateRequest{listRevision: listRevision{Revision: 1}, Digest: before.Digest()})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.HistoryLost).To(BeTrue(), "the change log never recorded the previous list")
	})
}

// overriddenState is a router's state with another directory.
type overriddenState struct {
	State
	directory *directory.Directory
}

// Snapshot implements State.
func (s overriddenState) Snapshot() follow.Snapshot {
	known := s.State.Snapshot()
	known.Directory = s.directory
	return known
}

// Otherwise each poll between routers of two software versions would read the whole list.
func TestRouterThatKnowsNoVersionsOfEndpointsNeedsNoFullRead(t *testing.T) {
	runFleet(t, 2, func(g *WithT, f *fleet) {
		n := f.nodes[0]
		list := n.follower.Directory()
		versioned := directory.Entry{Endpoint: bundle.Endpoint{Name: "e", Address: "a", Services: []string{"s"}}, Version: "v1"}
		next, _ := list.Merge(directory.Reading{Entries: []directory.Entry{versioned}, Revision: directory.Revision{Number: 9}}, time.Now(), time.Time{})
		n.source.SetState(overriddenState{State: n.follower, directory: next})
		reply, err := n.source.serveUpdate(context.Background(), testPeer, updateRequest{Version: 1, listRevision: listRevision{Revision: 9}, UnversionedDigest: list.UnversionedDigest()})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.HistoryLost).To(BeFalse())
		g.Expect(reply.Entries).To(BeEmpty())
	})
}
