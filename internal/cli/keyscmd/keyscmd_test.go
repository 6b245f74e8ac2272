package keyscmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/onsi/gomega"

	"coveferry/internal/cli"
	"coveferry/internal/cli/keyscmd"
	"coveferry/internal/identity"
)

const at = "--at=2027-01-01T00:00:00Z"

// run parses and runs a command line as coveferryctl would.
func run(g *gomega.WithT, args ...string) (string, error) {
	var out bytes.Buffer
	parser, err := kong.New(&keyscmd.Cmd{}, kong.Bind(&cli.Env{Stdout: &out}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, err := parser.Parse(args)
	if err != nil {
		return "", cli.BadInput(err)
	}
	err = ctx.Run()
	return out.String(), err
}

func TestAuthorityIssueShow(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	ca, r1 := filepath.Join(dir, "ca"), filepath.Join(dir, "r1")
	_, err := run(g, "authority", at, "--out="+ca)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	issue := []string{"issue", at, "--authority=" + ca, "--role=router", "--name=entry-1", "--out=" + r1}
	out, err := run(g, issue...)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out).To(gomega.ContainSubstring("coveferry://router/entry-1; it ends 2027-04-01T00:00:00Z"))

	id, err := identity.Load(ca+".crt", r1+".crt", r1+".key")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(id.Peer()).To(gomega.Equal(identity.Peer{Role: identity.RoleRouter, Name: "entry-1"}))
	for _, f := range []string{ca + ".crt", ca + ".key", r1 + ".crt", r1 + ".key"} {
		info, err := os.Stat(f)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(info.Mode().Perm()).To(gomega.BeEquivalentTo(0o600), f)
	}

	before, err := os.ReadFile(r1 + ".key")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = run(g, issue...)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("not overwritten")))
	g.Expect(cli.ExitCode(err)).To(gomega.Equal(cli.ExitUsage))
	g.Expect(os.ReadFile(r1 + ".key")).To(gomega.Equal(before))

	out, err = run(g, "show", at, r1+".crt")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out).To(gomega.Equal("coveferry://router/entry-1: ends 2027-04-01T00:00:00Z, in 90 days\n"))
	_, err = run(g, "show", "--at=2028-01-01T00:00:00Z", r1+".crt")
	g.Expect(cli.ExitCode(err)).To(gomega.Equal(cli.ExitFailure))
	g.Expect(err).To(gomega.MatchError(identity.ErrExpired))
}

func TestWritePairIsAtomic(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := filepath.Join(t.TempDir(), "ca")
	g.Expect(os.WriteFile(ca+".crt", []byte("mine"), 0o600)).To(gomega.Succeed())
	_, err := run(g, "authority", at, "--out="+ca)
	g.Expect(cli.ExitCode(err)).To(gomega.Equal(cli.ExitUsage))
	g.Expect(ca + ".key").NotTo(gomega.BeAnExistingFile())
	g.Expect(os.ReadFile(ca + ".crt")).To(gomega.BeEquivalentTo("mine"))
}

func TestBadInputExitCode(t *testing.T) {
	dir := t.TempDir()
	g := gomega.NewWithT(t)
	ca := filepath.Join(dir, "ca")
	_, err := run(g, "authority", at, "--out="+ca, "--days=100")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, args := range [][]string{
		{"issue", at, "--authority=" + ca, "--role=king", "--name=x"},
		{"issue", at, "--authority=" + ca, "--role=agent", "--name=a/b"},
		{"issue", at, "--authority=" + ca, "--role=agent", "--name=a", "--days=200", "--out=" + dir + "/a"},
		{"issue", at, "--authority=" + dir + "/none", "--role=agent", "--name=a"},
		{"authority", at, "--days=0", "--out=" + dir + "/b"},
		{"show", at, ca + ".key"},
		{"show", at, dir + "/none"},
	} {
		_, err := run(g, args...)
		g.Expect(cli.ExitCode(err)).To(gomega.Equal(cli.ExitUsage), "%v: %v", args, err)
	}
}
