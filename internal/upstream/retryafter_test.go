package upstream_test

import (
	"math"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/upstream"
)

func TestRetryAfterOfAnyValue(t *testing.T) {
	const date = "Thu, 03 Dec 2026 10:00:00 GMT"
	for text, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, "1e1": 10 * time.Second,
		"0": 0, "-0": 0, "-3": 0, "": 0, "soon": 0, "3s": 0, "NaN": 0, "1,5": 0,
		"1e300": math.MaxInt64 / 2, "Inf": math.MaxInt64 / 2,
		"Thu, 03 Dec 2026 10:00:02 GMT": 2 * time.Second,
		"Thu, 03 Dec 2026 09:59:00 GMT": 0,
	} {
		got := upstream.RetryAfter(&http.Response{StatusCode: 503, Header: http.Header{"Retry-After": {text}, "Date": {date}}})
		NewWithT(t).Expect(got).To(BeNumerically("~", want, 1), "%q", text)
	}
	NewWithT(t).Expect(upstream.RetryAfter(&http.Response{StatusCode: 503, Header: http.Header{}})).To(BeZero())
	NewWithT(t).Expect(upstream.RetryAfter(&http.Response{StatusCode: 429, Header: http.Header{"Retry-After": {"3"}}})).To(BeZero(), "only a 503 asks for it")
}
