package directory_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/directory"
)

var now = time.Unix(1000, 0)

func entry(name, address string) directory.Entry {
	return directory.Entry{Endpoint: bundle.Endpoint{Name: name, Address: address, Services: []string{"s"}}}
}

func names(d *directory.Directory) []string {
	var all []string
	for _, e := range d.Entries() {
		all = append(all, e.Endpoint.Name)
	}
	return all
}

func merge(d *directory.Directory, revision uint64, keep time.Time, entries ...directory.Entry) *directory.Directory {
	next, _ := d.Merge(directory.Reading{Full: true, Entries: entries, Revision: directory.Revision{Number: revision}}, now, keep)
	return next
}

func TestOlderReadingIsIgnored(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 5, time.Time{}, entry("a", "1"))
	d = merge(d, 4, time.Time{}, entry("b", "2"))
	g.Expect(names(d)).To(Equal([]string{"a"}))
}

func TestAbsentEndpointIsRemovedAtOnceWithoutOutage(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 1, time.Time{}, entry("a", "1"), entry("b", "2"))
	d = merge(d, 2, time.Time{}, entry("a", "1"))
	g.Expect(names(d)).To(Equal([]string{"a"}))
	g.Expect(d.ByService("s")).To(HaveLen(1))
}

func TestAbsentEndpointIsKeptAfterOutage(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 1, time.Time{}, entry("a", "1"), entry("b", "2"), entry("c", "3"))
	// c's address has been taken over, so c is gone for certain.
	d = merge(d, 2, now.Add(time.Second), entry("a", "1"), entry("d", "3"))
	g.Expect(names(d)).To(Equal([]string{"a", "b", "d"}))
	d = merge(d, 3, now, entry("a", "1"), entry("d", "3"))
	g.Expect(names(d)).To(Equal([]string{"a", "d"}))
}

func TestMergeReportsChanges(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 1, time.Time{}, entry("a", "1"))
	same, changed := d.Merge(directory.Reading{Full: true, Entries: []directory.Entry{entry("a", "1")}, Revision: directory.Revision{Number: 9}}, now, time.Time{})
	g.Expect(changed).To(BeFalse())
	g.Expect(same.Revision().Number).To(Equal(uint64(9)))
	draining := entry("a", "1")
	draining.Draining = true
	_, changed = same.Merge(directory.Reading{Full: true, Entries: []directory.Entry{draining}, Revision: directory.Revision{Number: 10}}, now, time.Time{})
	g.Expect(changed).To(BeTrue())
}

func TestMergeAppliesChanges(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 1, time.Time{}, entry("a", "1"), entry("b", "2"))
	moved := entry("a", "9")
	d, changed := d.Merge(directory.Reading{Entries: []directory.Entry{moved, entry("c", "3")}, Removed: []string{"b", "unknown"}, Revision: directory.Revision{Number: 4}}, now, time.Time{})
	g.Expect(changed).To(BeTrue())
	g.Expect(names(d)).To(Equal([]string{"a", "c"}))
	a, _ := d.Entry("a")
	g.Expect(a.Endpoint.Address).To(Equal("9"))
	d, changed = d.Merge(directory.Reading{Revision: directory.Revision{Number: 7}}, now, time.Time{})
	g.Expect(changed).To(BeFalse())
	g.Expect(d.Revision().Number).To(Equal(uint64(7)))
}

func TestRemovedEndpointIsKeptAfterOutage(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 1, time.Time{}, entry("a", "1"), entry("b", "2"))
	until := now.Add(time.Second)
	d, _ = d.Merge(directory.Reading{Removed: []string{"b"}, Revision: directory.Revision{Number: 2}}, now, until)
	g.Expect(names(d)).To(Equal([]string{"a", "b"}))
	g.Expect(names(d.Listed())).To(Equal([]string{"a"}))
	d, _ = d.Merge(directory.Reading{Revision: directory.Revision{Number: 2}}, now, until)
	g.Expect(names(d)).To(Equal([]string{"a", "b"}))
	d, changed := d.Merge(directory.Reading{Revision: directory.Revision{Number: 2}}, until, until)
	g.Expect(changed).To(BeTrue())
	g.Expect(names(d)).To(Equal([]string{"a"}))
}

