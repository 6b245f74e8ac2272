package bundlecmd

import (
	"bytes"
	"crypto/rand"
	_ "embed"
	"fmt"
	"text/template"
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
)

//go:embed starter.jsonc.tmpl
var starterText string

var starter = template.Must(template.New("starter").Parse(starterText))

// starterValidity is the time until a starter bundle expires.
const starterValidity = 365 * 24 * time.Hour

type initCmd struct {
	File string `arg:"" help:"File to write; an existing one is not overwritten."`
	timeFlag
}

// Help implements kong.HelpProvider.
func (*initCmd) Help() string {
	return `Writes a small bundle with a comment on each part, which passes "check" as it
stands. It holds one team, whose key is made at random and printed once; the
bundle itself holds only the key's hash.

Next: edit the file, then "bundle check", "bundle keygen" and "bundle sign".`
}

func (c *initCmd) Run(env *cli.Env) error {
	key := "cf-" + rand.Text()
	issued := c.now().UTC().Truncate(time.Second)
	var text bytes.Buffer
	err := starter.Execute(&text, starterFields{
		Issued:  issued.Format(time.RFC3339),
		Expires: issued.Add(starterValidity).Format(time.RFC3339),
		KeyHash: bundle.HashKey(key),
	})
	if err != nil {
		return err
	}
	if err := createFile(c.File, text.Bytes(), publicMode); err != nil {
		return err
	}
	fmt.Fprintf(env.Stdout, "wrote %s\nkey of team \"example\": %s (shown only now)\n", c.File, key)
	return nil
}

// starterFields are the fields of the starter bundle's template.
type starterFields struct{ Issued, Expires, KeyHash string }
