// Command coveferryd is coveferry's daemon. Its first argument selects the role.
package main

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/cli"
	"coveferry/internal/daemon"
	"coveferry/internal/daemon/onplatform"
	"coveferry/internal/settings"
	"coveferry/platform"
)

type program struct {
	Router        roleCmd          `cmd:"" help:"Take callers' requests and send them to the agents of endpoints. Runs on an entry VM."`
	Agent         agentCmd         `cmd:"" help:"Own the queue of the one endpoint on this VM."`
	Direct        directCmd        `cmd:"" help:"Take callers' requests and send them straight to endpoints, by what the platform's store says. Runs on an entry VM without agents."`
	Standalone    standaloneCmd    `cmd:"" help:"Run router, agents and stand-in engines in one process: the way to try coveferry."`
	CheckSettings checkSettingsCmd `cmd:"" help:"Report every fault of a settings file with its place, and exit with 2 if there is one."`
	Completion    cli.Completion   `cmd:"" help:"Print what a shell needs to complete commands."`
}

type roleCmd struct {
	Settings string `arg:"" help:"Settings file, JSON with comments; see examples/settings/router.jsonc."`
}

// Run runs the command.
func (c *roleCmd) Run(env *cli.Env) error { return daemon.Router(env, c.Settings) }

type agentCmd struct {
	Settings string `arg:"" help:"Settings file, JSON with comments; see examples/settings/agent.jsonc."`
}

// Run runs the command.
func (c *agentCmd) Run(env *cli.Env) error { return daemon.Agent(env, c.Settings) }

type directCmd struct {
	MetricsPort   int           `help:"Port for metrics, on the VM's own address; 0 serves none." default:"0"`
	LongestReturn time.Duration `help:"How long after the beginning of a stream its caller may take it up at another router. For that long after a start, and after a service had two software versions, streams go on only where a router knows which of them began it." default:"1h"`
}

// Run runs the command.
func (c *directCmd) Run(env *cli.Env) error {
	cfg, err := onplatform.Config(platform.SettingsPath(), c.MetricsPort)
	if err != nil {
		return cli.BadInput(err)
	}
	if c.LongestReturn <= 0 {
		return cli.BadInput(errors.Newf("--longest-return %s: must be positive, such as 1h", c.LongestReturn))
	}
	cfg.LongestReturn = c.LongestReturn
	return daemon.RunDirect(env, cfg)
}

type standaloneCmd struct {
	Settings string `arg:"" optional:"" help:"Settings file, JSON with comments; without one, defaults serve. See examples/settings/standalone.jsonc."`
	Listen   string `help:"IP and port for callers, in place of the settings'." placeholder:"IP:PORT"`
}

// Run runs the command.
func (c *standaloneCmd) Run(env *cli.Env) error {
	s := settings.DefaultStandalone()
	if c.Settings != "" {
		loaded, err := settings.LoadStandalone(c.Settings)
		if err != nil {
			return cli.BadInput(err)
		}
		s = *loaded
	}
	if c.Listen != "" {
		address, err := netip.ParseAddrPort(c.Listen)
		if err != nil {
			return cli.BadInput(errors.Newf("--listen %s: must be an IP and a port, such as 127.0.0.1:8080", c.Listen))
		}
		s.Listen = settings.Address{AddrPort: address}
	}
	return daemon.Standalone(env, &s)
}

type checkSettingsCmd struct {
	File string `arg:"" help:"Settings file of any role."`
}

// Run runs the command.
func (c *checkSettingsCmd) Run(env *cli.Env) error {
	role, problems := settings.Check(c.File)
	if len(problems) > 0 {
		return cli.BadInput(problems)
	}
	_, err := fmt.Fprintf(env.Stdout, "%s: valid settings of role %s\n", c.File, role)
	return err
}

func main() {
	cli.Main("coveferryd", "The daemon of coveferry, a router for language-model traffic with service levels.", &program{})
}