func TestChangesToTurnsOneDirectoryIntoAnother(t *testing.T) {
	g := NewWithT(t)
	before := merge(directory.Empty(), 1, time.Time{}, entry("a", "1"), entry("b", "2"), entry("c", "3"))
	draining := entry("a", "1")
	draining.Draining = true
	after := merge(directory.Empty(), 2, time.Time{}, draining, entry("c", "3"), entry("d", "4"))
	changed, removed := before.ChangesTo(after)
	g.Expect(changed).To(HaveLen(2))
	g.Expect(removed).To(Equal([]string{"b"}))
	same, _ := before.Merge(directory.Reading{Entries: changed, Removed: removed, Revision: directory.Revision{Number: 2}}, now, time.Time{})
	g.Expect(same.Digest()).To(Equal(after.Digest()))
}

func TestPagesCoverAllEndpointsOnce(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 1, time.Time{}, entry("a", "1"), entry("b", "2"), entry("c", "3"), entry("d", "4"), entry("e", "5"))
	var all []string
	after, more := "", true
	for more {
		var page []directory.Entry
		page, more = d.Page(after, 2)
		g.Expect(len(page)).To(BeNumerically("<=", 2))
		for _, e := range page {
			all = append(all, e.Endpoint.Name)
			after = e.Endpoint.Name
		}
	}
	g.Expect(all).To(Equal(names(d)))
	page, more := d.Page("bb", 1) // after a name that was removed
	g.Expect(page[0].Endpoint.Name).To(Equal("c"))
	g.Expect(more).To(BeTrue())
}

func TestRestartedEndpointHasNewIncarnation(t *testing.T) {
	g := NewWithT(t)
	first, second := entry("a", "1"), entry("a", "1")
	first.Incarnation, second.Incarnation = "100", "90" // its clock was set back
	d := merge(directory.Empty(), 1, time.Time{}, first)
	g.Expect(d.ByService("s")[0].ProcessID()).To(Equal("100"))
	later, changed := d.Merge(directory.Reading{Entries: []directory.Entry{second}, Revision: directory.Revision{Number: 2}}, now, time.Time{})
	g.Expect(changed).To(BeTrue())
	g.Expect(later.ByService("s")[0].ProcessID()).To(Equal("90"))
	g.Expect(later.Digest()).NotTo(Equal(d.Digest()), "peers must notice the change")
	changes, _ := d.ChangesTo(later)
	text, err := json.Marshal(changes)
	g.Expect(err).NotTo(HaveOccurred())
	var received []directory.Entry
	g.Expect(json.Unmarshal(text, &received)).To(Succeed())
	peer, _ := d.Merge(directory.Reading{Entries: received, Revision: directory.Revision{Number: 2}}, now, time.Time{})
	g.Expect(peer.Digest()).To(Equal(later.Digest()))
	g.Expect(peer.ByService("s")[0].ProcessID()).To(Equal("90"))
	afterOlder, _ := later.Merge(directory.Reading{Entries: []directory.Entry{first}, Revision: directory.Revision{Number: 1}}, now, time.Time{})
	g.Expect(afterOlder.ByService("s")[0].ProcessID()).To(Equal("90"), "an older reading arrives late")
}

func TestUnreadableEntryRemovesEndpoint(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 1, time.Time{}, entry("a", "1"), entry("b", "2"), entry("c", "3"))
	overwritten := directory.Reading{Unreadable: []directory.Unreadable{{Name: "a"}}, Revision: directory.Revision{Number: 2}}
	for _, keep := range []time.Time{{}, now.Add(time.Second)} { // also after an outage
		d, changed := d.Merge(overwritten, now, keep)
		g.Expect(changed).To(BeTrue())
		g.Expect(names(d)).To(Equal([]string{"b", "c"}))
	}
	full := directory.Reading{Full: true, Entries: []directory.Entry{entry("b", "2")}, Unreadable: overwritten.Unreadable, Revision: directory.Revision{Number: 3}}
	d, _ = d.Merge(full, now, now.Add(time.Second))
	g.Expect(names(d)).To(Equal([]string{"b", "c"}), "c is kept for a while, a is not")
}
