package bundlecmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
)

func TestBundleCmd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bundlecmd")
}

const (
	issued  = "--at=2026-12-01T06:00:00Z"
	expired = "--at=2028-12-01T06:00:00Z"
)

// commandResult is the output and the error of a command.
type commandResult struct {
	stdout, stderr string
	err            error
}

func run(args ...string) commandResult {
	GinkgoHelper()
	var out, errOut bytes.Buffer
	env := &cli.Env{Ctx: context.Background(), Stdout: &out, Stderr: &errOut}
	parser, err := kong.New(&Cmd{}, kong.Bind(env))
	Expect(err).NotTo(HaveOccurred())
	k, err := parser.Parse(args)
	Expect(err).NotTo(HaveOccurred())
	err = k.Run()
	return commandResult{out.String(), errOut.String(), err}
}

func runOK(args ...string) commandResult {
	GinkgoHelper()
	r := run(args...)
	Expect(r.err).NotTo(HaveOccurred())
	return r
}

// runBadInput runs a command whose input is invalid and returns its error message.
func runBadInput(args ...string) string {
	GinkgoHelper()
	r := run(args...)
	Expect(cli.ExitCode(r.err)).To(Equal(cli.ExitUsage), "%v", r.err)
	return r.err.Error()
}

func edit(file string, old, new string) {
	GinkgoHelper()
	src, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(src)).To(ContainSubstring(old))
	Expect(os.WriteFile(file, []byte(strings.ReplaceAll(string(src), old, new)), 0o644)).To(Succeed())
}

