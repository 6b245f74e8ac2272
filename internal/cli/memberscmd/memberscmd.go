// Package memberscmd holds the command that shows routers' view of the endpoints: the state of
// each, its reason and its age.
package memberscmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/cli"
	"coveferry/internal/membership"
)

// Cmd is the command "members".
type Cmd struct {
	Router  []string      `help:"Where a router serves its metrics; repeat it for several. The default is that of a standalone run." default:"http://127.0.0.1:8090" placeholder:"URL" sep:"none"`
	JSON    bool          `name:"json" help:"Print the pages as JSON."`
	Timeout time.Duration `help:"How long to wait for each router." default:"5s"`
}

// Help implements kong.HelpProvider.
func (Cmd) Help() string {
	return `Shows what each router makes of the endpoints: live ones get work, suspect ones
only where nothing else is left, leaving and gone ones none.

  coveferryctl members --router http://10.0.0.1:9090 --router http://10.0.0.2:9090
  coveferryctl members --router http://10.0.0.1:9090 --json

A router that doesn't answer is named on the standard error output; the others
are shown, and the exit code is 1.`
}

// Run shows the members of each router.
func (c *Cmd) Run(env *cli.Env) error {
	urls, err := c.urls()
	if err != nil {
		return err
	}
	client := &http.Client{CheckRedirect: rejectRedirect}
	pages := []membership.Snapshot{}
	var fetchErr error
	for _, u := range urls {
		page, err := c.fetch(env.Ctx, client, u)
		if err != nil {
			fmt.Fprintln(env.Stderr, err)
			fetchErr = errors.Newf("not all of %d routers answered", len(urls))
			continue
		}
		pages = append(pages, page)
	}
	return errors.CombineErrors(c.print(env, pages), fetchErr)
}

// rejectRedirect makes the client return redirects unfollowed: only the router itself may
// answer.
func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (c *Cmd) fetch(ctx context.Context, client *http.Client, u string) (membership.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return membership.Fetch(ctx, client, u)
}

// urls validates the flags and returns the routers' URLs.
func (c *Cmd) urls() ([]string, error) {
	if c.Timeout <= 0 {
		return nil, cli.BadInput(errors.Newf("--timeout is %s; it must be positive", c.Timeout))
	}
	urls := make([]string, len(c.Router))
	for i, raw := range c.Router {
		u, err := cli.AdminURL("router", raw, membership.PathMembers)
		if err != nil {
			return nil, err
		}
		urls[i] = u
	}
	return urls, nil
}

func (c *Cmd) print(env *cli.Env, pages []membership.Snapshot) error {
	if c.JSON {
		enc := json.NewEncoder(env.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(output{Routers: pages})
	}
	for _, page := range pages {
		if _, err := fmt.Fprintln(env.Stdout, render(page)); err != nil {
			return err
		}
	}
	return nil
}

// output is the JSON document that --json prints.
type output struct {
	Routers []membership.Snapshot `json:"routers"`
}
