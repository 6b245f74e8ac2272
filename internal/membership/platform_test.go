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

// answer is a server that always gives the same answer.
type answer string

func (a answer) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(a)))}, nil
}

func TestListsThatCannotBeUnderstoodAreRefused(t *testing.T) {
	for text, ok := range map[string]bool{
		`{"vms":[{"name":"a","state":"live"},{"name":"b","state":"leaving"}],"at":"2026-03-01T08:00:00Z"}`: true,
		`{"vms":[],"at":"2026-03-01T08:00:00Z"}`:                                                           false,
		`{"vms":[{"name":"a","state":"moving"}],"at":"2026-03-01T08:00:00Z"}`:                              false,
		`{"vms":[{"name":"a","st`: false,
	} {
		g := NewWithT(t)
		read, err := NewPlatform(&http.Client{Transport: answer(text)}, "http://10.0.0.1:80/").Read(t.Context())
		if ok {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read).To(Equal(ListRead{At: epoch, VMs: []VM{{Name: "a"}, {Name: "b", Leaving: true}}}))
			continue
		}
		var failed *ListError
		g.Expect(err).To(BeAssignableToTypeOf(failed), text)
	}
}

// Only what changed travels, a VM that is gone too.
func TestUpdateHoldsWhatChanged(t *testing.T) {
	g := NewWithT(t)
	var l ledger
	l.take(epoch, ListRead{At: epoch, VMs: []VM{{Name: "a"}, {Name: "b"}, {Name: "c"}}})
	next := epoch.Add(time.Second)
	l.take(next, ListRead{At: next, VMs: []VM{{Name: "a"}, {Name: "b", Leaving: true}}})
	u := l.since(epoch)
	g.Expect(u.Whole).To(BeFalse())
	g.Expect(u.VMs).To(Equal([]VMEntry{{Name: "b", Leaving: true, At: next}}))
	g.Expect(u.Gone).To(Equal([]VMEntry{{Name: "c", At: next}}))
	g.Expect(l.since(time.Time{}).Whole).To(BeTrue())
}

// The pool must not learn of endpoints that the bundle names no more.
func TestReportsOfUnknownEndpointsDoNotCount(t *testing.T) {
	playStand(t, func(s *stand) {
		clock := wire.Clock{Incarnation: "a"}
		s.g.Expect(s.tracker.Answered("e0", clock, time.Time{}, load.Report{Seq: 1})).To(BeTrue())
		s.g.Expect(s.tracker.Answered("e9", clock, time.Time{}, load.Report{Seq: 1})).To(BeFalse())
	})
}
