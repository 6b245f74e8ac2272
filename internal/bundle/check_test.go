package bundle

import (
	"bytes"
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"coveferry/internal/units"
)

var _ = Describe("Check", func() {
	It("finds nothing in a valid bundle", func() {
		Expect(Check(validBundle())).To(BeEmpty())
	})

	DescribeTable("finds one error, with its path",
		func(path string, corrupt func(*Bundle)) {
			b := validBundle()
			corrupt(b)
			errs := Check(b).Errors()
			Expect(errs).To(HaveLen(1), errs.Error())
			Expect(errs[0].Path).To(Equal(path))
		},
		Entry("format", "format", func(b *Bundle) { b.Format = 2 }),
		Entry("version", "version", func(b *Bundle) { b.Version = 0 }),
		Entry("expiry at issue", "expires", func(b *Bundle) { b.Expires = b.Issued }),
		Entry("too many tiers", "tiers", func(b *Bundle) {
			b.Tiers = nil
			for _, n := range strings.Split("gold bronze c d e f g h i", " ") {
				b.Tiers = append(b.Tiers, Tier{Name: n})
			}
		}),
		Entry("bad name", "classes[1].name", func(b *Bundle) {
			b.Classes = append(b.Classes, b.Classes[1])
			b.Classes[1].Name = "Batch 2"
		}),
		Entry("name that begins with a dash", "classes[1].name", func(b *Bundle) {
			b.Classes = append(b.Classes, b.Classes[1])
			b.Classes[1].Name = "-batch"
		}),
		Entry("long name", "endpoints[0].vm", func(b *Bundle) { b.Endpoints[0].VM = strings.Repeat("v", 64) }),
		Entry("bad model name", "models[1].name", func(b *Bundle) { b.Models = append(b.Models, Model{Name: "a b"}) }),
		Entry("repeated name", "endpoints[1].name", func(b *Bundle) { b.Endpoints[1].Name = "e1" }),
		Entry("first token", "classes[0].first_token", func(b *Bundle) { b.Classes[0].FirstToken = 0 }),
		Entry("objective below 0", "classes[0].objective", func(b *Bundle) { b.Classes[0].Objective = -0.1 }),
		Entry("objective of 1", "classes[0].objective", func(b *Bundle) { b.Classes[0].Objective = 1 }),
		Entry("between tokens", "classes[0].between_tokens", func(b *Bundle) { b.Classes[0].BetweenTokens = -1 }),
		Entry("deadline before first token", "classes[0].deadline", func(b *Bundle) { b.Classes[0].Deadline = units.Duration(time.Millisecond) }),
		Entry("deadline of days", "classes[0].deadline", func(b *Bundle) { b.Classes[0].Deadline = units.Duration(MaxDeadline + 1) }),
		Entry("no grant", "teams[1].grants", func(b *Bundle) { b.Teams[1].Grants = nil }),
		Entry("class granted twice", "teams[0].grants[1].class", func(b *Bundle) { b.Teams[0].Grants[1].Class = "chat" }),
		Entry("unknown class", "teams[0].grants[1].class", func(b *Bundle) { b.Teams[0].Grants[1].Class = "chatt" }),
		Entry("unknown tier", "teams[1].grants[0].tier", func(b *Bundle) { b.Teams[1].Grants[0].Tier = "silver" }),
		Entry("key in plain text", "teams[0].key_hashes[1]", func(b *Bundle) { b.Teams[0].KeyHashes[1] = "cf-secret" }),
		Entry("upper-case hash", "teams[0].key_hashes[0]", func(b *Bundle) { b.Teams[0].KeyHashes[0] = strings.ToUpper(HashKey("a1")) }),
		Entry("key of two teams", "teams[1].key_hashes[0]", func(b *Bundle) { b.Teams[1].KeyHashes[0] = HashKey("a2") }),
		Entry("rate", "teams[0].limits.requests_per_second", func(b *Bundle) { b.Teams[0].Limits.RequestsPerSecond = -1 }),
		Entry("rate not finite", "teams[0].limits.tokens_per_second", func(b *Bundle) { b.Teams[0].Limits.TokensPerSecond = math.Inf(1) }),
		Entry("concurrency", "teams[0].limits.concurrency", func(b *Bundle) { b.Teams[0].Limits.Concurrency = -1 }),
		Entry("failure domain", "endpoints[0].failure_domain", func(b *Bundle) { b.Endpoints[0].FailureDomain = "" }),
		Entry("host name", "endpoints[0].address", func(b *Bundle) { b.Endpoints[0].Address = "localhost:80" }),
		Entry("no port", "endpoints[0].address", func(b *Bundle) { b.Endpoints[0].Address = "10.0.0.1:0" }),
		Entry("unspecified address", "endpoints[0].address", func(b *Bundle) { b.Endpoints[0].Address = "0.0.0.0:80" }),
		Entry("multicast", "endpoints[0].address", func(b *Bundle) { b.Endpoints[0].Address = "224.0.0.1:80" }),
		Entry("repeated address", "endpoints[1].address", func(b *Bundle) { b.Endpoints[1].Address = "[::ffff:10.0.0.1]:7410" }),
		Entry("control address", "endpoints[0].control_address", func(b *Bundle) { b.Endpoints[0].ControlAddress = "agent:7430" }),
		Entry("router's control address", "routers[0].control_address", func(b *Bundle) { b.Routers[0].ControlAddress = "" }),
		Entry("repeated control address", "routers[0].control_address", func(b *Bundle) { b.Routers[0].ControlAddress = "10.0.0.2:7430" }),
		Entry("control address that is an endpoint's address", "endpoints[1].control_address", func(b *Bundle) { b.Endpoints[1].ControlAddress = "10.0.0.1:7410" }),
		Entry("router's region", "routers[0].region", func(b *Bundle) { b.Routers[0].Region = "" }),
		Entry("router's failure domain", "routers[0].failure_domain", func(b *Bundle) { b.Routers[0].FailureDomain = "X" }),
		Entry("repeated router", "routers[1].name", func(b *Bundle) {
			b.Routers = append(b.Routers, b.Routers[0])
			b.Routers[1].ControlAddress = "10.0.0.9:7431"
		}),
		Entry("slots", "endpoints[0].slots", func(b *Bundle) { b.Endpoints[0].Slots = 0 }),
		Entry("serves nothing", "endpoints[0]", func(b *Bundle) { b.Endpoints[0].Models, b.Endpoints[0].Services = nil, nil }),
		Entry("unknown model", "endpoints[0].models[1]", func(b *Bundle) { b.Endpoints[0].Models = []string{"m", "n"} }),
		Entry("model named twice", "endpoints[0].models[1]", func(b *Bundle) { b.Endpoints[0].Models = []string{"m", "m"} }),
		Entry("unknown service", "endpoints[0].services[1]", func(b *Bundle) { b.Endpoints[0].Services = []string{"svc", "m"} }),
		Entry("request bytes", "limits.request_bytes", func(b *Bundle) { b.Limits.RequestBytes = 1 }),
		Entry("queue entries", "limits.queue_entries", func(b *Bundle) { b.Limits.QueueEntries = 0 }),
		Entry("queue bytes", "limits.queue_bytes", func(b *Bundle) { b.Limits.QueueBytes = MaxQueueBytes + 1 }),
		Entry("queue smaller than a request", "limits.queue_bytes", func(b *Bundle) { b.Limits.QueueBytes = 1 << 19 }),
	)

	DescribeTable("warns without rejecting the bundle",
		func(path string, corrupt func(*Bundle)) {
			b := validBundle()
			corrupt(b)
			Expect(Check(b).Errors()).To(BeEmpty())
			Expect(Check(b).Warnings()).To(HaveExactElements(HaveField("Path", path)))
		},
		Entry("no endpoint", "models[1]", func(b *Bundle) { b.Models = append(b.Models, Model{Name: "n"}) }),
		Entry("one failure domain", "services[0]", func(b *Bundle) { b.Endpoints[0].Services = nil }),
		Entry("no control address", "endpoints[1]", func(b *Bundle) { b.Endpoints[1].ControlAddress = "" }),
		Entry("no key", "teams[0].key_hashes", func(b *Bundle) { b.Teams[0].KeyHashes = nil }),
	)
})

