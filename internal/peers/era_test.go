package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/directory"
)

func listAt(d *directory.Directory, era, number uint64, entries ...directory.Entry) *directory.Directory {
	next, _ := d.Merge(directory.Reading{Full: true, Revision: directory.Revision{Era: era, Number: number}, Entries: entries}, time.Now(), time.Time{})
	return next
}

func endpointEntry(name string, draining bool) directory.Entry {
	return directory.Entry{Endpoint: bundle.Endpoint{Name: name, Address: name, Services: []string{"s"}}, Draining: draining}
}

func TestChangesOfALaterEraReachRoutersAtHigherRevisions(t *testing.T) {
	g := NewWithT(t)
	var c changeLog
	before := listAt(directory.Empty(), 1, 40, endpointEntry("a", false), endpointEntry("b", false))
	_, ok := c.since(before, directory.Revision{}, false)
	g.Expect(ok).To(BeFalse())
	after := listAt(before, 2, 20, endpointEntry("a", true), endpointEntry("c", false))
	changes, ok := c.since(after, before.Revision(), false)
	g.Expect(ok).To(BeTrue())
	g.Expect(changes.Revision).To(Equal(directory.Revision{Era: 2, Number: 20}))
	g.Expect(changes.Entries).To(HaveLen(2))
	g.Expect(changes.Removed).To(ConsistOf("b"))
	merged, changed := before.Merge(changes, time.Now(), time.Time{})
	g.Expect(changed).To(BeTrue())
	g.Expect(merged.Digest()).To(Equal(after.Digest()))
}

func TestEarlierEraDoesNotWinByItsHigherRevision(t *testing.T) {
	g := NewWithT(t)
	var c changeLog
	old := listAt(directory.Empty(), 1, 40, endpointEntry("a", false))
	newer := listAt(old, 2, 20, endpointEntry("a", true))
	changes, ok := c.since(old, newer.Revision(), false)
	g.Expect(ok).To(BeTrue(), "the requester is ahead")
	g.Expect(changes.Entries).To(BeEmpty())
	merged, changed := newer.Merge(changes, time.Now(), time.Time{})
	g.Expect(changed).To(BeFalse())
	g.Expect(merged.Revision()).To(Equal(newer.Revision()))
}
