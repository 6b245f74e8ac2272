package rollout

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/control"
	"coveferry/internal/server"
)

// Keys of the configuration service under which bundles are published.
const (
	KeyManifest = "signed-manifest.json"
	keySections = "sections/"
	sectionExt  = ".json"
)

const (
	pathValues    = "/v1/values"
	headerVersion = "X-Version"
	// maxValueBytes limits a value; the service stores none that is larger.
	maxValueBytes = 1 << 20
	// watchTimeout is longer than the service holds a watch open.
	watchTimeout = 45 * time.Second
	readTimeout  = 5 * time.Second
)

// KeySection returns the key of a section.
func KeySection(d bundle.Digest) string { return keySections + d.String() + sectionExt }

// ErrService marks errors of the configuration service.
var ErrService = errors.New("rollout: configuration service")

// ServiceError says which server failed, and how.
type ServiceError struct {
	URL string
	Err error
	// RetryAfter is the delay that the server asked for; 0 if none.
	RetryAfter time.Duration
}

// Error returns the server and the cause.
func (e *ServiceError) Error() string {
	return ErrService.Error() + ": " + e.URL + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ServiceError) Unwrap() error { return e.Err }

// Is makes the error match ErrService.
func (e *ServiceError) Is(target error) bool { return target == ErrService }

// Revision is the service's own version number of a value, from which it is
// watched; 0 means none.
type Revision uint64

// ServiceClient is a client of one server of the configuration service.
type ServiceClient struct {
	url  string
	http *http.Client
}

// NewServiceClient returns a client of the server at a base URL. A nil dial
// uses TCP.
func NewServiceClient(base *url.URL, dial control.Dial) *ServiceClient {
	return &ServiceClient{
		url: base.JoinPath(pathValues).String(),
		http: &http.Client{Transport: server.NewStrictTransport(&http.Transport{
			DialContext: dial, TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12},
			TLSHandshakeTimeout: readTimeout, IdleConnTimeout: watchTimeout,
		})},
	}
}

// Close closes idle connections.
func (s *ServiceClient) Close() { s.http.CloseIdleConnections() }

// Manifest reads the signed manifest. With a revision it waits until the
// service has a later one; ok is false if none arrived before the service ended
// the watch.
func (s *ServiceClient) Manifest(ctx context.Context, after Revision) (value []byte, revision Revision, ok bool, err error) {
	query, timeout := "", readTimeout
	if after > 0 {
		query, timeout = "?wait="+strconv.FormatUint(uint64(after), 10), watchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.get(ctx, KeyManifest+query)
}

// Section reads one section; the caller verifies its digest.
func (s *ServiceClient) Section(ctx context.Context, d bundle.Digest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, _, ok, err := s.get(ctx, KeySection(d))
	if err == nil && !ok {
		err = s.newError(errors.New("unexpected status 304"), 0)
	}
	return value, err
}

func (s *ServiceClient) get(ctx context.Context, key string) (value []byte, revision Revision, ok bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url+"/"+key, nil)
	if err != nil {
		return nil, 0, false, s.newError(err, 0)
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return nil, 0, false, s.newError(err, 0)
	}
	defer resp.Body.Close()
	number, _ := strconv.ParseUint(resp.Header.Get(headerVersion), 10, 64) // 0 if the header is missing
	switch resp.StatusCode {
	case http.StatusNotModified:
		return nil, Revision(number), false, nil
	case http.StatusOK:
		value, err = s.readBody(resp.Body)
		return value, Revision(number), err == nil, err
	default:
		return nil, 0, false, s.newError(errors.Newf("status %s", resp.Status), retryAfter(resp))
	}
}

func (s *ServiceClient) readBody(r io.Reader) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(r, maxValueBytes+1))
	if err != nil {
		return nil, s.newError(err, 0)
	}
	if len(value) > maxValueBytes {
		return nil, s.newError(errors.Newf("a value of more than %d bytes", maxValueBytes), 0)
	}
	return value, nil
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (s *ServiceClient) newError(err error, after time.Duration) error {
	return &ServiceError{URL: s.url, Err: err, RetryAfter: after}
}
