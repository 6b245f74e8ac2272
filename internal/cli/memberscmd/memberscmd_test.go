package memberscmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	. "github.com/onsi/gomega"

	"coveferry/internal/cli"
	"coveferry/internal/membership"
	"coveferry/internal/units"
)

// startRouter serves a members page with one leaving endpoint.
func startRouter(t *testing.T) string {
	age := units.Duration(1400 * time.Millisecond)
	page := membership.Snapshot{
		Router: "r1", At: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC), ListAge: &age,
		Members: []membership.SnapshotMember{{
			Endpoint: "e1", VM: "vm1", State: membership.Leaving, Reason: membership.ReasonNotice,
			Age: units.Duration(90 * time.Second), Incarnation: "abc",
		}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc(membership.PathMembers, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(page) })
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.URL
}

// commandResult is the output and exit code of a command.
type commandResult struct {
	stdout, stderr bytes.Buffer
	code           int
}

func run(t *testing.T, args ...string) *commandResult {
	var o commandResult
	parser, err := kong.New(&Cmd{}, kong.Bind(&cli.Env{Ctx: t.Context(), Stdout: &o.stdout, Stderr: &o.stderr}))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	parsed, err := parser.Parse(args)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	o.code = cli.ExitCode(parsed.Run())
	return &o
}

func TestTable(t *testing.T) {
	g := NewWithT(t)
	o := run(t, "--router="+startRouter(t))
	g.Expect(o.code).To(Equal(cli.ExitOK))
	g.Expect(o.stdout.String()).To(Equal("" +
		" endpoint  VM   state    reason    for  incarnation \n" +
		"────────────────────────────────────────────────────\n" +
		" e1        vm1  leaving  notice  1m30s  abc         \n" +
		"router r1 at 2026-03-01T08:00:00Z; list of VMs 1s old; 0 live; 1 leaving; 0 suspect; 0 gone\n\n"))
}

// A router that answers with an error must be reported, and the others must still be shown.
func TestReportsFailingRouter(t *testing.T) {
	g := NewWithT(t)
	failing := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(failing.Close)
	o := run(t, "--router="+failing.URL, "--router="+startRouter(t), "--json")
	g.Expect(o.code).To(Equal(cli.ExitFailure))
	g.Expect(o.stderr.String()).To(ContainSubstring(failing.URL))
	var got output
	g.Expect(json.Unmarshal(o.stdout.Bytes(), &got)).To(Succeed())
	g.Expect(got.Routers).To(HaveLen(1))
	g.Expect(got.Routers[0].Members[0].State).To(Equal(membership.Leaving))
}

func TestBadFlags(t *testing.T) {
	for _, args := range [][]string{
		{"--router="}, {"--router=ftp://127.0.0.1"}, {"--router=127.0.0.1:9090"},
		{"--router=http://127.0.0.1:1", "--timeout=0s"},
	} {
		NewWithT(t).Expect(run(t, args...).code).To(Equal(cli.ExitUsage), "%v", args)
	}
}
