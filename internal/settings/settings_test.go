package settings

import (
	"encoding"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"coveferry/internal/jsonc"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

// key is a public key whose private key wasn't kept.
const key = "RWQAd2fQeqw74xduI3sL6JSSHp968jsdlMmNT3Lm8SwNpUxAC64QyRxo"

const router = `{
	"role": "router", "listen": "10.0.0.1:1", "control_listen": "10.0.0.1:2", "metrics_listen": "[::1]:3",
	"vm": "v", "failure_domain": "f", "region": "r", "bundle_file": "b.jsonc",
	"trust": {"bundle_keys": ["` + key + `"], "ca_file": "tls/ca.pem", "cert_file": "/etc/c.pem", "key_file": "../k.pem"},
}`

var agent = strings.NewReplacer(
	`"router"`, `"agent"`, `"vm"`, `"endpoint": "e", "engine": {"url": "http://127.0.0.1:8000"}, "vm"`).Replace(router)

func write(src string) string {
	path := filepath.Join(GinkgoT().TempDir(), "s.jsonc")
	Expect(os.WriteFile(path, []byte(src), 0o600)).To(Succeed())
	return path
}

// problems checks a file and removes its folder from the messages.
func problems(src string) []string {
	path := write(src)
	_, reported := Check(path)
	if len(reported) == 0 {
		return nil
	}
	return strings.Split(strings.ReplaceAll(reported.Error(), path, "s.jsonc"), "\n")
}

var _ = Describe("Load", func() {
	It("fills in defaults and resolves paths against the file's folder", func() {
		path := write(router)
		dir := filepath.Dir(path)
		s, err := LoadRouter(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Listen.String()).To(Equal("10.0.0.1:1"))
		Expect(s.BundleFile).To(Equal(File(filepath.Join(dir, "b.jsonc"))))
		Expect(s.Trust.CAFile).To(Equal(File(filepath.Join(dir, "tls/ca.pem"))))
		Expect(s.Trust.CertFile).To(Equal(File("/etc/c.pem")))
		Expect(s.Trust.KeyFile).To(Equal(File(filepath.Join(filepath.Dir(dir), "k.pem"))))
		Expect(s.Trust.Keys()).To(HaveLen(1))
		Expect(s.Trust.Keys()[0].String()).To(Equal(key))
		Expect(s.Limits).To(Equal(DefaultRouter().Limits))

		a, err := LoadAgent(write(agent))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Engine.URL.String()).To(Equal("http://127.0.0.1:8000"))
		Expect(a.Scheduler).To(Equal(DefaultAgent().Scheduler))
	})

	DescribeTable("accepts an empty or nearly empty standalone file", func(src string, engines int) {
		s, err := LoadStandalone(write(src))
		Expect(err).NotTo(HaveOccurred())
		want := DefaultStandalone()
		want.Engines = engines
		Expect(*s).To(Equal(want))
	},
		Entry("empty", "", 3),
		Entry("blank", "\n \n", 3),
		Entry("no keys", "{ /* defaults */ }", 3),
		Entry("one key", `{"engines": 5}`, 5),
		Entry("role", `{"role": "standalone", "engines": 5}`, 5),
	)

	It("rejects the settings of another role without checking them further", func() {
		path := write(router)
		_, err := LoadAgent(path)
		Expect(err).To(MatchError(path + `:2:10: role: these are the settings of "router"; this process needs those of "agent"`))
		var problems jsonc.Problems
		Expect(err).To(BeAssignableToTypeOf(&InvalidError{}))
		Expect(err.(*InvalidError).Unwrap()).To(BeAssignableToTypeOf(problems))
	})

	It("reports why a file can't be read", func() {
		s, err := LoadRouter("no/such.jsonc")
		Expect(err).To(MatchError("no/such.jsonc: can't be read: no such file or directory"))
		Expect(s).To(BeNil())
		Expect(problems("{")).To(Equal([]string{"s.jsonc:1:2: syntax error: parsing value: unexpected EOF"}))
		Expect(problems(strings.Repeat(" ", jsonc.MaxSize+2))).To(ConsistOf(HaveSuffix("at most 8388608 bytes are allowed")))
		_, err = LoadStandalone(write(`{"role": "rooter", "vm": "v"}`))
		Expect(err).To(MatchError(HaveSuffix(`s.jsonc:1:10: role: must be "router", "agent" or "standalone", not "rooter"`)))
	})
})

