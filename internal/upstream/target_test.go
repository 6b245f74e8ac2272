package upstream

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// sentTarget returns the target as an endpoint reads it; false if it is refused.
func sentTarget(t *testing.T, method, target string) (string, bool) {
	u, err := Target(target)
	if err != nil {
		return "", false
	}
	u.Host = "10.0.0.1:80"
	req := &http.Request{Method: method, URL: u, Host: "h", Header: http.Header{}}
	var wire bytes.Buffer
	if err := req.Write(&wire); err != nil {
		return "", false // net/http refuses it before anything is sent
	}
	got, err := http.ReadRequest(bufio.NewReader(&wire))
	if err != nil {
		t.Fatalf("%q was sent as %q: %v", target, wire.String(), err)
	}
	return got.RequestURI, true
}

func TestTargetsAreSentUnchanged(t *testing.T) {
	for _, target := range []string{
		"/", "/?", "/search/1?", "/a//b", "//a", "//a/b", "//x%20y/z", "//x%2Fy", "//x%2fy?a=%20", "///", "//?", "/%2F/", "/a%2Fb//c?x=1&y=%20",
		"/?a=b?c", "/a?b#c", "/a#b", "/a;b=c", "/a:b@c", "/~a!$&'()*+,", "/[x]", "//[x]", "/a?%zz",
	} {
		got, sent := sentTarget(t, http.MethodGet, target)
		g := NewWithT(t)
		g.Expect(sent).To(BeTrue(), target)
		g.Expect(got).To(Equal(target))
	}
}

func FuzzTargetArrivesUnchangedOrIsRefused(f *testing.F) {
	for _, target := range []string{"/", "/?", "//x%20y/z", "//x%2Fy", "//%", "//é", "//a b", "/a?b?", "*", "http://h/p", "//h:80/p?"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		// What the server of callers accepts as a target.
		in, err := http.ReadRequest(bufio.NewReader(bytes.NewBufferString("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil || in.RequestURI != target {
			return
		}
		if got, sent := sentTarget(t, http.MethodGet, target); sent && got != target {
			t.Errorf("%q arrives as %q", target, got)
		}
	})
}
