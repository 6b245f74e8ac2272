// Package capacitycmd holds the command that computes the resources of each role at a given
// size from measured slopes.
package capacitycmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"coveferry/internal/capacity"
	"coveferry/internal/cli"

	defaults "coveferry/examples/capacity"
)

// Cmd prints the tables of docs/CAPACITY.md.
type Cmd struct {
	Size     string `type:"existingfile" placeholder:"FILE" help:"Sizes, as JSON with comments; the default is the size to design for."`
	Slopes   string `type:"existingfile" placeholder:"FILE" help:"Slopes as 'bench slopes --json' writes them; the default is those of docs/CAPACITY.md."`
	Settings string `type:"existingfile" placeholder:"FILE" help:"Settings of what is designed; the default is those of docs/CAPACITY.md."`
	JSON     bool   `name:"json" xor:"form" help:"Write the reports as JSON."`
	Markdown bool   `xor:"form" help:"Write the tables as they stand in docs/CAPACITY.md."`
}

// Run computes and prints the tables.
func (c *Cmd) Run(env *cli.Env) error {
	reports, err := c.reports()
	if err != nil {
		return err
	}
	return errors.Wrap(c.write(env.Stdout, reports), "write the tables")
}

func (c *Cmd) write(w io.Writer, reports []capacity.Report) error {
	if c.JSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(reports)
	}
	for _, r := range reports {
		if err := writeReport(w, r, c.Markdown); err != nil {
			return err
		}
	}
	return nil
}

func writeReport(w io.Writer, r capacity.Report, markdown bool) error {
	for _, t := range r.Tables() {
		text := renderText(r, t)
		if markdown {
			text = renderMarkdown(r.Size.ID, t)
		}
		if _, err := fmt.Fprintln(w, text); err != nil {
			return err
		}
	}
	return nil
}

// reports returns one report for each size of the file.
func (c *Cmd) reports() ([]capacity.Report, error) {
	sizes, in, err := c.inputs()
	if err != nil {
		return nil, markBadInput(err)
	}
	reports := make([]capacity.Report, len(sizes))
	for i, size := range sizes {
		in.Size = size
		reports[i], err = capacity.Build(in)
		if err != nil {
			return nil, markBadInput(err)
		}
	}
	return reports, nil
}

// inputs reads the sizes and the inputs that they share.
func (c *Cmd) inputs() ([]capacity.Size, capacity.Inputs, error) {
	var in capacity.Inputs
	sizes, err := decodeFile(c.Size, "size.jsonc", defaults.Size, capacity.DecodeSizes)
	if err != nil {
		return nil, in, err
	}
	in.Slopes, err = decodeFile(c.Slopes, "slopes.jsonc", defaults.Slopes, capacity.DecodeSlopes)
	if err != nil {
		return nil, in, err
	}
	in.Settings, err = decodeFile(c.Settings, "settings.jsonc", defaults.Settings, capacity.DecodeSettings)
	return sizes, in, err
}

// decodeFile decodes a file, or the embedded default if file is empty.
func decodeFile[T any](file, name string, embedded []byte, decode func(string, []byte) (T, error)) (T, error) {
	if file == "" {
		return decode(name, embedded)
	}
	src, err := os.ReadFile(file)
	if err != nil {
		var none T
		return none, errors.Mark(errors.Wrap(err, "read"), capacity.ErrBadInput)
	}
	return decode(file, src)
}

// markBadInput marks errors that are caused by the user's input.
func markBadInput(err error) error {
	if errors.Is(err, capacity.ErrBadInput) || errors.Is(err, capacity.ErrNoSlope) {
		return cli.BadInput(err)
	}
	return err
}
