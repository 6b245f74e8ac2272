package upstream

import (
	"net/url"
	"strings"
)

// TargetError is a request target that can't be sent to an endpoint as it came.
type TargetError struct{ Target string }

// Error implements error.
func (e *TargetError) Error() string {
	return "upstream: the target can't be sent on unchanged: " + e.Target
}

// Target returns the URL, but for its host, with which net/http sends a request with exactly this
// target, as received from a caller. Its error is a *TargetError.
func Target(target string) (*url.URL, error) {
	path, query, hasQuery := strings.Cut(target, "?")
	u := &url.URL{Scheme: "http", Opaque: path, RawQuery: query, ForceQuery: hasQuery}
	if strings.HasPrefix(path, "//") {
		// net/http would take an opaque path that begins so for an address.
		unescaped, err := url.PathUnescape(path)
		if err != nil {
			return nil, &TargetError{target}
		}
		u.Opaque, u.Path, u.RawPath = "", unescaped, path
	}
	if u.RequestURI() != target {
		return nil, &TargetError{target}
	}
	return u, nil
}
