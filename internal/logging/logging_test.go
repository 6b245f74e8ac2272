package logging_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/logging"
	"coveferry/internal/settings"
)

func TestNewFollowsSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := logging.New(settings.Log{Level: settings.LogWarn, Format: settings.FormatJSON}, &out)
	log.Info().Msg("below the level")
	g.Expect(out.String()).To(gomega.BeEmpty())
	log.Warn().Msg("at the level")
	var line map[string]any
	g.Expect(json.Unmarshal(out.Bytes(), &line)).To(gomega.Succeed())
	g.Expect(line).To(gomega.And(gomega.HaveKeyWithValue("message", "at the level"), gomega.HaveKey("time")))

	out.Reset()
	log = logging.New(settings.Log{Level: settings.LogInfo, Format: settings.FormatConsole}, &out)
	log.Info().Msg("readable")
	g.Expect(json.Valid(out.Bytes())).To(gomega.BeFalse())
	g.Expect(out.String()).To(gomega.ContainSubstring("readable"))
}

func TestForRequestNamesTheRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := logging.ForRequest(zerolog.New(&out), logging.Request{ID: "q1", Team: "acme", Tier: "gold"})
	log.Info().Msg("")
	g.Expect(out.String()).To(gomega.MatchJSON(`{"level":"info","request":"q1","team":"acme","tier":"gold"}`))
}

func TestSampledDropsLinesButNoWarnings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var out bytes.Buffer
		log := logging.Sampled(zerolog.New(&out))
		count := func() int { return bytes.Count(out.Bytes(), []byte("\n")) }
		for range 1000 {
			log.Info().Msg("refused")
		}
		g.Expect(count()).To(gomega.Equal(logging.SampleBurst + 10)) // one in 100 of the 980 others, the first among them
		g.Expect(out.String()).To(gomega.ContainSubstring(`"sampled":true`))

		out.Reset()
		time.Sleep(2 * logging.SamplePeriod)
		log.Info().Msg("in a new period")
		g.Expect(count()).To(gomega.Equal(1))

		out.Reset()
		for range 500 {
			log.Warn().Msg("never dropped")
		}
		g.Expect(count()).To(gomega.Equal(500))
	})
}

func TestLimitBoundsLinesAndCountsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var out bytes.Buffer
		reg := prometheus.NewRegistry()
		log := logging.Limit(zerolog.New(&out), 5, reg, "completed")
		for range 12 {
			log.Info().Msg("")
		}
		g.Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(gomega.Equal(5))
		families, err := reg.Gather()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(families[0].GetMetric()[0].GetCounter().GetValue()).To(gomega.Equal(7.0))
		time.Sleep(time.Second)
		log.Info().Msg("")
		g.Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(gomega.Equal(6))
	})
}

// blockedWriter is a writer whose writes never return.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

func TestBoundedLoggerNeverBlocks(t *testing.T) {
	log := logging.NewBounded(blockedWriter{})
	done := make(chan struct{})
	go func() {
		for range 10_000 {
			log.Info().Msg("a line that is never written")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the logger blocks on its writer")
	}
}
