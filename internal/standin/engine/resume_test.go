package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"coveferry/internal/standin/web/webtest"
)

// tokenTexts returns the texts of an answer's tokens.
func tokenTexts(r *request) []string {
	out := make([]string, r.tokens())
	for i := range out {
		out[i] = string(r.token(nil, i))
	}
	return out
}

func TestResumedChatEqualsTheUninterruptedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.StringMatching(`[a-zA-Z ü:]{0,80}`).Draw(t, "prompt")
		seed := rapid.Int64Range(-5, 5).Draw(t, "seed")
		messages := []message{{Role: "user", Content: content(prompt)}}
		body := generateBody{Model: "m", Seed: seed, Messages: messages}
		whole := mustExpect(t, PathChat, body)
		runes := []rune(whole.Text)
		at := rapid.IntRange(0, len(runes)).Draw(t, "cut")
		head := string(runes[:at])

		no := false
		body.ContinueFinal, body.AddGeneration = true, &no
		body.Messages = append(messages, message{Role: "assistant", Content: content(head)})
		rest := mustExpect(t, PathChat, body)
		if head+rest.Text != whole.Text {
			t.Fatalf("%q and %q don't make %q", head, rest.Text, whole.Text)
		}
		body.Messages[1].Content += "?"
		data, _ := json.Marshal(body)
		if _, err := ExpectedAnswer(PathChat, data); err == nil {
			t.Fatalf("a text that isn't the answer's beginning was resumed")
		}
	})
}

func TestResumedCompletionEqualsTheUninterruptedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.StringMatching(`([a-z ]{0,30}ref:)?[0-9a-f ü]{0,40}`).Draw(t, "prompt")
		limit := rapid.IntRange(1, 300).Draw(t, "limit")
		body := generateBody{Model: "m", Prompt: &prompt, MaxTokens: &limit}
		data, _ := json.Marshal(body)
		r, err := parseRequest(false, data)
		if err != nil {
			t.Fatal(err)
		}
		tokens := tokenTexts(r)
		at := rapid.IntRange(1, len(tokens)).Draw(t, "cut")
		longer := prompt + strings.Join(tokens[:at], "")
		left := limit - at
		if left == 0 {
			return // nothing is left to ask for
		}
		rest := mustExpect(t, PathCompletions, generateBody{Model: "m", Prompt: &longer, MaxTokens: &left, ResumeFromTokens: at})
		if rest.Text != strings.Join(tokens[at:], "") || rest.FinishReason != r.finishReason() {
			t.Fatalf("after %d tokens: %q, want %q", at, rest.Text, tokens[at:])
		}
	})
}

func mustExpect(t *rapid.T, path string, body generateBody) Answer {
	data, _ := json.Marshal(body)
	got, err := ExpectedAnswer(path, data)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func TestAnswersVaryInLengthAndHoldMultiByteText(t *testing.T) {
	g := gomega.NewWithT(t)
	const n = 2000
	total, longest, wide := 0, 0, 0
	for i := range n {
		a := newAnswer("m", "prompt "+strconv.Itoa(i), 0)
		total += a.length
		longest = max(longest, a.length)
		wide += len(a.appendToken(nil, 1)) - len([]rune(string(a.appendToken(nil, 1))))
	}
	g.Expect(total / n).To(gomega.BeNumerically("~", 230, 20))
	g.Expect(longest).To(gomega.BeNumerically(">", 1500))
	g.Expect(wide).To(gomega.BeNumerically(">", n/20))
}

func callRaw(c *http.Client, path string, body []byte) (*http.Response, []byte, error) {
	resp, err := c.Post(webtest.URL+path, "", bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

func TestExportedRunContinuesElsewhereWithoutPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		cfg := Config{TokenTime: step, PrefillPerToken: time.Microsecond}
		source, target := New(cfg), New(cfg)
		from, to := newClient(t, source.Handler()), newClient(t, target.Handler())
		prompt := strings.Repeat("deed ", 200) + "[[tokens=40]]"
		p := launch(from, "r1", prompt, "")
		time.Sleep(15*step + step/2)
		resp, blob, err := callRaw(from, PathExport, []byte(`{"request_id":"r1"}`))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		head := p.wait()
		g.Expect(head.reason).To(gomega.Equal(finishAbort))
		g.Expect(resp.Header.Get(HeaderProduced)).To(gomega.Equal(strconv.Itoa(head.tokens)))
		g.Expect(source.Record()[0].End).To(gomega.Equal(EndExported))
		g.Expect(source.Record()[0].Produced).To(gomega.Equal(head.tokens))

		damaged := append([]byte(nil), blob...)
		damaged[len(damaged)/2] ^= 1
		resp, _, err = callRaw(to, PathImport, damaged)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadRequest))
		resp, _, err = callRaw(to, PathImport+"?request_id=r2", blob)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
		body := `{"model":"stand-in","stream":true,"continue_final_message":true,"add_generation_prompt":false,"messages":[` +
			`{"role":"user","content":"` + prompt + `"},{"role":"assistant","content":"` + head.text + `"}]}`
		for i, prefilled := range []int{1, promptTokens(prompt)} { // an import is used once
			rest, err := postAs(to, PathChat, "r2", body, 0, new(atomic.Int32))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(head.text + rest.text).To(gomega.Equal(expectedText(g, prompt, "")))
			g.Expect(target.Record()[i].ResumedTokens).To(gomega.Equal(head.tokens))
			g.Expect(target.Record()[i].Prefilled).To(gomega.BeNumerically("~", prefilled, 60*i))
		}
	})
}

func TestExportWithKeepLetsTheRunComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{TokenTime: step})
		p := launch(newClient(t, e.Handler()), "r1", "[[tokens=9]]", "")
		time.Sleep(3*step + step/2)
		out, err := e.export("r1", true)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(out.produced).To(gomega.Equal(3))
		g.Expect(p.wait().text).To(gomega.Equal(expectedText(g, "[[tokens=9]]", "")))
		g.Expect(e.Record()[0].End).To(gomega.Equal(EndCompleted))
		_, err = e.export("r1", true)
		g.Expect(err).To(gomega.HaveOccurred())
	})
}

func TestFencing(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		g := gomega.NewWithT(t)
		e := New(Config{Fenced: fenced})
		g.Expect(e.order(Order{Kind: OrderLoadModel, Target: "new", Fence: 7})).To(gomega.Succeed())
		g.Expect(e.order(Order{Kind: OrderSetRole, Target: "decode", Fence: 7})).To(gomega.Succeed())
		err := e.order(Order{Kind: OrderUnloadModel, Target: "new", Fence: 6})
		if fenced {
			g.Expect(err).To(gomega.MatchError(errFenced))
		} else {
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		g.Expect(e.serves("new")).To(gomega.Equal(fenced))
		g.Expect(e.State().Role).To(gomega.Equal("decode"))
		g.Expect(e.State().Orders).To(gomega.HaveLen(3))
		e.Crash()
		e.Restart()
		g.Expect(e.serves("new")).To(gomega.BeFalse())
	}
}

func TestOlderLoadOrderIsRejectedIfANewerOneArrivedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{Fenced: true, LoadTime: time.Minute})
		done := make(chan error)
		go func() { done <- e.order(Order{Kind: OrderLoadModel, Target: "new", Fence: 1}) }()
		time.Sleep(time.Second)
		g.Expect(e.order(Order{Kind: OrderUnloadModel, Target: "new", Fence: 2})).To(gomega.Succeed())
		g.Expect(<-done).To(gomega.MatchError(errFenced))
		g.Expect(e.serves("new")).To(gomega.BeFalse())
	})
}

func TestEventsAreDelayedAndSomeAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	l := newEventLog(Config{EventLag: time.Second, EventLoss: 0.3, Seed: 1})
	for i := range 2 * eventLimit {
		l.add(now, EventStored, []uint64{uint64(i)})
	}
	early := l.after(0, now.Add(time.Second-1))
	g.Expect(early.events).To(gomega.BeEmpty())
	g.Expect(early.wait).To(gomega.Equal(time.Duration(1)))
	due := l.after(0, now.Add(time.Second)).events
	lost := 1 - float64(len(due))/float64(2*eventLimit)
	g.Expect(lost).To(gomega.BeNumerically("~", 0.3, 0.03))
	last := due[len(due)-1].Seq
	g.Expect(l.after(due[9].Seq, now.Add(time.Second)).events[0]).To(gomega.Equal(due[10]))
	l.reset(now)
	g.Expect(l.after(last, now.Add(time.Second)).events[0].Type).To(gomega.Equal(EventCleared))
}

func TestEventStreamHoldsTheBlockHashesOfAPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := New(Config{TokenTime: step, PrefixCacheTokens: 1000, EventLag: time.Second})
		c := newClient(t, e.Handler())
		prompt := strings.Repeat("clause ", 30) + "[[tokens=1]]"
		launch(c, "a", prompt, "").wait()
		begin := time.Now()
		resp, err := c.Get(webtest.URL + PathEvents)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.AfterFunc(2*time.Second, e.Crash)
		data, err := io.ReadAll(resp.Body)
		g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
		g.Expect(time.Since(begin)).To(gomega.Equal(2 * time.Second))
		_, payload, _ := strings.Cut(string(data), "data: ")
		var ev Event
		g.Expect(json.NewDecoder(strings.NewReader(payload)).Decode(&ev)).To(gomega.Succeed())
		want := BlockHashes(DefaultModel, renderChat([]message{{Role: "user", Content: content(prompt)}}))
		g.Expect(ev.BlockHashes).To(gomega.ConsistOf(want))
		g.Expect(ev.Type).To(gomega.Equal(EventStored))
	})
}