var _ = Describe("Parse", func() {
	DescribeTable("accepts the examples without a warning", func(file string) {
		in := Inspect(file, readExample(file))
		Expect(in.Errors).To(BeEmpty())
		Expect(in.Warnings).To(BeEmpty())
		Expect(in.Bundle.Teams).To(HaveLen(10))
	}, Entry(nil, "registry.jsonc"), Entry(nil, "fleet.jsonc"))

	It("reports all errors at once with their positions", func() {
		src := strings.NewReplacer(
			`"400ms"`, `400`, // decoding
			`"deadline": "45s"`, `"deadline": "1s"`, // check
			`"class": "receipts", "tier": "statutory"`, `"class": "receipts", "tear": "statutory"`,
			`"name": "portal-assistant"`, `"name": 7`,
			`10.20.1.11:7410`, `review-1:7410`,
		).Replace(string(readExample("registry.jsonc")))
		_, err := Parse("r.jsonc", []byte(src))
		Expect(err).To(MatchError(ErrInvalid))
		lines := strings.Split(err.Error(), "\n")
		Expect(lines).To(ContainElements(
			MatchRegexp(`^r\.jsonc:\d+:\d+: classes\[0\]\.first_token: .*unit`),
			MatchRegexp(`^r\.jsonc:\d+:\d+: classes\[1\]\.deadline: 1s is shorter than first_token, 1.5s$`),
			MatchRegexp(`^r\.jsonc:\d+:\d+: teams\[0\]\.grants\[0\]\.tear: unknown key; did you mean "tier"`),
			MatchRegexp(`^r\.jsonc:\d+:\d+: endpoints\[0\]\.address: "review-1:7410" is not an IP address`),
		))
		By("not reporting consequences of an error")
		Expect(err.Error()).NotTo(ContainSubstring("is not in"))
		Expect(err.Error()).NotTo(ContainSubstring("first_token: 0s must"))
	})

	It("warns of a file that is too large for the configuration service", func() {
		src := append(readExample("fleet.jsonc"), bytes.Repeat([]byte("\n"), MaxValueBytes)...)
		in := Inspect("f", src)
		Expect(in.Errors).To(BeEmpty())
		Expect(in.Warnings).To(HaveExactElements(HaveField("Message", ContainSubstring("publish it in sections"))))
	})

	It("rejects invalid syntax", func() {
		_, err := Parse("r.jsonc", []byte("{"))
		Expect(err).To(MatchError(ErrInvalid))
	})
})
