package benchcmd_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/onsi/gomega"

	"coveferry/internal/cli"
	"coveferry/internal/cli/benchcmd"
)

// run parses and runs a command line, and returns its standard output.
func run(t *testing.T, args ...string) (string, error) {
	g := gomega.NewWithT(t)
	var root struct {
		Bench benchcmd.Cmd `cmd:""`
	}
	parser, err := kong.New(&root)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	parsed, err := parser.Parse(append([]string{"bench"}, args...))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var stdout, stderr bytes.Buffer
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // interrupted before any load
	err = parsed.Run(&cli.Env{Ctx: ctx, Stdout: &stdout, Stderr: &stderr})
	return stdout.String(), err
}

func TestListPrintsScenarios(t *testing.T) {
	g := gomega.NewWithT(t)
	out, err := run(t, "list")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, name := range []string{"steady", "overload", "burst", "slow-engine", "starve", "recover"} {
		g.Expect(out).To(gomega.ContainSubstring(name))
	}
}

func TestBadInputExitCode(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, args := range [][]string{
		{"nope"},
		{"steady", "--duration=-1s"},
		{"steady", "--scale=0"},
		{"steady", "--policy=product,nope"},
	} {
		out, err := run(t, args...)
		g.Expect(cli.ExitCode(err)).To(gomega.Equal(cli.ExitUsage), "%v", args)
		g.Expect(out).To(gomega.BeEmpty())
	}
}

func TestInterruptionPrintsPartialResult(t *testing.T) {
	g := gomega.NewWithT(t)
	out, err := run(t, "steady", "--json", "--seed=9", "--duration=1s")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out).To(gomega.And(
		gomega.ContainSubstring(`"partial": true`),
		gomega.ContainSubstring(`"seed": 9`),
	))
}
