package bundlecmd

import (
	"fmt"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
)

type explainCmd struct {
	File  string `arg:"" help:"Bundle file."`
	Team  string `required:"" help:"Name of the team that calls."`
	Class string `help:"Class of the request; the default is the team's first grant."`
	Model string `required:"" help:"Model or plain service that the request asks for."`
	jsonFlag
}

// Help implements kong.HelpProvider.
func (*explainCmd) Help() string {
	return `Tells which tier and latency targets the request gets, which endpoints of which
failure domains may answer it, and which limits bind the team; or why the
request would be refused. Load and failures of the moment aren't considered.`
}

// Run explains the request.
func (c *explainCmd) Run(env *cli.Env) error {
	b, err := readBundle(c.File)
	if err != nil {
		return err
	}
	e, err := bundle.Explain(b, c.Team, c.Class, c.Model)
	if err != nil {
		return cli.BadInput(err)
	}
	if c.JSON {
		return printJSON(env.Stdout, e)
	}
	fmt.Fprint(env.Stdout, e)
	return nil
}