var _ = Describe("bundle commands", func() {
	var dir, file, key, pub string
	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		file, key = filepath.Join(dir, "b.jsonc"), filepath.Join(dir, "b.key")
		pub = key + ".pub"
	})

	Describe("init", func() {
		It("writes a bundle without errors or warnings, and its team's key", func() {
			r := runOK("init", file, issued)
			teamKey := regexp.MustCompile(`cf-\w+`).FindString(r.stdout)
			src, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			in := bundle.Inspect(file, src)
			Expect(in.Errors).To(BeEmpty())
			Expect(in.Warnings).To(BeEmpty())
			_, known := bundle.NewSnapshot(in.Bundle).TeamByKey(teamKey)
			Expect(known).To(BeTrue())
		})

		It("doesn't overwrite files", func() {
			runOK("init", file)
			before, _ := os.ReadFile(file)
			Expect(runBadInput("init", file)).To(ContainSubstring("not overwritten"))
			Expect(os.ReadFile(file)).To(Equal(before))
		})
	})

	Describe("check", func() {
		It("prints one line for each error", func() {
			runOK("init", file, issued)
			edit(file, `"slots": 16`, `"slots": 0`)
			edit(file, `"domain-b"`, `"domain-a"`)
			lines := strings.Split(runBadInput("check", file), "\n")
			Expect(lines).To(HaveExactElements(
				MatchRegexp(`^.*b\.jsonc:\d+:\d+: endpoints\[0\]\.slots: 0 is outside`),
				MatchRegexp(`^.*b\.jsonc:\d+:\d+: endpoints\[1\]\.slots: 0 is outside`),
			))
			r := run("check", file, "--json")
			Expect(cli.ExitCode(r.err)).To(Equal(cli.ExitUsage))
			Expect(r.stdout).To(And(ContainSubstring(`"ok": false`), ContainSubstring(`"path": "endpoints[1].slots"`)))
		})

		It("accepts a bundle with warnings", func() {
			runOK("init", file, issued)
			edit(file, `"domain-b"`, `"domain-a"`)
			r := runOK("check", file)
			Expect(r.stdout).To(ContainSubstring("version 1 is good"))
			Expect(r.stderr).To(MatchRegexp(`(?m)^warning: .*models\[0\]: .*single failure domain`))
		})

		It("reports a missing file by name", func() {
			Expect(runBadInput("check", file)).To(ContainSubstring(file))
		})
	})

	Describe("keygen", func() {
		It("writes a secret key that only its owner can read, and overwrites nothing", func() {
			runOK("keygen", key)
			info, err := os.Stat(key)
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
			Expect(runBadInput("keygen", key)).To(ContainSubstring("not overwritten"))
			Expect(os.Remove(pub)).To(Succeed())
			Expect(runBadInput("keygen", key)).To(ContainSubstring("not overwritten"))
			Expect(pub).NotTo(BeAnExistingFile(), "a public key without its secret key")
		})
	})

	Describe("sign and verify", func() {
		BeforeEach(func() {
			runOK("init", file, issued)
			runOK("keygen", key)
			runOK("sign", file, "--key", key)
		})

		It("accepts a bundle that it signed", func() {
			Expect(runOK("verify", file, "--pubkey", pub, issued).stdout).To(ContainSubstring("version 1 would be accepted"))
			Expect(runOK("verify", file, "--pubkey", pub, issued, "--json", "--current", file).stdout).To(ContainSubstring(`"in_force": true`))
		})

		It("rejects a bundle with an error of one line", func() {
			newer, other := filepath.Join(dir, "n.jsonc"), filepath.Join(dir, "o.key")
			src, _ := os.ReadFile(file)
			Expect(os.WriteFile(newer, src, 0o644)).To(Succeed())
			edit(newer, `"version": 1`, `"version": 2`)
			runOK("keygen", other)

			Expect(runBadInput("verify", file, "--pubkey", pub, expired)).To(MatchRegexp(`^.*b\.jsonc: .*version 1 expired at`))
			Expect(runBadInput("verify", file, "--pubkey", other+".pub", issued)).To(ContainSubstring("not a trusted one"))
			Expect(runBadInput("verify", file, "--pubkey", pub, issued, "--current", newer)).To(ContainSubstring("version 1 is older than version 2"))
			edit(file, "gold", "g0ld")
			Expect(runBadInput("verify", file, "--pubkey", pub, issued)).To(MatchRegexp(`^.*b\.jsonc: .*signature does not match[^\n]*$`))
		})

		It("rejects a secret key that others can read, and an invalid bundle", func() {
			edit(file, `"slots": 16`, `"slots": 0`)
			Expect(runBadInput("sign", file, "--key", key)).To(ContainSubstring("endpoints[1].slots"))
			Expect(os.Chmod(key, 0o640)).To(Succeed())
			Expect(runBadInput("sign", file, "--key", key)).To(ContainSubstring("mode 0640"))
		})
	})

	It("signs a bundle in sections, and rewrites only changed sections", func() {
		out := filepath.Join(dir, "out")
		runOK("init", file, issued)
		runOK("keygen", key)
		Expect(runOK("sign", file, "--key", key, "--split", out).stdout).To(ContainSubstring("8 sections, 8 of them new"))
		edit(file, `"version": 1`, `"version": 2`)
		edit(file, `"queue_entries": 256`, `"queue_entries": 300`)
		Expect(runOK("sign", file, "--key", key, "--split", out).stdout).To(ContainSubstring("8 sections, 1 of them new"))

		sections := make(map[bundle.Digest][]byte)
		files, err := filepath.Glob(filepath.Join(out, "sections", "*.json"))
		Expect(err).NotTo(HaveOccurred())
		for _, f := range files {
			text, _ := os.ReadFile(f)
			sections[bundle.DigestOf(text)] = text
		}
		src, _ := os.ReadFile(filepath.Join(out, "manifest.json"))
		value, _ := os.ReadFile(filepath.Join(out, "signed-manifest.json"))
		sig, _ := os.ReadFile(filepath.Join(out, "manifest.json.minisig"))
		keys, err := readPubkeys([]string{pub})
		Expect(err).NotTo(HaveOccurred())
		now := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
		Expect(bundle.DecodeSignedManifest(value)).To(Equal(bundle.SignedManifest{Manifest: string(src), Signature: string(sig)}))
		snap, err := bundle.AcceptSections(now, nil, src, sig, keys, sections)
		Expect(err).NotTo(HaveOccurred())
		Expect(snap.Bundle().Limits.QueueEntries).To(Equal(300))
	})

	Describe("diff and explain", func() {
		It("shows changes and warns if the version doesn't increase", func() {
			newer := filepath.Join(dir, "n.jsonc")
			runOK("init", file, issued)
			src, _ := os.ReadFile(file)
			Expect(os.WriteFile(newer, src, 0o644)).To(Succeed())
			Expect(runOK("diff", file, newer).stdout).To(Equal("no differences\n"))
			Expect(runOK("diff", file, newer, "--json").stdout).To(Equal("[]\n"))
			edit(newer, `"concurrency": 50`, `"concurrency": 70`)
			r := runOK("diff", file, newer)
			Expect(r.stdout).To(MatchRegexp(`changed +│ team +│ teams\["example"\]\.limits\.concurrency +│ 50 +│ 70`))
			Expect(r.stderr).To(ContainSubstring("needs a higher version"))
			edit(newer, `"concurrency": 70`, `"concurrency": -1`)
			Expect(runBadInput("diff", file, newer)).To(ContainSubstring("limits.concurrency: -1 is outside"))
		})

		It("explains a request", func() {
			runOK("init", file, issued)
			r := runOK("explain", file, "--team=example", "--class=batch", "--model=example-model")
			Expect(r.stdout).To(And(ContainSubstring("standard (rank 2 of 2"), ContainSubstring("domain-b: engine-2")))
			r = runOK("explain", file, "--team=example", "--model=example-model", "--json")
			Expect(r.stdout).To(And(ContainSubstring(`"class": "interactive"`), ContainSubstring(`"first_token": "1s"`)))
			Expect(runBadInput("explain", file, "--team=exampel", "--model=example-model")).To(ContainSubstring(`no team "exampel"; it defines example`))
		})
	})
})
