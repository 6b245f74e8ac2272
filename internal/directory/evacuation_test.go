package directory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/directory"
)

func inDomain(domain string, e directory.Entry) directory.Entry {
	e.Endpoint.FailureDomain = domain
	return e
}

// Guards against ignoring evacuations: 2,785 requests reached an evacuated failure domain in a day,
// the first 5.0 s after the operator had ordered the evacuation.
func TestEvacuationLastsUntilReportedEnded(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 1, time.Time{}, inDomain("x", entry("a", "1")), inDomain("y", entry("b", "2")))
	read := func(r directory.Reading) bool {
		next, changed := d.Merge(r, now, time.Time{})
		d = next
		return changed
	}
	g.Expect(read(directory.Reading{Revision: directory.Revision{Number: 2}, Evacuations: directory.Evacuations{Active: []string{"x", "nowhere"}}})).To(BeTrue())
	g.Expect(d.Evacuated()).To(Equal([]string{"nowhere", "x"}))
	g.Expect(d.AcceptsWork("a")).To(BeFalse())
	g.Expect(d.AcceptsWork("b")).To(BeTrue())
	g.Expect(d.ByService("s")).To(HaveLen(2), "data cached there can still be fetched")

	// Changes and full lists without evacuations don't end one, nor does an older reading.
	read(directory.Reading{Revision: directory.Revision{Number: 3}, Entries: []directory.Entry{inDomain("x", entry("c", "3"))}})
	g.Expect(d.AcceptsWork("c")).To(BeFalse(), "an endpoint that joins an evacuated domain")
	read(directory.Reading{Full: true, Revision: directory.Revision{Number: 4}, Entries: d.Entries()})
	read(directory.Reading{Revision: directory.Revision{Number: 3}, Evacuations: directory.Evacuations{Full: true}})
	g.Expect(d.IsEvacuated("x")).To(BeTrue())
	g.Expect(d.Listed().IsEvacuated("x")).To(BeTrue())

	g.Expect(read(directory.Reading{Revision: directory.Revision{Number: 5}, Evacuations: directory.Evacuations{Ended: []string{"x"}}})).To(BeTrue())
	g.Expect(d.AcceptsWork("a")).To(BeTrue())
	g.Expect(read(directory.Reading{Revision: directory.Revision{Number: 6}, Evacuations: directory.Evacuations{Full: true, Active: []string{"nowhere"}}})).To(BeFalse())
	g.Expect(read(directory.Reading{Revision: directory.Revision{Number: 7}, Evacuations: directory.Evacuations{Full: true}})).To(BeTrue())
	g.Expect(d.Evacuated()).To(BeEmpty())
}

func TestDigestIncludesEvacuationsAndCold(t *testing.T) {
	g := NewWithT(t)
	d := merge(directory.Empty(), 1, time.Time{}, entry("a", "1"))
	evacuated, _ := d.Merge(directory.Reading{Revision: directory.Revision{Number: 2}, Evacuations: directory.Evacuations{Active: []string{"x"}}}, now, time.Time{})
	g.Expect(evacuated.Digest()).NotTo(Equal(d.Digest()))
	warm := entry("a", "1")
	warm.Cold = time.Second
	cold, changed := d.Merge(directory.Reading{Revision: directory.Revision{Number: 2}, Entries: []directory.Entry{warm}}, now, time.Time{})
	g.Expect(changed).To(BeTrue())
	g.Expect(cold.Digest()).NotTo(Equal(d.Digest()))
}

// Routers must learn of a changed version from each other. Those of older software compare the digest
// without versions.
func TestDigestIncludesVersions(t *testing.T) {
	g := NewWithT(t)
	before, after := entry("a", "1"), entry("a", "1")
	before.Version, after.Version = "v1", "v2"
	d := merge(directory.Empty(), 1, time.Time{}, before)
	later, changed := d.Merge(directory.Reading{Entries: []directory.Entry{after}, Revision: directory.Revision{Number: 2}}, now, time.Time{})
	g.Expect(changed).To(BeTrue())
	g.Expect(later.Digest()).NotTo(Equal(d.Digest()))
	g.Expect(later.UnversionedDigest()).To(Equal(d.UnversionedDigest()))
	g.Expect(later.ByService("s")[0].Version).To(Equal("v2"))
}
