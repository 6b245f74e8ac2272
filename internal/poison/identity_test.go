package poison

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
)

func TestIdentityCoversAllContent(t *testing.T) {
	g := NewWithT(t)
	original := Content{Team: "acme", Method: "POST", Host: "h", Target: "/a/?x=1", Body: []byte("body")}
	same := original
	same.Body = bytes.Clone(original.Body)
	g.Expect(Identify(same)).To(Equal(Identify(original)))
	for _, other := range []Content{
		{Team: "acm", Method: "ePOST", Host: "h", Target: "/a/?x=1", Body: []byte("body")},
		{Team: "acme", Method: "PUT", Host: "h", Target: "/a/?x=1", Body: []byte("body")},
		{Team: "acme", Method: "POST", Host: "i", Target: "/a/?x=1", Body: []byte("body")},
		{Team: "acme", Method: "POST", Host: "h", Target: "/a/?x=2", Body: []byte("body")},
		{Team: "acme", Method: "POST", Host: "h", Target: "/a/?x=1", Body: []byte("bodx")},
		{Team: "acme", Method: "POST", Host: "h", Target: "/a/?x=1"},
	} {
		g.Expect(Identify(other)).NotTo(Equal(Identify(original)), "%v", other)
	}
}

func BenchmarkIdentify(b *testing.B) {
	c := Content{Team: "acme", Method: "POST", Host: "h", Target: "/a/", Body: make([]byte, 50<<10)}
	b.SetBytes(int64(len(c.Body)))
	for b.Loop() {
		Identify(c)
	}
}
