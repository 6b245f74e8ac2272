package capacitycmd

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"coveferry/internal/cli"
)

var update = flag.Bool("update", false, "write the tables of docs/CAPACITY.md anew")

var (
	page  = filepath.Join("..", "..", "..", "docs", "CAPACITY.md")
	today = filepath.Join("..", "..", "..", "examples", "capacity", "today.jsonc")
	// block matches a table and its markers.
	block = regexp.MustCompile(`(?s)<!-- begin: (\S+) -->\n.*?<!-- end: \S+ -->\n`)
)

func run(t *testing.T, c Cmd) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := c.Run(&cli.Env{Ctx: context.Background(), Stdout: &out})
	return out.String(), err
}

// tables returns the marked tables of all sizes on the page by their names.
func tables(t *testing.T) map[string]string {
	t.Helper()
	g := gomega.NewWithT(t)
	out := make(map[string]string)
	for _, c := range []Cmd{{Markdown: true}, {Markdown: true, Size: today}} {
		text, err := run(t, c)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, m := range block.FindAllStringSubmatch(text, -1) {
			out[m[1]] = m[0]
		}
	}
	return out
}

// TestPageTablesAreCurrent compares the page with the command's output.
func TestPageTablesAreCurrent(t *testing.T) {
	g := gomega.NewWithT(t)
	src, err := os.ReadFile(page)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	want := tables(t)
	written := block.ReplaceAllStringFunc(string(src), func(old string) string {
		name := block.FindStringSubmatch(old)[1]
		g.Expect(want).To(gomega.HaveKey(name), "the page has a table that the command doesn't write")
		return want[name]
	})
	for name := range want {
		if strings.HasPrefix(name, "design/") {
			g.Expect(string(src)).To(gomega.ContainSubstring("<!-- begin: "+name+" -->"), "the page lacks a table")
		}
	}
	if *update {
		g.Expect(os.WriteFile(page, []byte(written), 0o644)).To(gomega.Succeed())
		return
	}
	g.Expect(string(src) == written).To(gomega.BeTrue(), "the page's tables are old; run go test ./internal/cli/capacitycmd -update")
}

func TestTextAndJSONOutput(t *testing.T) {
	g := gomega.NewWithT(t)
	plain, err := run(t, Cmd{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(plain).To(gomega.ContainSubstring("connections to every agent"))
	text, err := run(t, Cmd{JSON: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var reports []struct {
		Rows []struct {
			ID      string
			Verdict string
		}
	}
	g.Expect(json.Unmarshal([]byte(text), &reports)).To(gomega.Succeed())
	g.Expect(reports).To(gomega.HaveLen(1))
	g.Expect(reports[0].Rows).To(gomega.ContainElement(gomega.HaveField("ID", "router.conns.mesh")))
}

func TestBadInputExitCode(t *testing.T) {
	g := gomega.NewWithT(t)
	bad := filepath.Join(t.TempDir(), "size.jsonc")
	g.Expect(os.WriteFile(bad, []byte(`{"sizes": [{"id": "x", "nodes": 1}]}`), 0o600)).To(gomega.Succeed())
	_, err := run(t, Cmd{Size: bad})
	g.Expect(cli.ExitCode(err)).To(gomega.Equal(cli.ExitUsage))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("unknown key")))

	none := filepath.Join(t.TempDir(), "slopes.jsonc")
	g.Expect(os.WriteFile(none, []byte(`{"runs": []}`), 0o600)).To(gomega.Succeed())
	_, err = run(t, Cmd{Slopes: none})
	g.Expect(cli.ExitCode(err)).To(gomega.Equal(cli.ExitUsage))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("is missing")))
}
