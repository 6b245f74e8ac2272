package directory_test

import (
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
	next, _ := d.Merge(directory.Reading{Entries: entries, Revision: revision}, now, keep)
	return next
}

func TestAnOlderReadingChangesNothing(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 5, time.Time{}, entry("a", "1"))
	d = merge(d, 4, time.Time{}, entry("b", "2"))
	g.Expect(names(d)).To(Equal([]string{"a"}))
}

func TestAbsentEndpointsAreGoneAtOnceInCalmTimes(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 1, time.Time{}, entry("a", "1"), entry("b", "2"))
	d = merge(d, 2, time.Time{}, entry("a", "1"))
	g.Expect(names(d)).To(Equal([]string{"a"}))
	g.Expect(d.For("s")).To(HaveLen(1))
}

func TestAbsentEndpointsStayAfterAnOutageUntilTheyWouldBeBack(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 1, time.Time{}, entry("a", "1"), entry("b", "2"), entry("c", "3"))
	// c's address has been taken over, so c is gone for certain.
	d = merge(d, 2, now.Add(time.Second), entry("a", "1"), entry("d", "3"))
	g.Expect(names(d)).To(Equal([]string{"a", "b", "d"}))
	d = merge(d, 3, now, entry("a", "1"), entry("d", "3"))
	g.Expect(names(d)).To(Equal([]string{"a", "d"}))
}

func TestMergeTellsWhatDiffers(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 1, time.Time{}, entry("a", "1"))
	same, changed := d.Merge(directory.Reading{Entries: []directory.Entry{entry("a", "1")}, Revision: 9}, now, time.Time{})
	g.Expect(changed).To(BeFalse())
	g.Expect(same.Revision()).To(Equal(uint64(9)))
	draining := entry("a", "1")
	draining.Draining = true
	_, changed = same.Merge(directory.Reading{Entries: []directory.Entry{draining}, Revision: 10}, now, time.Time{})
	g.Expect(changed).To(BeTrue())
}
