package bundlecmd

import (
	"fmt"
	"os"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
)

type signCmd struct {
	File      string `arg:"" help:"Bundle file."`
	Key       string `required:"" help:"File of the secret key." placeholder:"FILE"`
	Signature string `help:"File for the signature; the default is the bundle's name and \".minisig\"." placeholder:"FILE"`
	Split     string `help:"Directory for the bundle in sections, with a signed manifest." placeholder:"DIR"`
}

// Help implements kong.HelpProvider.
func (*signCmd) Help() string {
	return `Checks the bundle as "check" does and writes its signature to a file beside it,
in place of an earlier one. The signature covers every byte of the file, so any
later edit needs a new one. Publish both files together.

With --split, it also writes the bundle in sections, for fleets that are too
large to move it whole: sections/DIGEST.json, manifest.json, the manifest's
signature, and signed-manifest.json, which holds both in one value. Publish new
sections first and signed-manifest.json last; the processes read no other.`
}

// Run signs the file.
func (c *signCmd) Run(env *cli.Env) error {
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	src, err := readFile(c.File)
	if err != nil {
		return err
	}
	sig, err := bundle.Sign(c.File, src, key)
	if err != nil {
		return cli.BadInput(err)
	}
	out := signatureFile(c.File, c.Signature)
	if err := os.WriteFile(out, sig, publicMode); err != nil {
		return err
	}
	fmt.Fprintf(env.Stdout, "wrote %s (key %s)\n", out, bundle.FormatKeyID(key.ID()))
	if c.Split == "" {
		return nil
	}
	return c.split(env, src, key)
}

func signatureFile(file, signature string) string {
	if signature != "" {
		return signature
	}
	return file + bundle.SignatureSuffix
}
