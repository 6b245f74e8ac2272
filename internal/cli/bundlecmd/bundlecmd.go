// Package bundlecmd holds the commands with which operators create, check, sign and compare
// bundles. They only access files, except "bundle rollout", which uses the network.
package bundlecmd

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
	"coveferry/internal/cli/rolloutcmd"
)

// Cmd is the command group "bundle".
type Cmd struct {
	Init    initCmd    `cmd:"" help:"Write a commented bundle to start from."`
	Check   checkCmd   `cmd:"" help:"Report every fault of a bundle with its place."`
	Keygen  keygenCmd  `cmd:"" help:"Make a key pair for signing bundles."`
	Sign    signCmd    `cmd:"" help:"Check a bundle and sign it."`
	Verify  verifyCmd  `cmd:"" help:"Decide on a signed bundle as the daemons would."`
	Diff    diffCmd    `cmd:"" help:"Show what changes from one bundle to another."`
	Explain explainCmd `cmd:"" help:"Tell what a bundle means for a team's request."`

	Rollout rolloutcmd.Cmd `cmd:"" help:"Watch how a bundle comes into force across the fleet."`
}

// timeFlag overrides the current time of a command.
type timeFlag struct {
	At time.Time `help:"Act as of this time, such as 2027-01-31T00:00:00Z; the default is now." placeholder:"TIME"`
}

func (c timeFlag) now() time.Time {
	if c.At.IsZero() {
		return time.Now()
	}
	return c.At
}

// jsonFlag selects JSON output.
type jsonFlag struct {
	JSON bool `name:"json" help:"Print the result as JSON."`
}

func readFile(name string) ([]byte, error) {
	src, err := os.ReadFile(name)
	if err != nil {
		return nil, cli.BadInput(err)
	}
	return src, nil
}

// readBundle reads and validates a bundle.
func readBundle(name string) (*bundle.Bundle, error) {
	src, err := readFile(name)
	if err != nil {
		return nil, err
	}
	b, err := bundle.Parse(name, src)
	if err != nil {
		return nil, cli.BadInput(err)
	}
	return b, nil
}

// createFile writes a new file; it fails if the file exists.
func createFile(name string, content []byte, mode os.FileMode) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if errors.Is(err, os.ErrExist) {
		return cli.BadInput(errors.Newf("%s: exists already and is not overwritten", name))
	}
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	return errors.CombineErrors(err, f.Close())
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
