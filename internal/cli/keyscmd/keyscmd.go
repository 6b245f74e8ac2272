// Package keyscmd holds the commands with which operators create the certificate authority and
// the certificates of the system's processes. They only access files, never the network.
package keyscmd

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/cli"
	"coveferry/internal/identity"
)

const day = 24 * time.Hour

// Cmd is the command group "keys".
type Cmd struct {
	Authority AuthorityCmd `cmd:"" help:"Make an authority, which signs the certificates of all processes."`
	Issue     IssueCmd     `cmd:"" help:"Make a key and a certificate for one process."`
	Show      ShowCmd      `cmd:"" help:"Tell who a certificate is for and when it ends."`
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

// AuthorityCmd creates a certificate authority.
type AuthorityCmd struct {
	timeFlag
	Out  string `help:"Write OUT.crt and OUT.key." default:"authority" placeholder:"OUT"`
	Days int    `help:"How many days the authority lasts." default:"1825"`
}

// Help implements kong.HelpProvider.
func (AuthorityCmd) Help() string {
	return `Writes the authority's certificate, which every process needs as its CA file,
and its private key, which only 'keys issue' needs: keep it off the VMs. Whoever
holds it can join the fleet as any router, agent or operator.

  coveferryctl keys authority --out authority

Existing files are never overwritten; files are readable by their owner only.`
}

// Run creates the authority.
func (c *AuthorityCmd) Run(env *cli.Env) error {
	validity, err := validityFromDays(c.Days)
	if err != nil {
		return err
	}
	a, err := identity.NewAuthority(validity, identity.WithClock(c.now))
	if err != nil {
		return err
	}
	key, err := a.KeyPEM()
	if err != nil {
		return err
	}
	if err := writePair(c.Out, identity.Pair{CertPEM: a.CertPEM(), KeyPEM: key}); err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.Stdout, "wrote %[1]s.crt and %[1]s.key; the authority ends %s\n", c.Out, formatTime(a.NotAfter()))
	return err
}

// IssueCmd creates a key and a certificate for one process.
type IssueCmd struct {
	timeFlag
	Role      string `help:"What the process is: router, agent or operator." required:"" enum:"router,agent,operator"`
	Name      string `help:"The process's name; an agent's is its endpoint's name in the bundle." required:""`
	Authority string `help:"Read the authority from FILE.crt and FILE.key." default:"authority" placeholder:"FILE"`
	Out       string `help:"Write OUT.crt and OUT.key; the default is ROLE-NAME." placeholder:"OUT"`
	Days      int    `help:"How many days the certificate lasts." default:"90"`
}

// Help implements kong.HelpProvider.
func (IssueCmd) Help() string {
	return `Signs a certificate that says the process's role and name. The role decides what
the process may call; host names and addresses play no part.

  coveferryctl keys issue --role router --name entry-1
  coveferryctl keys issue --role agent --name doc-review-3 --days 30

To rotate, issue again under another OUT and put the files in the old ones'
place: running processes read them again within a minute.`
}

// Run issues the certificate.
func (c *IssueCmd) Run(env *cli.Env) error {
	validity, err := validityFromDays(c.Days)
	if err != nil {
		return err
	}
	a, err := c.loadAuthority()
	if err != nil {
		return err
	}
	pair, err := a.Issue(identity.Role(c.Role), c.Name, validity)
	if errors.Is(err, identity.ErrValidityTooLong) {
		return cli.BadInput(errors.Newf("%s; write fewer --days than %d, or make a new authority", err, c.Days))
	}
	if err != nil {
		return cli.BadInput(err)
	}
	out := c.Out
	if out == "" {
		out = c.Role + "-" + c.Name
	}
	if err := writePair(out, pair); err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.Stdout, "wrote %[1]s.crt and %[1]s.key for %s; it ends %s\n",
		out, identity.Peer{Role: identity.Role(c.Role), Name: c.Name}, formatTime(c.now().Add(validity)))
	return err
}

func (c *IssueCmd) loadAuthority() (*identity.Authority, error) {
	cert, err := readFile(c.Authority + certSuffix)
	if err != nil {
		return nil, err
	}
	key, err := readFile(c.Authority + keySuffix)
	if err != nil {
		return nil, err
	}
	a, err := identity.ParseAuthority(cert, key, identity.WithClock(c.now))
	if err != nil {
		return nil, cli.BadInput(&identity.FileError{File: c.Authority + certSuffix, Err: err})
	}
	return a, nil
}

// ShowCmd shows the certificates in a file.
type ShowCmd struct {
	timeFlag
	File string `arg:"" help:"A certificate file; a CA file may hold several."`
}

// Help implements kong.HelpProvider.
func (ShowCmd) Help() string {
	return `Prints one line for each certificate in the file. It exits with 1 when one of
them has ended or not yet begun.`
}

// Run prints the certificates.
func (c *ShowCmd) Run(env *cli.Env) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	certs, err := identity.Describe(text)
	if err != nil {
		return cli.BadInput(&identity.FileError{File: c.File, Err: err})
	}
	now := c.now()
	for _, cert := range certs {
		if _, err := fmt.Fprintf(env.Stdout, "%s: %s\n", cert.Subject(), cert.ValidityAt(now)); err != nil {
			return err
		}
	}
	for _, cert := range certs {
		if err := cert.CheckAt(now); err != nil {
			return &identity.FileError{File: c.File, Err: err}
		}
	}
	return nil
}
