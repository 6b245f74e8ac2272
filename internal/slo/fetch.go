package slo

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxReportBytes is the maximum size of a report that Fetch reads.
const MaxReportBytes = 1 << 20

// Reasons why a report could not be read, besides ErrNotReport.
var (
	ErrUnreachable = errors.New("router unreachable")
	ErrStatus      = errors.New("router answered with an error")
	ErrTooLarge    = errors.New("report too large")
)

// Fetch downloads and parses the report at a URL.
func Fetch(ctx context.Context, client *http.Client, url string) (Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Report{}, errors.Wrapf(ErrUnreachable, "%v", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Report{}, errors.Wrapf(ErrUnreachable, "%v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Report{}, errors.Wrapf(ErrStatus, "%s: %s", url, resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, MaxReportBytes+1))
	if err != nil {
		return Report{}, errors.Wrapf(ErrUnreachable, "%s: %v", url, err)
	}
	if len(text) > MaxReportBytes {
		return Report{}, errors.Wrapf(ErrTooLarge, "%s: more than %d bytes", url, MaxReportBytes)
	}
	rep, err := Parse(text)
	return rep, errors.Wrap(err, url)
}
