package jsonc_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"coveferry/internal/jsonc"
	"coveferry/internal/units"
)

func TestJSONC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jsonc")
}

type common struct {
	Region string `json:"region"`
}

type grant struct {
	Class string `json:"class" jsonc:"required"`
	Tier  string `json:"tier"`
}

type team struct {
	Name   string  `json:"name" jsonc:"required"`
	Grants []grant `json:"grants"`
}

type config struct {
	common
	Wait    units.Duration    `json:"wait"`
	Size    units.Bytes       `json:"size"`
	Issued  time.Time         `json:"issued"`
	Slots   int8              `json:"slots"`
	Version uint64            `json:"version"`
	Ratio   float64           `json:"ratio"`
	On      bool              `json:"on"`
	Maybe   *bool             `json:"maybe"`
	Pair    [2]int            `json:"pair"`
	Labels  map[string]string `json:"labels"`
	Extra   any               `json:"extra"`
	Teams   []team            `json:"teams"`
	Hidden  string            `json:"-"`
}

type even int

func (even) Allowed() string { return "an even number" }

type word string

func (word) Allowed() string { return "a word" }

func (w *word) UnmarshalText(text []byte) error {
	*w = word(text)
	return nil
}

func decode(src string, dst any) string {
	d, err := jsonc.Parse("f.jsonc", []byte(src))
	Expect(err).NotTo(HaveOccurred())
	return d.Decode(dst).Error()
}

func parseError(src string) string {
	_, err := jsonc.Parse("f.jsonc", []byte(src))
	var ps jsonc.Problems
	Expect(errors.As(err, &ps)).To(BeTrue())
	return err.Error()
}

