package bundlecmd

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
)

type verifyCmd struct {
	File      string   `arg:"" help:"Bundle file."`
	Pubkey    []string `required:"" help:"File of a trusted public key; give it again for several." placeholder:"FILE"`
	Signature string   `help:"File of the signature; the default is the bundle's name and \".minisig\"." placeholder:"FILE"`
	Current   string   `help:"Bundle in force, which the new one must follow." placeholder:"FILE"`
	timeFlag
	jsonFlag
}

// Help implements kong.HelpProvider.
func (*verifyCmd) Help() string {
	return `Takes the daemons' own decision: the signature must be made by a trusted key over
exactly these bytes, the bundle must pass its check and must not have expired.
With --current, its version must be higher than that of the bundle in force, or
its content the same. A bundle that would be refused gives one line that says
why, and exit code 2.`
}

// Run checks whether the daemons would accept the file.
func (c *verifyCmd) Run(env *cli.Env) error {
	keys, err := readPubkeys(c.Pubkey)
	if err != nil {
		return err
	}
	src, err := readFile(c.File)
	if err != nil {
		return err
	}
	sig, err := readFile(signatureFile(c.File, c.Signature))
	if err != nil {
		return err
	}
	current, err := c.current()
	if err != nil {
		return err
	}
	snap, err := bundle.Accept(c.now(), current, src, sig, keys)
	if err != nil {
		return cli.BadInput(c.addFileName(err))
	}
	return c.report(env, snap, snap == current)
}

// current reads the bundle in force; it returns nil if none is given.
func (c *verifyCmd) current() (*bundle.Snapshot, error) {
	if c.Current == "" {
		return nil, nil
	}
	b, err := readBundle(c.Current)
	if err != nil {
		return nil, err
	}
	return bundle.NewSnapshot(b), nil
}

// addFileName adds the file name to an error, or to each problem of an invalid bundle.
func (c *verifyCmd) addFileName(err error) error {
	var invalid *bundle.InvalidError
	if !errors.As(err, &invalid) {
		return errors.Wrap(err, c.File)
	}
	for i := range invalid.Problems {
		invalid.Problems[i].File = c.File
	}
	return err
}

// verifyReport is the output of "verify --json".
type verifyReport struct {
	File    string `json:"file"`
	Version uint64 `json:"version"`
	Expires string `json:"expires"`
	// InForce reports whether the bundle is the one given as --current.
	InForce bool `json:"in_force"`
}

func (c *verifyCmd) report(env *cli.Env, snap *bundle.Snapshot, inForce bool) error {
	expires := snap.Bundle().Expires.Format(time.RFC3339)
	if c.JSON {
		return printJSON(env.Stdout, verifyReport{File: c.File, Version: snap.Version(), Expires: expires, InForce: inForce})
	}
	verdict := "would be accepted"
	if inForce {
		verdict = "is the one in force"
	}
	fmt.Fprintf(env.Stdout, "%s: version %d %s; it expires at %s\n", c.File, snap.Version(), verdict, expires)
	return nil
}
