package membership

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/load"
	"coveferry/internal/wire"
)

// fixedResponse is an http.RoundTripper that always returns the same body.
type fixedResponse string

func (a fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(a)))}, nil
}

func TestInvalidListsAreRejected(t *testing.T) {
	for text, ok := range map[string]bool{
		`{"vms":[{"name":"a","state":"live"},{"name":"b","state":"leaving"}],"at":"2026-03-01T08:00:00Z"}`: true,
		`{"vms":[],"at":"2026-03-01T08:00:00Z"}`:                                                           false,
		`{"vms":[{"name":"a","state":"moving"}],"at":"2026-03-01T08:00:00Z"}`:                              false,
		`{"vms":[{"name":"a","st`: false,
	} {
		g := NewWithT(t)
		read, err := NewPlatformClient(&http.Client{Transport: fixedResponse(text)}, "http://10.0.0.1:80/").Read(t.Context())
		if ok {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read).To(Equal(ListRead{At: epoch, VMs: []VM{{Name: "a"}, {Name: "b", Leaving: true}}}))
			continue
		}
		var failed *ListError
		g.Expect(err).To(BeAssignableToTypeOf(failed), text)
	}
}

// An update contains only the changes, including removed VMs.
func TestUpdateHoldsOnlyChanges(t *testing.T) {
	g := NewWithT(t)
	var l listHistory
	l.replace(epoch, ListRead{At: epoch, VMs: []VM{{Name: "a"}, {Name: "b"}, {Name: "c"}}})
	next := epoch.Add(time.Second)
	l.replace(next, ListRead{At: next, VMs: []VM{{Name: "a"}, {Name: "b", Leaving: true}}})
	u := l.updateSince(epoch)
	g.Expect(u.Full).To(BeFalse())
	g.Expect(u.VMs).To(Equal([]VMEntry{{Name: "b", Leaving: true, At: next}}))
	g.Expect(u.Gone).To(Equal([]VMEntry{{Name: "c", At: next}}))
	g.Expect(l.updateSince(time.Time{}).Full).To(BeTrue())
}

// The pool must not receive load reports of endpoints that are not in the bundle.
func TestReportsOfUnknownEndpointsAreIgnored(t *testing.T) {
	runWithProber(t, func(s *proberFixture) {
		clock := wire.Clock{Incarnation: "a"}
		s.g.Expect(s.tracker.Answered("e0", clock, time.Time{}, load.Report{Seq: 1})).To(BeTrue())
		s.g.Expect(s.tracker.Answered("e9", clock, time.Time{}, load.Report{Seq: 1})).To(BeFalse())
	})
}