var _ = Describe("Decode", func() {
	It("decodes every kind of field and keeps the values of absent keys", func() {
		c := config{Slots: 7, Teams: []team{{Name: "old"}, {Name: "older"}}}
		Expect(decode(`{
			// a comment
			"region": "eu", "wait": "250ms", "size": "64KiB", "issued": "2026-01-02T03:04:05Z",
			"version": 18446744073709551615, "ratio": 1e-1, "on": true, "maybe": false,
			"pair": [1, 2], "labels": {"a b": "c"}, "extra": [1, /* two */ "2",],
			"teams": [{"name": "A\u0042", "grants": [{"class": "x", "tier": "y"}]}],
		}`, &c)).To(BeEmpty())
		off := false
		Expect(c).To(Equal(config{
			common: common{Region: "eu"},
			Wait:   units.Duration(250 * time.Millisecond), Size: 64 << 10,
			Issued: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
			Slots:  7, Version: 1<<64 - 1, Ratio: 0.1, On: true, Maybe: &off, Pair: [2]int{1, 2},
			Labels: map[string]string{"a b": "c"}, Extra: []any{1.0, "2"},
			Teams: []team{{Name: "AB", Grants: []grant{{Class: "x", Tier: "y"}}}},
		}))
	})

	It("reports every problem at once, in order, and still decodes the rest", func() {
		var c config
		Expect(decode("{\n"+
			"  \"wiat\": 1,\n"+
			"  \"slots\": 300,\n"+
			"  \"teams\": [\n"+
			"    {\"name\": \"a\", \"grants\": [{\"tier\": 7}]},\n"+
			"    {\"name\": \"b\", \"name\": \"c\"}],\n"+
			"  \"ratio\": 2.5}", &c)).To(Equal(strings.Join([]string{
			`f.jsonc:2:3: wiat: unknown key; did you mean "wait"?; allowed: region, wait, size, issued, slots, version, ratio, on, maybe, pair, labels, extra, teams`,
			`f.jsonc:3:12: slots: must be a whole number from -128 to 127, not 300`,
			`f.jsonc:5:30: teams[0].grants[0].class: missing; it must be a string`,
			`f.jsonc:5:39: teams[0].grants[0].tier: must be a string, not 7`,
			`f.jsonc:6:19: teams[1].name: duplicate key; it already stands on line 6`,
		}, "\n")))
		Expect(c.Ratio).To(Equal(2.5))
	})

	DescribeTable("reports the allowed values", func(src, want string) {
		Expect(decode(src, new(config))).To(HaveSuffix(want))
	},
		Entry("duration without a unit", `{"wait": 250}`, `f.jsonc:1:10: wait: "250" is not a duration; write a number with a unit such as "250ms" or "2s"`),
		Entry("duration of another kind", `{"wait": true}`, `wait: must be a string, not true`),
		Entry("wrong unit", `{"size": "64 parsecs"}`, `size: "64 parsecs" is not a size; write a number with a unit such as "64KiB" or "4MiB"`),
		Entry("time", `{"issued": "today"}`, `issued: "today" is not a time; write it as in "2026-01-31T15:04:05Z"`),
		Entry("null", `{"issued": null}`, `issued: null is not allowed here`),
		Entry("null scalar", `{"on": null}`, `on: must be true or false, not null`),
		Entry("fraction", `{"version": 1.5}`, `version: must be a whole number from 0 to 18446744073709551615, not 1.5`),
		Entry("below zero", `{"version": -1}`, `version: must be a whole number from 0 to 18446744073709551615, not -1`),
		Entry("huge", `{"ratio": 1e999}`, `ratio: must be a number within the range of its type, not 1e999`),
		Entry("string for number", `{"slots": "3"}`, `slots: must be a whole number from -128 to 127, not the string "3"`),
		Entry("list", `{"teams": {}}`, `teams: must be a list [...], not an object`),
		Entry("object", `{"teams": [[]]}`, `teams[0]: must be an object {...}, not a list`),
		Entry("length", `{"pair": [1]}`, `pair: must be a list [...] of 2, not a list`),
		Entry("map", `{"labels": {"a b": 1}}`, `labels["a b"]: must be a string, not 1`),
		Entry("case", `{"Wait": "1s"}`, `allowed: region, wait, size, issued, slots, version, ratio, on, maybe, pair, labels, extra, teams`),
		Entry("field left out of JSON", `{"Hidden": "x"}`, `allowed: region, wait, size, issued, slots, version, ratio, on, maybe, pair, labels, extra, teams`),
		Entry("duplicate where any value goes", `{"extra": {"a": 1, "a": 2}}`, `extra.a: duplicate key; it already stands on line 1`),
		Entry("long value", `{"on": "`+strings.Repeat("é", 99)+`"}`, `on: must be true or false, not the string "`+strings.Repeat("é", 29)+`...`),
		Entry("key like no other", `{"transitions": 1}`, `transitions: unknown key; allowed: region, wait, size, issued, slots, version, ratio, on, maybe, pair, labels, extra, teams`),
		Entry("whole document", `[]`, `f.jsonc:1:1: must be an object {...}, not a list`),
	)

	It("describes the allowed values of missing keys", func() {
		var c struct {
			Team  team      `json:"team" jsonc:"required"`
			Odd   even      `json:"odd" jsonc:"required"`
			Teams []*even   `json:"teams" jsonc:"required"`
			On    bool      `json:"on" jsonc:"required"`
			When  time.Time `json:"when" jsonc:"required"`
		}
		Expect(decode("{}", &c)).To(Equal(strings.Join([]string{
			"f.jsonc:1:1: team: missing; it must be an object {...} with the keys name, grants",
			"f.jsonc:1:1: odd: missing; it must be an even number",
			"f.jsonc:1:1: teams: missing; it must be a list [...]; each element must be an even number",
			"f.jsonc:1:1: on: missing; it must be true or false",
			"f.jsonc:1:1: when: missing; this key is required",
		}, "\n")))
	})

	It("describes a text type's values if the value isn't a string", func() {
		var words []word
		Expect(decode(`["a", 7]`, &words)).To(Equal("f.jsonc:1:7: [1]: must be a string (a word), not 7"))
		Expect(words).To(Equal([]word{"a", ""}))
	})

	It("accepts null for a pointer", func() {
		on := true
		c := config{Maybe: &on}
		Expect(decode(`{"maybe": null}`, &c)).To(BeEmpty())
		Expect(c.Maybe).To(BeNil())
	})

	It("stops at a bounded number of problems", func() {
		var n []int
		src := "[" + strings.Repeat("true,", 2*jsonc.MaxProblems) + "]"
		lines := strings.Split(decode(src, &n), "\n")
		Expect(lines).To(HaveLen(jsonc.MaxProblems + 1))
		Expect(lines[jsonc.MaxProblems]).To(HaveSuffix("more than 1000 problems; the others are not listed"))
	})
})

