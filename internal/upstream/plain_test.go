package upstream_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/upstream"
)

func TestPlainHeaders(t *testing.T) {
	g := NewWithT(t)
	h := http.Header{
		"Authorization": {"Bearer k"}, "Coveferry-Deadline": {"1500ms"}, "Coveferry-Request-Id": {"a"},
		"Last-Event-Id": {"3"}, "Coveferry-Team": {"forged"},
	}
	g.Expect(upstream.Plain{}.Incoming(h)).To(Equal(upstream.Incoming{
		ID: "a", APIKey: "k", CallerTimeout: 1500 * time.Millisecond, LastEvent: "3",
	}))
	upstream.Plain{}.Encode(h, upstream.Attempt{ID: "a", Rank: 1, TimeLeft: time.Second, LastEvent: "5"})
	g.Expect(h).To(Equal(http.Header{
		"Coveferry-Deadline": {"1s"}, "Coveferry-Request-Id": {"a"}, "Last-Event-Id": {"5"}, "Coveferry-Tier": {"1"},
	}))
}

func TestPlainDecodeDefaultsToTheRequestID(t *testing.T) {
	g := NewWithT(t)
	req := &http.Request{Header: http.Header{"Coveferry-Request-Id": {"a"}}}
	g.Expect(upstream.Plain{}.Decode(&http.Response{Request: req, Header: http.Header{}}).ID).To(Equal("a"))
	other := &http.Response{Request: req, Header: http.Header{"Coveferry-Request-Id": {"b"}, "Coveferry-Not-Run": {"1"}}}
	g.Expect(upstream.Plain{}.Decode(other)).To(Equal(upstream.Reply{ID: "b", NotRun: true, Signed: true}))
}
