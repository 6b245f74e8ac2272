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

// `go run ./cmd/coveferryctl soak` once failed with a bare fork/exec error, since the
// temporary folder in which `go run` builds the program doesn't contain the daemon.
func TestMissingDaemonErrorExplainsBuild(t *testing.T) {
	g := NewWithT(t)
	missing := filepath.Join(t.TempDir(), "coveferryd")
	c := &Cmd{Seeds: 1, For: 20 * time.Second, Daemon: missing}
	err := c.Run(&cli.Env{Ctx: context.Background(), Stdout: io.Discard, Stderr: io.Discard})
	g.Expect(err).To(MatchError(And(ContainSubstring(missing), ContainSubstring("go build -o target/ ./cmd/..."))))
}
