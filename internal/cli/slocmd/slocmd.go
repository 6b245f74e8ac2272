// Package slocmd holds the command that reads the routers' SLO reports, merges them and shows
// the burn rate of the error budget of each class and tier.
package slocmd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/cli"
	"coveferry/internal/identity"
	"coveferry/internal/slo"
)

// Bounds of the refresh interval.
const (
	minWatchInterval = time.Second
	maxWatchInterval = time.Hour
)

// Cmd is the command "slo".
type Cmd struct {
	Router   []string      `help:"Where a router serves its metrics; repeat it for several. The default is that of a standalone run." default:"http://127.0.0.1:8090" placeholder:"URL" sep:"none"`
	JSON     bool          `name:"json" help:"Print the merged report as JSON."`
	Plot     string        `help:"Write a picture of the burn rates." placeholder:"FILE.png"`
	Watch    time.Duration `help:"Show it again this often, from 1s to 1h, until interrupted." placeholder:"INTERVAL"`
	FailOn   slo.Level     `help:"Exit with 1 when a class and tier is at this level or above: none (never), ticket or page." enum:"none,ticket,page" default:"none"`
	Timeout  time.Duration `help:"How long to wait for each router." default:"5s"`
	CAFile   string        `help:"The authorities to trust, for https." and:"tls" placeholder:"FILE"`
	CertFile string        `help:"The operator's certificate, for https." and:"tls" placeholder:"FILE"`
	KeyFile  string        `help:"The operator's key, for https." and:"tls" placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (Cmd) Help() string {
	return `Reads the report of each router, adds up their counts and works out the burn
rates from the sums. A burn rate of 1 uses up the error budget exactly; 14.4 uses
up a month's budget in two days.

  coveferryctl slo --router http://10.0.0.1:9090 --router http://10.0.0.2:9090
  coveferryctl slo --router http://10.0.0.1:9090 --fail-on page --json
  coveferryctl slo --router http://10.0.0.1:9090 --watch 10s

A router that gives no report is named on the standard error output; the others
are shown, and the exit code is 1.`
}

// Run shows the report once, or periodically with --watch.
func (c *Cmd) Run(env *cli.Env) error {
	urls, err := c.validate()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	rd := reportReader{client: client, timeout: c.Timeout, urls: urls}
	if c.Watch == 0 {
		return c.show(env, rd)
	}
	return c.watch(env, rd)
}

// validate validates the flags and returns the routers' URLs.
func (c *Cmd) validate() ([]string, error) {
	if c.Watch != 0 && (c.Watch < minWatchInterval || c.Watch > maxWatchInterval) {
		return nil, cli.BadInput(errors.Newf("--watch is %s; write %s to %s", c.Watch, minWatchInterval, maxWatchInterval))
	}
	if c.Timeout <= 0 {
		return nil, cli.BadInput(errors.Newf("--timeout is %s; it must be positive", c.Timeout))
	}
	urls := make([]string, len(c.Router))
	for i, raw := range c.Router {
		u, err := cli.AdminURL("router", raw, slo.Path)
		if err != nil {
			return nil, err
		}
		urls[i] = u
		if slices.Contains(urls[:i], urls[i]) {
			return nil, cli.BadInput(errors.Newf("--router %q is given twice; its requests would count twice", raw))
		}
	}
	return urls, nil
}

// client returns a client that doesn't follow redirects: only the router itself may answer.
func (c *Cmd) client() (*http.Client, error) {
	transport := &http.Transport{}
	if c.CAFile != "" {
		id, err := identity.Load(c.CAFile, c.CertFile, c.KeyFile)
		if err != nil {
			return nil, cli.BadInput(err)
		}
		transport.TLSClientConfig = id.ClientConfig(identity.RoleRouter, identity.AnyName)
		transport.ForceAttemptHTTP2 = true
	}
	rejectRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: rejectRedirect}, nil
}

// watch shows the report at each interval. It prints errors of routers and retries; reaching
// the level of --fail-on ends it.
func (c *Cmd) watch(env *cli.Env, rd reportReader) error {
	tick := time.NewTicker(c.Watch)
	defer tick.Stop()
	for {
		err := c.show(env, rd)
		switch {
		case env.Ctx.Err() != nil:
			return nil
		case errors.Is(err, errLevel):
			return err
		case err != nil:
			fmt.Fprintln(env.Stderr, err)
		}
		select {
		case <-env.Ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// show reads, merges and prints once.
func (c *Cmd) show(env *cli.Env, rd reportReader) error {
	found := rd.read(env.Ctx)
	if len(found.reports) == 0 {
		return found.err()
	}
	merged := slo.Merge(found.reports...)
	if err := c.print(env, merged, found.missing()); err != nil {
		return err
	}
	if c.Plot != "" {
		if err := writePlot(c.Plot, merged); err != nil {
			return err
		}
	}
	missingErr := found.err()
	level := c.checkLevel(merged)
	if level != nil && missingErr != nil {
		fmt.Fprintln(env.Stderr, missingErr)
	}
	if level != nil {
		return level
	}
	return missingErr
}

// output is the merged report and the URLs without a report.
type output struct {
	slo.Report
	Missing []string `json:"missing"` // URLs that returned no report
}

func (c *Cmd) print(env *cli.Env, rep slo.Report, missing []string) error {
	if c.JSON {
		enc := json.NewEncoder(env.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(output{Report: rep, Missing: missing})
	}
	_, err := fmt.Fprintln(env.Stdout, render(rep))
	return err
}

// errLevel marks that the level of --fail-on was reached.
var errLevel = errors.New("error budget burns too fast")

func (c *Cmd) checkLevel(rep slo.Report) error {
	if c.FailOn == slo.LevelNone || c.FailOn == "" || !rep.Worst().AtLeast(c.FailOn) {
		return nil
	}
	return errors.Wrapf(errLevel, "level %s", rep.Worst())
}