var _ = Describe("Check", func() {
	It("reports all problems of a file, one line each, as the reference shows", func() {
		role, found := Check("testdata/router.jsonc")
		Expect(role).To(Equal(RoleRouter))
		shown := strings.ReplaceAll(found.Error(), "testdata/", "")
		want, err := os.ReadFile("testdata/router.golden")
		Expect(err).NotTo(HaveOccurred())
		Expect(shown + "\n").To(Equal(string(want)))
		page, err := os.ReadFile(reference)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring("check-settings router.jsonc\n" + shown + "\n```"))
	})

	DescribeTable("reports the allowed values", func(base, old, changed, want string) {
		Expect(strings.Count(base, old)).To(Equal(1))
		Expect(problems(strings.Replace(base, old, changed, 1))).To(ConsistOf(HaveSuffix(want)))
	},
		Entry("role", router, `"router"`, `"rooter"`, `s.jsonc:2:10: role: must be "router", "agent" or "standalone", not "rooter"`),
		Entry("no role", router, `"role": "router",`, ``, `s.jsonc:1:1: role: missing; it must be "router", "agent" or "standalone"`),
		Entry("no address", router, `"listen": "10.0.0.1:1",`, ``, `s.jsonc:1:1: listen: missing; it must be a literal IP and port such as "10.0.0.7:8080", not a host name`),
		Entry("no trust", agent, agent[strings.Index(agent, `"trust"`):len(agent)-1], ``, `trust: missing; it must be an object {...} with the keys bundle_keys, ca_file, cert_file, key_file`),
		Entry("same address", router, `[::1]:3`, `10.0.0.1:2`, `metrics_listen: must be an address of its own; 10.0.0.1:2 is listened on already`),
		Entry("no bundle", router, `"bundle_file": "b.jsonc",`, ``, `bundle_file: missing; give bundle_file, config_service or both, or there is no bundle to serve by`),
		Entry("empty path", router, `"b.jsonc"`, `""`, `bundle_file: must be a path, absolute or relative to the folder of the settings file, not ""`),
		Entry("key", router, key, key[1:], `trust.bundle_keys[0]: must be a minisign public key, the line of a .pub file that begins with "RW", not "`+key[1:]+`"`),
		Entry("host in URL", agent, `127.0.0.1:8000`, `engine:8000`, `engine.url: must be an http or https URL with a literal IP and port such as "http://10.0.0.7:8000", with no user, query or fragment, not "http://engine:8000"`),
		Entry("same address standalone", `{"role": "standalone"}`, `}`, `, "metrics_listen": "127.0.0.1:8080"}`, `metrics_listen: must be an address of its own; 127.0.0.1:8080 is listened on already`),
		Entry("no reserve", agent, `"vm"`, `"scheduler": {"reserve_share": 0}, "vm"`, `scheduler.reserve_share: must be from 0.001 to 0.5, not 0`),
		Entry("long grace", agent, `"vm"`, `"shutdown": {"streams_grace": "24h1s"}, "vm"`, `shutdown.streams_grace: must be from 1s to 24h, not 24h0m1s`),
	)
})

var _ = Describe("Engine", func() {
	It("rejects engine capabilities for a service", func() {
		const others = `"kind": "service", "fenced": true, "priorities": true, "resume": true, `
		Expect(problems(strings.Replace(agent, `"url"`, others+`"url"`, 1))).To(HaveExactElements(
			ContainSubstring("engine.fenced: must be false for kind \"service\""),
			ContainSubstring("engine.priorities: must be false"),
			ContainSubstring("engine.resume: must be false"),
		))
	})
})

var _ = Describe("between", func() {
	It("includes its bounds", func() {
		for n, ok := range map[int]bool{0: false, 1: true, 3: true, 4: false} {
			Expect(between("n", n, 1, 3).ok).To(Equal(ok), formatValue(n))
		}
	})
})

var _ = DescribeTable("rejected texts", func(dst encoding.TextUnmarshaler, texts ...string) {
	for _, text := range texts {
		Expect(dst.UnmarshalText([]byte(text))).To(MatchError(HaveSuffix("not %q", text)))
		Expect(reflect.ValueOf(dst).Elem().IsZero()).To(BeTrue())
	}
},
	Entry("address", new(Address), "", "10.0.0.1", "localhost:1", "224.0.0.1:1", "10.0.0.1:65536"),
	Entry("URL", new(URL), "", "127.0.0.1:1", "http://127.0.0.1", "http://127.0.0.1:0", "http://0.0.0.0:1", "http://224.0.0.1:1", "ftp://127.0.0.1:1",
		"http://u:p@127.0.0.1:1", "http://127.0.0.1:1?", "http://127.0.0.1:1?a=b", "http://127.0.0.1:1#a"),
	Entry("name", new(Name), "", "A", "-a", "a b", strings.Repeat("a", 64)),
	Entry("path", new(File), "", "a\x00"),
	Entry("key", new(PublicKey), "", key[:55], "untrusted comment: x\n"+key),
)

var _ = Describe("Address", func() {
	DescribeTable("overlaps", func(a, b string, want bool) {
		var x, y Address
		Expect(x.UnmarshalText([]byte(a))).To(Succeed())
		Expect(y.UnmarshalText([]byte(b))).To(Succeed())
		Expect([]bool{x.overlaps(y), y.overlaps(x)}).To(Equal([]bool{want, want}))
	},
		Entry("same", "10.0.0.1:1", "[::ffff:10.0.0.1]:1", true),
		Entry("another port", "10.0.0.1:1", "10.0.0.1:2", false),
		Entry("another IP", "10.0.0.1:1", "10.0.0.2:1", false),
		Entry("any IP", "10.0.0.1:1", "0.0.0.0:1", true),
		Entry("any IP of the other family", "[::1]:1", "0.0.0.0:1", false),
		Entry("chosen ports", "10.0.0.1:0", "10.0.0.1:0", false),
	)
})
