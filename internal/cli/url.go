package cli

import (
	"net/url"

	"github.com/cockroachdb/errors"
)

// AdminURL parses the URL of a process's admin server from a flag and appends path if the URL
// has none. The error is marked as bad input.
func AdminURL(flag, raw, path string) (string, error) {
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", BadInput(errors.Newf("--%s %q is not a URL such as http://127.0.0.1:9090", flag, raw))
	}
	if u.Path == "" || u.Path == "/" {
		u.Path = path
	}
	return u.String(), nil
}
