package completion_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/tidwall/gjson"
	"pgregory.net/rapid"

	"coveferry/internal/completion"
	"coveferry/internal/wire"
)

func TestContinueKeepsTheCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		kind := rapid.SampledFrom([]wire.Kind{wire.KindChat, wire.KindCompletion}).Draw(t, "kind")
		text := rapid.StringN(1, 50, -1).Draw(t, "text")
		used := rapid.IntRange(1, 30).Draw(t, "used")
		body := `{"model":"m","x":{"y":[1]},"max_tokens":40,"prompt":"p","messages":[{"role":"user","content":"p"}]}`
		got, err := completion.Continue(kind, []byte(body), text, used)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(json.Valid(got)).To(BeTrue())
		root := gjson.ParseBytes(got)
		g.Expect(root.Get("x.y.0").Int()).To(Equal(int64(1)), "unknown fields are preserved")
		g.Expect(root.Get("max_tokens").Int()).To(Equal(int64(40 - used)))
		want := strings.ToValidUTF8(text, "\uFFFD")
		if kind == wire.KindChat {
			last := root.Get("messages.@reverse.0")
			g.Expect(last.Get("role").Str).To(Equal("assistant"))
			g.Expect(last.Get("content").Str).To(Equal(want))
			g.Expect(root.Get("continue_final_message").Bool()).To(BeTrue())
			return
		}
		g.Expect(root.Get("prompt").Str).To(Equal("p" + want))
		g.Expect(root.Get("resume_from_tokens").Int()).To(Equal(int64(used)))
	})
}

func TestCollectorJoinsToolCalls(t *testing.T) {
	g := NewWithT(t)
	var c completion.Collector
	for _, chunk := range []string{
		`{"id":"a","model":"m","choices":[{"delta":{"role":"assistant","content":"so "}}]}`,
		`{"id":"a","choices":[{"delta":{"content":"be it"}}]}`,
		`{"id":"a","choices":[{"delta":{"tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"f","arguments":"{\"a\""}}]}}]}`,
		`{"id":"a","choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
		`{"id":"a","choices":[],"usage":{"prompt_tokens":2,"completion_tokens":3,"total_tokens":5}}`,
	} {
		g.Expect(c.Add(wire.KindChat, chunk)).To(Succeed())
	}
	got, err := c.Response(wire.KindChat, time.Unix(7, 0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(MatchJSON(`{"id":"a","object":"chat.completion","created":7,"model":"m",
		"choices":[{"index":0,"finish_reason":"tool_calls","message":{"role":"assistant","content":"so be it",
			"tool_calls":[{"id":"t","type":"function","function":{"name":"f","arguments":"{\"a\":1}"}}]}}],
		"usage":{"prompt_tokens":2,"completion_tokens":3,"total_tokens":5}}`))
}

func TestCorrectUsageIsNeverNegative(t *testing.T) {
	for total, want := range map[string]string{"9": "4", "3": "0"} {
		got, err := completion.CorrectUsage(`{"usage":{"total_tokens":`+total+`}}`, 5)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(got).To(MatchJSON(`{"usage":{"total_tokens":` + total + `,"completion_tokens":5,"prompt_tokens":` + want + `}}`))
	}
}

func FuzzCall(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3}`), "text")
	f.Add([]byte(`{"model":"m","prompt":"x","n":1,"stream":true}`), "\xff")
	f.Fuzz(func(t *testing.T, body []byte, text string) {
		for _, kind := range []wire.Kind{wire.KindChat, wire.KindCompletion} {
			if _, err := completion.Parse(kind, body); err != nil {
				continue
			}
			out, err := completion.Continue(kind, body, text, 1)
			if err != nil || !json.Valid(out) {
				t.Fatalf("a call that Parse accepted can't be continued: %v: %q", err, out)
			}
			if out, err = completion.ForEngine(out); err != nil || !gjson.GetBytes(out, "stream").Bool() {
				t.Fatalf("a call that Parse accepted can't be sent: %v: %q", err, out)
			}
		}
	})
}

func FuzzChunk(f *testing.F) {
	f.Add(`{"id":"a","choices":[{"delta":{"content":"x"},"finish_reason":"stop"}]}`)
	f.Add(`{"choices":[{"text":"x"}],"usage":{}}`)
	f.Fuzz(func(t *testing.T, data string) {
		for _, kind := range []wire.Kind{wire.KindChat, wire.KindCompletion} {
			var c completion.Collector
			_ = c.Add(kind, data)
			if _, err := c.Response(kind, time.Time{}); err != nil {
				t.Fatal(err)
			}
			if _, err := completion.ParseChunk(kind, data); err == nil && json.Valid([]byte(data)) {
				if out, err := completion.SetID(data, "id"); err != nil || !json.Valid([]byte(out)) {
					t.Fatalf("%v: %q", err, out)
				}
			}
		}
	})
}
