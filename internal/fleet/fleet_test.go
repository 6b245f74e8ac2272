package fleet_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/api"
	"coveferry/internal/bundle"
	"coveferry/internal/fleet"
	"coveferry/internal/standin/engine"
	"coveferry/internal/units"
)

const key = "test-key"

func testBundle() bundle.Bundle {
	return bundle.Bundle{
		Format: bundle.Format, Version: 1,
		Tiers: []bundle.Tier{{Name: "gold"}, {Name: "bronze"}},
		Classes: []bundle.Class{
			{Name: "queries", FirstToken: units.Duration(time.Second), Deadline: units.Duration(time.Minute)},
			{Name: "reviews", FirstToken: units.Duration(time.Minute), Deadline: units.Duration(time.Hour)},
		},
		Models: []bundle.Model{{Name: "stand-in"}},
		Teams: []bundle.Team{{
			Name: "registry", KeyHashes: []string{bundle.HashKey(key)},
			Grants: []bundle.Grant{{Class: "queries", Tier: "gold"}, {Class: "reviews", Tier: "bronze"}},
		}},
		Limits: bundle.Limits{RequestBytes: 1 << 16, QueueEntries: 100, QueueBytes: 1 << 20},
	}
}

func start(t *testing.T) *fleet.Fleet {
	t.Helper()
	g := NewWithT(t)
	f, err := fleet.Start(fleet.Spec{
		Bundle:        testBundle(),
		Engines:       []engine.Config{{Slots: 4, TokenTime: time.Millisecond}, {Slots: 4, TokenTime: time.Millisecond}},
		Routers:       1,
		ShutdownGrace: time.Minute,
		Profile:       fleet.Baseline(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { NewWithT(t).Expect(f.Stop()).To(Succeed()) })
	return f
}

func post(g Gomega, url, body string) (*http.Response, string) {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewBufferString(body))
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set(api.HeaderAuthorization, "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return resp, string(text)
}

func TestStreamedAnswerIsComplete(t *testing.T) {
	g := NewWithT(t)
	f := start(t)
	resp, text := post(g, f.Routers()[0].URL()+"/v1/chat/completions",
		`{"model":"stand-in","stream":true,"messages":[{"role":"user","content":"hello [[tokens=5]]"}]}`)
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK), text)
	g.Expect(resp.Header.Get(api.HeaderRequestID)).NotTo(BeEmpty())
	g.Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
	g.Expect(strings.Count(text, `"content":`)).To(BeNumerically(">=", 5))
}

func TestNonStreamedAnswer(t *testing.T) {
	g := NewWithT(t)
	f := start(t)
	resp, text := post(g, f.Routers()[0].URL()+"/v1/completions",
		`{"model":"stand-in","prompt":"hello [[tokens=5]]"}`)
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK), text)
	g.Expect(text).To(ContainSubstring(`"finish_reason":"stop"`))
	g.Expect(text).To(ContainSubstring(`"completion_tokens":5`))
}
