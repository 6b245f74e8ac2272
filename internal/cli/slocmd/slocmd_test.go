package slocmd

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"image/png"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/alecthomas/kong"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/cli"
	"coveferry/internal/slo"
)

var (
	update = flag.Bool("update", false, "write the golden files")
	start  = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
)

// newRouter serves a report with several classes; of each 100 requests for receipts, bad were
// refused.
func newRouter(name string, bad int) http.Handler {
	tracker := slo.NewTracker(slo.Config{
		Router: name, Registry: prometheus.NewRegistry(),
		Now:        func() time.Time { return start },
		Objectives: func() slo.Objectives { return slo.Objectives{ByClass: map[string]float64{"review": 0.9}} },
	})
	const target = 760 * time.Millisecond
	for i := range 100 {
		tracker.Record(slo.Key{Class: "receipt", Tier: "gold"}, slo.Outcome{Target: target, Complete: i >= bad, Refused: i < bad})
		tracker.Record(slo.Key{Class: "query", Tier: "silver"}, slo.Outcome{FirstToken: time.Duration(i) * 10 * time.Millisecond, Target: target, Complete: true})
		tracker.Record(slo.Key{Class: "review", Tier: "base"}, slo.Outcome{Target: target, Complete: i%50 > 0, Canceled: i == 50})
	}
	return tracker
}

// commandResult is the output and the error of a command.
type commandResult struct {
	stdout, stderr bytes.Buffer
	err            error
}

func run(t *testing.T, args ...string) *commandResult {
	var o commandResult
	parser, err := kong.New(&Cmd{}, kong.Bind(&cli.Env{Ctx: t.Context(), Stdout: &o.stdout, Stderr: &o.stderr}))
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		o.err = cli.BadInput(err)
		return &o
	}
	o.err = parsed.Run()
	return &o
}

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func TestTableOfTwoRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	o := run(t, "--router="+serve(t, newRouter("r1", 80)), "--router="+serve(t, newRouter("r2", 70)))
	g.Expect(o.err).NotTo(gomega.HaveOccurred())
	golden := filepath.Join("testdata", "table.golden")
	if *update {
		g.Expect(os.WriteFile(golden, o.stdout.Bytes(), 0o644)).To(gomega.Succeed())
	}
	want, err := os.ReadFile(golden)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(o.stdout.String()).To(gomega.Equal(string(want)))
}

func TestFailOn(t *testing.T) {
	burning, calm := serve(t, newRouter("r1", 80)), serve(t, newRouter("r2", 0))
	for _, c := range []struct {
		url, level string
		want       int
	}{
		{burning, "page", cli.ExitFailure},
		{burning, "ticket", cli.ExitFailure},
		{burning, "none", cli.ExitOK},
		{calm, "page", cli.ExitOK},
		{calm, "ticket", cli.ExitFailure}, // late queries burn at 4.6
	} {
		o := run(t, "--router="+c.url, "--fail-on="+c.level)
		gomega.NewWithT(t).Expect(cli.ExitCode(o.err)).To(gomega.Equal(c.want), "%+v: %v", c, o.err)
	}
}

// An unreachable router must be reported, and the others must still be shown.
func TestReportsUnreachableRouter(t *testing.T) {
	g := gomega.NewWithT(t)
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	up := serve(t, newRouter("r1", 0))
	o := run(t, "--router="+unreachable.URL, "--router="+up, "--json")
	g.Expect(cli.ExitCode(o.err)).To(gomega.Equal(cli.ExitFailure))
	g.Expect(o.err).To(gomega.MatchError(gomega.HavePrefix("no report from 1 of 2 routers: ")))
	g.Expect(o.err.Error()).NotTo(gomega.ContainSubstring("\n"))
	var got output
	g.Expect(json.Unmarshal(o.stdout.Bytes(), &got)).To(gomega.Succeed())
	g.Expect(got.Missing).To(gomega.Equal([]string{unreachable.URL + slo.Path}))
	g.Expect(got.Routers).To(gomega.Equal([]string{"r1"}))

	o = run(t, "--router="+unreachable.URL)
	g.Expect(cli.ExitCode(o.err)).To(gomega.Equal(cli.ExitFailure))
	g.Expect(o.stdout.String()).To(gomega.BeEmpty())
}

func TestBadFlags(t *testing.T) {
	for _, args := range [][]string{
		{"--router="},
		{"--router=ftp://127.0.0.1"},
		{"--router=127.0.0.1:9090"},
		{"--router=http://127.0.0.1:1", "--router=http://127.0.0.1:1/"},
		{"--router=http://127.0.0.1:1", "--watch=10ms"},
		{"--router=http://127.0.0.1:1", "--watch=2h"},
		{"--router=http://127.0.0.1:1", "--timeout=0s"},
		{"--router=http://127.0.0.1:1", "--fail-on=panic"},
		{"--router=http://127.0.0.1:1", "--ca-file=only"},
	} {
		o := run(t, args...)
		gomega.NewWithT(t).Expect(cli.ExitCode(o.err)).To(gomega.Equal(cli.ExitUsage), "%v: %v", args, o.err)
	}
}

func TestPlot(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "burn.png")
	g.Expect(run(t, "--router="+serve(t, newRouter("r1", 80)), "--plot="+file).err).NotTo(gomega.HaveOccurred())
	f, err := os.Open(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer f.Close()
	_, err = png.Decode(f)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	o := run(t, "--router="+serve(t, newRouter("r1", 80)), "--plot="+file+".nosuch")
	g.Expect(cli.ExitCode(o.err)).To(gomega.Equal(cli.ExitUsage))
}

// transport calls the handler directly, since network I/O would keep the fake clock of a
// synctest bubble from advancing.
type transport struct{ handler http.Handler }

func (tr transport) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	tr.handler.ServeHTTP(rec, r)
	return rec.Result(), nil
}

func TestWatchRepeatsUntilInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var stdout, stderr bytes.Buffer
		calls := 0
		router := newRouter("r1", 80)
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			if calls == 2 {
				http.Error(w, "busy", http.StatusServiceUnavailable)
				return
			}
			router.ServeHTTP(w, r)
		})
		cmd := &Cmd{Watch: 10 * time.Second, JSON: true, FailOn: slo.LevelNone}
		rd := reportReader{client: &http.Client{Transport: transport{handler}}, timeout: time.Second, urls: []string{"http://r1/slo"}}
		done := make(chan error, 1)
		go func() { done <- cmd.watch(&cli.Env{Ctx: ctx, Stdout: &stdout, Stderr: &stderr}, rd) }()
		time.Sleep(25 * time.Second)
		synctest.Wait()
		cancel()
		g.Expect(<-done).NotTo(gomega.HaveOccurred())
		g.Expect(calls).To(gomega.Equal(3))
		g.Expect(bytes.Count(stdout.Bytes(), []byte(`"routers"`))).To(gomega.Equal(2))
		g.Expect(stderr.String()).To(gomega.ContainSubstring("503"))

		cmd.FailOn = slo.LevelPage
		err := cmd.watch(&cli.Env{Ctx: t.Context(), Stdout: &stdout, Stderr: &stderr}, rd)
		g.Expect(cli.ExitCode(err)).To(gomega.Equal(cli.ExitFailure))
	})
}
