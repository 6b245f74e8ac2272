package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// RetryAfter returns for how long an endpoint that answers 503 asks this router to back off: its
// Retry-After header, in seconds with or without a fraction or as a date. It returns 0 for other
// statuses and for values that are unreadable or not in the future.
func RetryAfter(resp *http.Response) time.Duration {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	text := strings.TrimSpace(resp.Header.Get("Retry-After"))
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		return positiveSeconds(seconds)
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	return max(0, at.Sub(answerTime(resp.Header)))
}

// positiveSeconds returns 0 for a value that isn't positive, NaN included. Large values are
// reduced to the range of a Duration.
func positiveSeconds(seconds float64) time.Duration {
	if !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2))
}

// answerTime returns the time of an answer by the endpoint's clock, which a date in the same
// answer goes by, or by this VM's clock if the answer doesn't state it.
func answerTime(h http.Header) time.Time {
	if at, err := http.ParseTime(h.Get("Date")); err == nil {
		return at
	}
	return time.Now()
}
