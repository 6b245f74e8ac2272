package slopescmd

import (
	"bytes"
	"io"
	"testing"

	"github.com/onsi/gomega"

	"coveferry/internal/capacity"
	"coveferry/internal/cli"
)

func run(t *testing.T, c Cmd) string {
	t.Helper()
	var out bytes.Buffer
	err := c.Run(&cli.Env{Ctx: t.Context(), Stdout: &out, Stderr: io.Discard})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return out.String()
}

// TestJSONOutputDecodesAsSlopes decodes the output with the strict decoder that the capacity
// command uses.
func TestJSONOutputDecodesAsSlopes(t *testing.T) {
	g := gomega.NewWithT(t)
	text := run(t, Cmd{JSON: true, Repeats: 3, Shrink: 100, Only: []string{"pool"}})
	slopes, err := capacity.DecodeSlopes("output", []byte(text))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(slopes.Runs).To(gomega.HaveLen(1))
	g.Expect(slopes.Runs[0].Command).To(gomega.Equal("coveferryctl bench slopes --json --only=pool --shrink=100"))
	s, ok := slopes.Find(capacity.PoolEntryMemory)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(s.Sizes).To(gomega.Equal([]int{5, 10, 20, 40}))
}

func TestTableContainsSlope(t *testing.T) {
	text := run(t, Cmd{Repeats: 1, Shrink: 100, Only: []string{"pool"}})
	gomega.NewWithT(t).Expect(text).To(gomega.ContainSubstring(string(capacity.PoolEntryMemory)))
}