var _ = Describe("Parse", func() {
	DescribeTable("reports the position of a syntax error", func(src, want string) {
		Expect(parseError(src)).To(Equal(want))
	},
		Entry("no value", "{\n \"a\": }", "f.jsonc:2:7: syntax error: invalid character '}' at start of value"),
		Entry("no end", "{\"a\": 1", "f.jsonc:1:8: syntax error: parsing object after value: unexpected EOF"),
		Entry("empty", "", "f.jsonc:1:1: syntax error: parsing value: unexpected EOF"),
		Entry("two values", "{}\n{}", "f.jsonc:2:1: syntax error: invalid character '{' after top-level value"),
		Entry("bytes", "{\n\"\xff\": 1}", "f.jsonc:2:2: invalid UTF-8"),
	)

	It("keeps no reference to the source", func() {
		src := []byte(`["a"]`)
		d, err := jsonc.Parse("f.jsonc", src)
		Expect(err).NotTo(HaveOccurred())
		clear(src)
		var list []string
		Expect(d.Decode(&list)).To(BeEmpty())
		Expect(list).To(Equal([]string{"a"}))
	})

	It("limits the size, the nesting and the keys", func() {
		long := `"` + strings.Repeat("k", jsonc.MaxKeyLength-2) + `"`
		Expect(decode("{"+long+": [{}]}", new(any))).To(BeEmpty())
		Expect(parseError(`[{"a": {"b": 1, "k` + long[1:] + `: 1}}]`)).To(Equal("f.jsonc:1:17: key too long; at most 256 bytes are allowed"))
		Expect(parseError(strings.Repeat(" ", jsonc.MaxSize+1))).To(ContainSubstring("at most 8388608 bytes are allowed"))
		deep := strings.Repeat("[", jsonc.MaxDepth) + strings.Repeat("]", jsonc.MaxDepth)
		Expect(decode(deep, new(any))).To(BeEmpty())
		Expect(decode("["+strings.Repeat("{},", 2*jsonc.MaxDepth)+"]", new(any))).To(BeEmpty())
		Expect(parseError("[" + deep + "]")).To(Equal("f.jsonc:1:65: nested too deep; at most 64 levels are allowed"))
		Expect(decode("[ /* "+strings.Repeat("[", 99)+" */ \"\\\""+strings.Repeat("[", 99)+"\" // [[\n]", new(any))).To(BeEmpty())
	})
})

var _ = Describe("Problem", func() {
	DescribeTable("resolves a path to a position", func(path, want string) {
		d, err := jsonc.Parse("f.jsonc", []byte("{\n\"teams\": [\n{},\n{\"grants\": [{\"tier\": \"x\"}]}],\n\"a b\": {\"]\": 1}}"))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Problem(path, "no").String()).To(Equal(want))
	},
		Entry("whole", "", "f.jsonc:1:1: no"),
		Entry("nested", "teams[1].grants[0].tier", "f.jsonc:4:22: teams[1].grants[0].tier: no"),
		Entry("absent key", "teams[0].grants[3]", "f.jsonc:3:1: teams[0].grants[3]: no"),
		Entry("absent element", "teams[2].name", "f.jsonc:2:10: teams[2].name: no"),
		Entry("quoted", `["a b"]["]"]`, `f.jsonc:5:14: ["a b"]["]"]: no`),
		Entry("nonsense", "[..", "f.jsonc:1:1: [..: no"),
	)

	It("is formatted on one line", func() {
		p := jsonc.Problem{File: "f", Line: 1, Column: 2, Message: "a\nb"}
		Expect(p.String()).To(Equal("f:1:2: a b"))
		Expect(jsonc.Problem{File: "f", Message: "unreadable"}.String()).To(Equal("f: unreadable"))
		Expect(jsonc.Problems(nil).Err()).To(BeNil())
		Expect(jsonc.Problems{p}.Err()).To(MatchError("f:1:2: a b"))
	})
})
