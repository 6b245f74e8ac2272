package bundlecmd

import (
	"encoding/json"
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
)

// maxValueWidth is the maximum width of the columns for values, in characters.
const maxValueWidth = 44

type diffCmd struct {
	Old string `arg:"" help:"Bundle in force."`
	New string `arg:"" help:"Bundle that shall follow it."`
	jsonFlag
}

// Help implements kong.HelpProvider.
func (*diffCmd) Help() string {
	return `Compares what the bundles mean, not how they are written: comments, layout and
the order of teams, endpoints and so on make no difference, but the order of
tiers does. It warns if NEW's version isn't higher than OLD's, as the daemons
refuse such a bundle.`
}

// Run compares the files.
func (c *diffCmd) Run(env *cli.Env) error {
	before, err := readBundle(c.Old)
	if err != nil {
		return err
	}
	after, err := readBundle(c.New)
	if err != nil {
		return err
	}
	changes := bundle.Diff(before, after)
	if len(changes) > 0 && after.Version <= before.Version {
		fmt.Fprintf(env.Stderr, "warning: %s has version %d and %s has version %d; a changed bundle needs a higher version\n",
			c.Old, before.Version, c.New, after.Version)
	}
	if c.JSON {
		return printJSON(env.Stdout, append([]bundle.Change{}, changes...))
	}
	if len(changes) == 0 {
		fmt.Fprintln(env.Stdout, "no differences")
		return nil
	}
	printChanges(env, changes)
	return nil
}

func printChanges(env *cli.Env, changes []bundle.Change) {
	t := table.NewWriter()
	t.SetOutputMirror(env.Stdout)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"Action", "Noun", "Path", "Old", "New"})
	t.SetColumnConfigs([]table.ColumnConfig{{Name: "Old", WidthMax: maxValueWidth}, {Name: "New", WidthMax: maxValueWidth}})
	for _, c := range changes {
		t.AppendRow(table.Row{c.Action, c.Kind, c.Path, rawText(c.Old), rawText(c.New)})
	}
	t.Render()
}

// rawText formats a JSON value, or an empty string for null.
func rawText(v json.RawMessage) string {
	if string(v) == "null" {
		return ""
	}
	return string(v)
}
