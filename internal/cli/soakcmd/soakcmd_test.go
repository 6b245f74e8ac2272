package soakcmd

import (
	"context"
	"io"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/cli"
)

// The error must say how to build the daemon: the temporary folder in which `go run` builds
// the program doesn't contain it, and without the check the command fails with a bare
// fork/exec error.
func TestMissingDaemonErrorExplainsBuild(t *testing.T) {
	g := NewWithT(t)
	missing := filepath.Join(t.TempDir(), "coveferryd")
	c := &Cmd{Seeds: 1, For: 20 * time.Second, Daemon: missing}
	err := c.Run(&cli.Env{Ctx: context.Background(), Stdout: io.Discard, Stderr: io.Discard})
	g.Expect(err).To(MatchError(And(ContainSubstring(missing), ContainSubstring("go build -o target/ ./cmd/..."))))
}
