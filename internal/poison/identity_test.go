package poison

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
)

func TestARequestIsKnownAgainByAllOfItsContent(t *testing.T) {
	g := NewWithT(t)
	asked := Content{Team: "acme", Method: "POST", Host: "h", Target: "/a/?x=1", Body: []byte("body")}
	again := asked
	again.Body = bytes.Clone(asked.Body)
	g.Expect(Identify(again)).To(Equal(Identify(asked)))
	for _, other := range []Content{
		{Team: "acm", Method: "ePOST", Host: "h", Target: "/a/?x=1", Body: []byte("body")},
		{Team: "acme", Method: "PUT", Host: "h", Target: "/a/?x=1", Body: []byte("body")},
		{Team: "acme", Method: "POST", Host: "i", Target: "/a/?x=1", Body: []byte("body")},
		{Team: "acme", Method: "POST", Host: "h", Target: "/a/?x=2", Body: []byte("body")},
		{Team: "acme", Method: "POST", Host: "h", Target: "/a/?x=1", Body: []byte("bodx")},
		{Team: "acme", Method: "POST", Host: "h", Target: "/a/?x=1"},
	} {
		g.Expect(Identify(other)).NotTo(Equal(Identify(asked)), "%v", other)
	}
}

func BenchmarkIdentify(b *testing.B) {
	c := Content{Team: "acme", Method: "POST", Host: "h", Target: "/a/", Body: make([]byte, 50<<10)}
	b.SetBytes(int64(len(c.Body)))
	for b.Loop() {
		Identify(c)
	}
}
