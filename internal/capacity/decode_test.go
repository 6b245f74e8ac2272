package capacity_test

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	defaults "coveferry/examples/capacity"
	"coveferry/internal/capacity"
)

var _ = Describe("Decoding", func() {
	expectBadInput := func(err error, words string) {
		GinkgoHelper()
		Expect(errors.Is(err, capacity.ErrBadInput)).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring(words)))
	}

	It("rejects unknown keys with their position", func() {
		_, err := capacity.DecodeSizes("my.jsonc", []byte("{\"sizes\": [\n{\"id\": \"a\", \"router\": 3}]}"))
		expectBadInput(err, "my.jsonc:2:13: sizes[0].router")
	})

	It("rejects invalid figures", func() {
		_, err := capacity.DecodeSizes("my.jsonc", []byte(`{"sizes": [{"id": "a", "name": "a", "source": "b", "routers": -1}]}`))
		expectBadInput(err, "not a figure of a size")
		_, err = capacity.DecodeSizes("my.jsonc", []byte(`{"sizes": []}`))
		expectBadInput(err, "holds no sizes")
	})

	anyRuns := regexp.MustCompile(`"runs": \d+`)
	It("rejects slopes with too few runs, without a machine, or outside their spread", func() {
		slopes := string(defaults.Slopes)
		_, err := capacity.DecodeSlopes("s.jsonc", []byte(anyRuns.ReplaceAllString(slopes, `"runs": 2`)))
		expectBadInput(err, "was measured 2 times")
		_, err = capacity.DecodeSlopes("s.jsonc", []byte(strings.Replace(slopes, `"min":`, `"min": 1e12, // `, 1)))
		expectBadInput(err, "outside its spread")
		_, err = capacity.DecodeSlopes("s.jsonc", []byte(strings.Replace(slopes, `"cores": `, `"cores": 0, // `, 1)))
		expectBadInput(err, "needs its machine")
	})

	It("rejects missing settings", func() {
		_, err := capacity.DecodeSettings("s.jsonc", []byte(`{"partners": 4}`))
		expectBadInput(err, "every setting")
	})
})

var _ = DescribeTable("Figures are formatted with three digits and a unit",
	func(got, want string) { Expect(got).To(Equal(want)) },
	Entry("small", capacity.FormatNumber(0.0123456), "0.0123"),
	Entry("thousands", capacity.FormatNumber(1285714), "1,290,000"),
	Entry("count", capacity.FormatCount(16384), "16,384"),
	Entry("bytes", capacity.FormatBytes(676_000), "676 KB"),
	Entry("seconds", capacity.FormatSeconds(0.0000435), "43.5 µs"),
	Entry("almost 100%", capacity.FormatPercent(0.99973), "99.97%"),
	Entry("almost 0%", capacity.FormatPercent(1e-9), "< 0.01%"),
)
