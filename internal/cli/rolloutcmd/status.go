// Package rolloutcmd holds the commands that show and measure the rollout of a bundle to the
// fleet.
package rolloutcmd

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/cli"
	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/rollout"
)

// Bounds of the refresh interval.
const (
	minWatchInterval = 100 * time.Millisecond
	maxWatchInterval = time.Hour
)

// Cmd is the command group "bundle rollout".
type Cmd struct {
	Status StatusCmd `cmd:"" help:"Show which version is in force where, and who lags."`
}

// StatusCmd is the command "bundle rollout status".
type StatusCmd struct {
	Router   []string      `required:"" help:"Control address of a router; repeat it for several." placeholder:"IP:PORT" sep:"none"`
	CAFile   string        `required:"" help:"The authorities to trust." placeholder:"FILE"`
	CertFile string        `required:"" help:"The operator's certificate." placeholder:"FILE"`
	KeyFile  string        `required:"" help:"The operator's key." placeholder:"FILE"`
	All      bool          `help:"List all processes, also of a large fleet that is up to date."`
	JSON     bool          `name:"json" help:"Print JSON."`
	Watch    time.Duration `help:"Show it again this often, from 100ms to 1h, until interrupted." placeholder:"INTERVAL"`
	Strict   bool          `help:"Exit with 1 when a process lags or wasn't heard of."`
}

// Help implements kong.HelpProvider.
func (StatusCmd) Help() string {
	return `Asks the routers, and one process of each further failure domain, what they know
of the processes of their own failure domain. What is known of a process is as old
as the column "heard" says.

  coveferryctl bundle rollout status --router 10.0.0.1:7430 \
    --ca-file authority.crt --cert-file operator.crt --key-file operator.key --watch 1s`
}

// Run shows the status once, or periodically with --watch.
func (c *StatusCmd) Run(env *cli.Env) error {
	if err := c.validate(); err != nil {
		return err
	}
	id, err := identity.Load(c.CAFile, c.CertFile, c.KeyFile)
	if err != nil {
		return cli.BadInput(err)
	}
	pool := control.NewPool(control.ClientConfig{Identity: id}, 0)
	defer pool.Close()
	client := rollout.NewStatusClient(pool)
	if c.Watch == 0 {
		return c.show(env, client)
	}
	return c.watch(env, client)
}

func (c *StatusCmd) validate() error {
	if c.Watch != 0 && (c.Watch < minWatchInterval || c.Watch > maxWatchInterval) {
		return cli.BadInput(errors.Newf("--watch is %s; write %s to %s", c.Watch, minWatchInterval, maxWatchInterval))
	}
	for _, a := range c.Router {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return cli.BadInput(errors.Newf("--router %q is not an IP and a port, such as 10.0.0.1:7430", a))
		}
	}
	return nil
}

// watch shows the status at each interval. It prints errors and continues.
func (c *StatusCmd) watch(env *cli.Env, s *rollout.StatusClient) error {
	tick := time.NewTicker(c.Watch)
	defer tick.Stop()
	for {
		if err := c.show(env, s); err != nil && env.Ctx.Err() == nil {
			fmt.Fprintln(env.Stderr, err)
		}
		select {
		case <-env.Ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// errLagging is the error of --strict.
var errLagging = errors.New("not every process has the highest version in force")

func (c *StatusCmd) show(env *cli.Env, s *rollout.StatusClient) error {
	survey, err := s.Query(env.Ctx, c.Router)
	if err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(env.Stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(survey)
	} else {
		_, err = fmt.Fprintln(env.Stdout, render(survey, time.Now(), c.All))
	}
	if err == nil && c.Strict && (len(survey.Lagging()) > 0 || len(survey.Failed) > 0) {
		return errLagging
	}
	return err
}
