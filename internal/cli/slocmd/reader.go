package slocmd

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"coveferry/internal/slo"
)

// maxConcurrentReads bounds the routers that are read concurrently.
const maxConcurrentReads = 16

// reportReader reads the reports of several routers.
type reportReader struct {
	client  *http.Client
	timeout time.Duration
	urls    []string
}

// readResult holds the reports and the failures of reading them.
type readResult struct {
	reports []slo.Report
	failed  []failure
}

type failure struct {
	url string
	err error
}

// read reads all routers and keeps the order of the URLs.
func (rd reportReader) read(ctx context.Context) readResult {
	reports := make([]slo.Report, len(rd.urls))
	errs := make([]error, len(rd.urls))
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for i, url := range rd.urls {
		group.Go(func() error {
			reports[i], errs[i] = rd.readOne(ctx, url)
			return nil
		})
	}
	_ = group.Wait() // errs holds the errors, one for each router
	var f readResult
	for i, err := range errs {
		if err != nil {
			f.failed = append(f.failed, failure{url: rd.urls[i], err: err})
			continue
		}
		f.reports = append(f.reports, reports[i])
	}
	return f
}

func (rd reportReader) readOne(ctx context.Context, url string) (slo.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, rd.timeout)
	defer cancel()
	return slo.Fetch(ctx, rd.client, url)
}

// missing returns the URLs that returned no report.
func (f readResult) missing() []string {
	urls := make([]string, len(f.failed))
	for i, fail := range f.failed {
		urls[i] = fail.url
	}
	return urls
}

// err returns one error for all routers that returned no report, formatted on one line.
func (f readResult) err() error {
	if len(f.failed) == 0 {
		return nil
	}
	texts := make([]string, len(f.failed))
	for i, fail := range f.failed {
		texts[i] = fail.err.Error()
	}
	err := errors.Newf("no report from %d of %d routers: %s",
		len(f.failed), len(f.failed)+len(f.reports), strings.Join(texts, "; "))
	return errors.WithSecondaryError(err, f.failed[0].err)
}
