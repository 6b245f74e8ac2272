package bundlecmd

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
	"coveferry/internal/jsonc"
)

type checkCmd struct {
	File string `arg:"" help:"Bundle file."`
	jsonFlag
}

// Help implements kong.HelpProvider.
func (*checkCmd) Help() string {
	return `Reports all faults at once, one a line, as FILE:LINE:COLUMN: path: message, and
exits with code 2 if there are any. Warnings, such as a model whose endpoints
stand in a single failure domain, don't change the exit code.`
}

// Run checks the file.
func (c *checkCmd) Run(env *cli.Env) error {
	src, err := readFile(c.File)
	if err != nil {
		return err
	}
	in := bundle.Inspect(c.File, src)
	if c.JSON {
		return c.reportJSON(env, in)
	}
	for _, w := range in.Warnings {
		fmt.Fprintln(env.Stderr, "warning:", w)
	}
	if err := in.Errors.Err(); err != nil {
		return cli.BadInput(err)
	}
	fmt.Fprintln(env.Stdout, summary(c.File, in.Bundle))
	return nil
}

func (c *checkCmd) reportJSON(env *cli.Env, in bundle.Inspection) error {
	report := checkReport{File: c.File, OK: in.Bundle != nil, Errors: problems(in.Errors), Warnings: problems(in.Warnings)}
	if in.Bundle != nil {
		report.Version = in.Bundle.Version
	}
	if err := printJSON(env.Stdout, report); err != nil {
		return err
	}
	if !report.OK {
		return cli.BadInput(errors.Newf("%s: %d faults", c.File, len(in.Errors)))
	}
	return nil
}

// checkReport is the output of "check --json".
type checkReport struct {
	File     string    `json:"file"`
	OK       bool      `json:"ok"`
	Version  uint64    `json:"version,omitempty"`
	Errors   []problem `json:"errors"`
	Warnings []problem `json:"warnings"`
}

// problem is an error or a warning; line and column start at 1.
type problem struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

func problems(ps jsonc.Problems) []problem {
	out := make([]problem, len(ps))
	for i, p := range ps {
		out[i] = problem{Line: p.Line, Column: p.Column, Path: p.Path, Message: p.Message}
	}
	return out
}

func summary(file string, b *bundle.Bundle) string {
	domains := make(map[string]bool)
	for i := range b.Endpoints {
		domains[b.Endpoints[i].FailureDomain] = true
	}
	return fmt.Sprintf("%s: version %d is good: %d tiers, %d classes, %d models, %d services, %d teams, %d endpoints in %d failure domains",
		file, b.Version, len(b.Tiers), len(b.Classes), len(b.Models), len(b.Services), len(b.Teams), len(b.Endpoints), len(domains))
}
