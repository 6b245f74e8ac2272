package fleet_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/api"
	"coveferry/internal/balance"
	"coveferry/internal/fleet"
	"coveferry/internal/memnet"
	"coveferry/internal/server"
	"coveferry/internal/standin/engine"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session is a fleet in memory and fake time. Its transcript holds the events that
// the caller got, with times, and the log lines of the processes.
type session struct {
	// ignoreMillis compares retry times only by their header, in seconds. The
	// milliseconds depend on the order of two messages sent at the same time.
	ignoreMillis bool
	t            *testing.T
	g            *WithT
	fleet        *fleet.Fleet
	net          *memnet.Net
	start        time.Time
	// suspended is the total time of suspensions in nanoseconds.
	suspended atomic.Int64
	// stopped reports whether the fleet has been stopped.
	stopped    bool
	mu         sync.Mutex
	transcript bytes.Buffer
	log        bytes.Buffer
}

// spec returns a fleet of two engines with four slots and 10 ms per token.
func spec() fleet.Spec {
	one := engine.Config{Slots: 4, TokenTime: 10 * time.Millisecond, Priorities: true}
	return fleet.Spec{
		Bundle:        testBundle(),
		Engines:       []engine.Config{one, one},
		Routers:       1,
		ShutdownGrace: time.Minute,
		Profile:       roundRobinProfile(),
	}
}

// roundRobinProfile is the product profile with round robin and without late
// binding, so that a session knows at which endpoint a request runs.
func roundRobinProfile() fleet.Profile {
	p := fleet.Product()
	p.Balance = &balance.RoundRobin{}
	p.LateBinding = false
	return p
}

// runSession runs play in a synctest bubble and compares the transcript with its
// golden file.
func runSession(t *testing.T, s fleet.Spec, play func(*session)) {
	t.Helper()
	runInBubble(t, s, func(se *session) {
		play(se)
		se.stop()
		se.compare()
	})
}

// runInBubble runs play in a synctest bubble.
func runInBubble(t *testing.T, s fleet.Spec, play func(*session)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		se := &session{t: t, g: NewWithT(t), net: memnet.New(), start: time.Now()}
		var ids atomic.Int64
		s.Network = withHook(s.Network, se.net)
		s.Clock = se.now
		s.NewID = func() string { return fmt.Sprintf("request-%d", ids.Add(1)) }
		s.Rand = func() float64 { return 0 }
		s.Log = zerolog.New(&lockedWriter{mu: &se.mu, w: &se.log}).Level(zerolog.DebugLevel)
		f, err := fleet.Start(s)
		se.g.Expect(err).NotTo(HaveOccurred())
		se.fleet = f
		defer se.stop()
		play(se)
	})
}

// withHook returns the in-memory network, wrapped by the test's writeHook if it has one.
func withHook(n fleet.Network, memory *memnet.Net) fleet.Network {
	if hook, ok := n.(*writeHook); ok {
		hook.Network = memory
		return hook
	}
	return memory
}

// stop ends the fleet, once.
func (s *session) stop() {
	if s.stopped {
		return
	}
	s.stopped = true
	s.g.Expect(s.fleet.Stop()).To(Succeed())
	time.Sleep(time.Minute) // fake time, so that engines end their last step
}

type lockedWriter struct {
	mu *sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// now is the clock of all processes: fake time plus the total time of suspensions,
// which timers don't count.
func (s *session) now() time.Time { return time.Now().Add(time.Duration(s.suspended.Load())) }

func (s *session) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.transcript, "%8s  ", time.Since(s.start))
	fmt.Fprintf(&s.transcript, format+"\n", args...)
}

// millis matches the retry time in an error's body.
var millis = regexp.MustCompile(`retry_after_ms\\":\d+`)

func (s *session) compare() {
	got := "# what the caller got\n" + s.transcript.String() + "# what was decided\n" + s.sortedLogLines()
	if s.ignoreMillis {
		got = millis.ReplaceAllString(got, `retry_after_ms\":#`)
	}
	file := filepath.Join("testdata", s.t.Name()+".golden")
	if *update {
		s.g.Expect(os.WriteFile(file, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(file)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(got).To(Equal(string(want)))
}

// sortedLogLines returns the log lines of the processes, grouped by process and in
// order within each. The order between processes is undefined. Lines without a
// role are dropped, since libraries log connections that end with the session in
// an undefined way.
func (s *session) sortedLogLines() string {
	s.mu.Lock()
	lines := strings.SplitAfter(s.log.String(), "\n")
	s.mu.Unlock()
	lines = slices.DeleteFunc(lines, func(line string) bool { return !strings.Contains(line, `"role"`) })
	process := func(line string) string {
		head, _, _ := strings.Cut(line, `"request"`)
		return head
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(process(a), process(b)) })
	return strings.Join(lines, "")
}

// call sends a request and records each event of its answer. onEvent, which may be
// nil, is called with the number of events so far.
func (s *session) call(ctx context.Context, path, body string, header http.Header, onEvent func(int)) string {
	client := server.NewClient(nil, s.net.Dialer("caller"))
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.fleet.Routers()[0].URL()+path, bytes.NewBufferString(body))
	s.g.Expect(err).NotTo(HaveOccurred())
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set(api.HeaderAuthorization, "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		s.record("error: %v", err)
		return ""
	}
	defer resp.Body.Close()
	s.record("status %d, retry after %q", resp.StatusCode, resp.Header.Get(api.HeaderRetryAfter))
	if resp.Close {
		s.record("the connection closes behind the answer")
	}
	return s.readEvents(resp.Body, onEvent)
}

// readEvents records each event. It splits reads into events, since the number of
// events per read depends on the network.
func (s *session) readEvents(body io.Reader, onEvent func(int)) string {
	var all bytes.Buffer
	buf := make([]byte, 32<<10)
	events := 0
	for {
		n, err := body.Read(buf)
		all.Write(buf[:n])
		for event := range bytes.SplitAfterSeq(buf[:n], []byte("\n\n")) {
			if len(event) == 0 {
				continue // after the last event
			}
			s.record("%q", event)
			events++
			if err == nil && onEvent != nil {
				onEvent(events)
			}
		}
		if err != nil {
			s.record("end: %v", err)
			return all.String()
		}
	}
}
