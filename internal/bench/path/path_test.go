package path

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// inProcess is a Launch that runs parts in this process, connected by pipes.
func inProcess() (io.WriteCloser, io.Reader, func() error, error) {
	requests, in := io.Pipe()
	answers, out := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := ServePart(requests, out)
		_ = out.CloseWithError(io.ErrUnexpectedEOF) // as the exit of a process closes its pipes
		ended <- err
	}()
	return in, answers, func() error { return <-ended }, nil
}

func TestPartsServeCallsAndReportUsage(t *testing.T) {
	g := NewWithT(t)
	profiles := filepath.Join(t.TempDir(), "test")
	p, err := startParts(inProcess, time.Millisecond, profiles)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(warmUp(t.Context(), p.routedURL())).To(Succeed())
	g.Expect(warmUp(t.Context(), p.directURL())).To(Succeed())
	used, err := p.usage(true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]float64{used.router.Memory, used.agent.Memory, used.engine.Memory}).To(HaveEach(BeNumerically(">", 0)))
	g.Expect(p.stop()).To(Succeed())
	for _, role := range []string{roleEngine, roleAgent, roleRouter} {
		heap, err := os.Stat(profiles + "-" + role + heapSuffix)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(heap.Size()).To(BeNumerically(">", 0))
	}
}

func TestStartErrorsNameThePart(t *testing.T) {
	for _, o := range []partConfig{{Role: "balancer"}, {Role: roleAgent, Next: "http://127.0.0.1:1"}} {
		g := NewWithT(t)
		text, err := json.Marshal(o)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ServePart(strings.NewReader(string(text)), io.Discard)).To(MatchError(ContainSubstring("start the " + o.Role)))
		_, err = startPart(inProcess, o)
		g.Expect(err).To(MatchError(ContainSubstring("start the " + o.Role)))
	}
}

func TestCostsArePerCore(t *testing.T) {
	g := NewWithT(t)
	var c Cost
	c.setCalls(time.Second, 2000)
	c.setTokens(time.Second, 100_000)
	g.Expect(c).To(Equal(Cost{CPUMicros: 500, RequestsPerCore: 2000, TokenMicros: 10, StreamsPerCore: 5000}))
	c.setCalls(0, 0)
	g.Expect(c.RequestsPerCore).To(BeZero(), "no calls, no pace")
}

func TestUsageIsADifference(t *testing.T) {
	g := NewWithT(t)
	one := partUsage{router: Usage{CPU: 3, Memory: 30}, agent: Usage{CPU: 5}, engine: Usage{CPU: 7}}
	two := one.plus(one)
	g.Expect(two.router).To(Equal(Usage{CPU: 6, Memory: 60}))
	g.Expect(two.minus(one)).To(Equal(one))
}

func TestAddedIsRoutedMinusDirect(t *testing.T) {
	g := NewWithT(t)
	r := Result{
		Direct: CallStats{FirstToken: Latency{P50: 1, P99: 2}, Total: Latency{P50: 3, P99: 4}, Gap: Latency{P50: 5, P99: 6}},
		Routed: CallStats{FirstToken: Latency{P50: 11, P99: 22}, Total: Latency{P50: 33, P99: 44}, Gap: Latency{P50: 55, P99: 66}},
	}
	r.computeAdded()
	g.Expect(r.Added).To(Equal(Added{FirstTokenP50: 10, FirstTokenP99: 20, TotalP50: 30, TotalP99: 40, GapP50: 50, GapP99: 60}))
}
