package follow_test

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/directory"
	"coveferry/internal/follow"
	"coveferry/internal/route"
)

var errUnavailable = errors.New("source unavailable")

// source is an in-memory service with switchable failures.
type source struct {
	mu       sync.Mutex
	version  uint64
	revision uint64
	era      uint64
	entries  []directory.Entry
	// staleEntries is the result of a read that isn't fresh, if set.
	staleEntries  []directory.Entry
	staleRevision uint64
	history       []change
	changed       chan struct{}

	unavailable bool
	historyLost bool // the next Await returns ErrHistoryLost
	delay       time.Duration
	peerAge     time.Duration
	awaits      int
	reads       int
	freshReads  int
	unusable    bool
	lastAfter   uint64
	// uptime returns the span over which others read the service; nil if unknown.
	uptime func() follow.Span
}

// change is the change of the list at a revision.
type change struct {
	revision uint64
	changed  []directory.Entry
	removed  []string
}

func newSource() *source {
	s := &source{version: 1, revision: 1, changed: make(chan struct{})}
	s.entries = []directory.Entry{entry("a"), entry("b")}
	return s
}

func entry(name string) directory.Entry {
	return directory.Entry{Endpoint: bundle.Endpoint{Name: name, Address: name, Services: []string{"s"}}}
}

// update makes a change that wakes waiting calls.
func (s *source) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// configure changes the behavior of the service without waking calls.
func (s *source) configure(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// removeEndpoint removes an endpoint.
func (s *source) removeEndpoint(name string) {
	s.update(func() {
		s.entries = slices.DeleteFunc(slices.Clone(s.entries), func(e directory.Entry) bool { return e.Endpoint.Name == name })
		s.history = append(s.history, change{revision: s.revision + 1, removed: []string{name}})
	})
}

// addEndpoint adds an endpoint.
func (s *source) addEndpoint(name string) {
	s.update(func() {
		s.entries = append(slices.Clone(s.entries), entry(name))
		s.history = append(s.history, change{revision: s.revision + 1, changed: []directory.Entry{entry(name)}})
	})
}

// ageOf returns the age of the follower's state. It has been confirmed before.
func ageOf(f *follow.Follower) time.Duration {
	age, known := f.Age().Get()
	if !known {
		panic("the age of the state is unknown")
	}
	return age
}

func (s *source) config() *route.Config {
	c := &route.Config{Version: s.version}
	if s.unusable {
		c.Routes = []route.Route{{Name: "r"}} // without a host, a prefix or a service
	}
	return c
}

func (s *source) Read(ctx context.Context, fresh bool) (follow.Reading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.unavailable {
		return follow.Reading{}, errUnavailable
	}
	r := follow.Reading{Config: s.config(), List: directory.Reading{Full: true, Entries: s.entries, Revision: directory.Revision{Era: s.era, Number: s.revision}}}
	if fresh {
		s.freshReads++
	} else if s.staleEntries != nil {
		r.List.Entries, r.List.Revision = s.staleEntries, directory.Revision{Era: s.era, Number: s.staleRevision}
	}
	return r, nil
}

// changesSince returns the changes after a revision. s.mu is held.
func (s *source) changesSince(after uint64) follow.Reading {
	r := follow.Reading{List: directory.Reading{Revision: directory.Revision{Era: s.era, Number: s.revision}}, Age: s.peerAge}
	if s.uptime != nil {
		r.SourceUptime = s.uptime()
	}
	if s.revision > after {
		r.Config = s.config()
	}
	for _, c := range s.history {
		if c.revision > after {
			r.List.Entries = append(r.List.Entries, c.changed...)
			r.List.Removed = append(r.List.Removed, c.removed...)
		}
	}
	return r
}

func (s *source) Await(ctx context.Context, after directory.Revision, wait time.Duration) (follow.Reading, error) {
	s.mu.Lock()
	s.awaits++
	s.lastAfter = after.Number
	unavailable, changed, delay := s.unavailable, s.changed, s.delay
	historyLost := s.historyLost || after.Era != s.era
	s.historyLost = false
	if s.revision > after.Number && !unavailable && !historyLost {
		defer s.mu.Unlock()
		return s.changesSince(after.Number), nil
	}
	s.mu.Unlock()
	if historyLost {
		return follow.Reading{}, follow.ErrHistoryLost
	}
	if unavailable {
		<-ctx.Done()
		return follow.Reading{}, errUnavailable
	}
	select {
	case <-changed:
	case <-time.After(wait + delay):
	case <-ctx.Done():
		return follow.Reading{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Era != s.era {
		return follow.Reading{}, follow.ErrHistoryLost
	}
	return s.changesSince(after.Number), nil
}

var timing = follow.Timing{
	Wait: time.Second, Slack: 400 * time.Millisecond, MinInterval: 200 * time.Millisecond,
	OutageThreshold: 2800 * time.Millisecond, EntryReturnTime: 2500 * time.Millisecond,
}

// runFollower runs a follower of the source in a synctest bubble.
func runFollower(t *testing.T, test func(g *WithT, s *source, f *follow.Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSource()
		f := follow.New(follow.Config{
			Source: s, Timing: timing, Log: zerolog.Nop(), Clock: time.Now,
			OnDirectory: func(*directory.Directory) {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)
		test(NewWithT(t), s, f)
	})
}

func sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestChangeIsInForceAtOnce(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		sleep(300 * time.Millisecond)
		g.Expect(f.Table().Version()).To(Equal(uint64(1)))
		s.update(func() { s.version = 7 })
		synctest.Wait()
		g.Expect(f.Table().Version()).To(Equal(uint64(7)))
	})
}

func TestATableIsNeverReplacedByAnOlderOne(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		s.update(func() { s.version = 7 })
		sleep(2 * timing.MinInterval) // the change may come beside the first read
		g.Expect(f.Table().Version()).To(Equal(uint64(7)))
		s.update(func() { s.version = 6 })
		sleep(3 * time.Second)
		g.Expect(f.Table().Version()).To(Equal(uint64(7)))
	})
}

func TestAgeStartsWhenCallIsSent(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		s.configure(func() { s.delay = 200 * time.Millisecond })
		sleep(1100 * time.Millisecond)
		// The waiting call was sent at 0 and hasn't been answered.
		g.Expect(ageOf(f)).To(Equal(1100 * time.Millisecond))
		sleep(200 * time.Millisecond)
		// It was answered at 1.2 s, and only confirms the state as of time 0.
		g.Expect(ageOf(f)).To(Equal(1300 * time.Millisecond))
	})
}

func TestAgeGrowsAndTableStaysDuringOutage(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		sleep(time.Millisecond)
		s.configure(func() { s.unavailable = true })
		sleep(10 * time.Second)
		g.Expect(ageOf(f)).To(BeNumerically(">", 8*time.Second))
		g.Expect(f.Table().Version()).To(Equal(uint64(1)))
		s.configure(func() { s.unavailable = false })
		sleep(time.Second)
		g.Expect(ageOf(f)).To(BeNumerically("<", 1500*time.Millisecond))
	})
}

func TestLostHistoryCausesFullRead(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		sleep(time.Millisecond)
		s.configure(func() {
			s.historyLost = true
			s.version = 9 // changed without waking a call
			s.entries, s.staleEntries = s.entries[:1], s.entries
		})
		sleep(1500 * time.Millisecond)
		g.Expect(f.Table().Version()).To(Equal(uint64(9)))
		g.Expect(f.Directory().ByService("s")).To(HaveLen(1))
		g.Expect(s.freshReads).To(Equal(1), "a cheap read may be older than the present state")
	})
}

func TestOutdatedCheapReadIsUpdatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSource()
		s.staleEntries, s.staleRevision = s.entries, s.revision
		s.removeEndpoint("b")
		f := follow.New(follow.Config{Source: s, Timing: timing, Log: zerolog.Nop(), Clock: time.Now, OnDirectory: func(*directory.Directory) {}})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)
		sleep(timing.MinInterval)
		g.Expect(f.Directory().ByService("s")).To(HaveLen(1))
		g.Expect(s.reads).To(Equal(1))
	})
}

func TestEndpointChangesNeedNoFullRead(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		sleep(300 * time.Millisecond)
		s.removeEndpoint("a")
		synctest.Wait()
		g.Expect(f.Directory().ByService("s")).To(HaveLen(1))
		s.addEndpoint("c")
		sleep(timing.MinInterval)
		g.Expect(f.Directory().ByService("s")).To(HaveLen(2))
		g.Expect(s.reads).To(Equal(1))
	})
}

func TestCallRateIsBoundedUnderConstantChanges(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		for range 1000 {
			s.update(func() { s.version++ })
			sleep(10 * time.Millisecond)
		}
		g.Expect(s.awaits).To(BeNumerically("<=", 52))
		g.Expect(ageOf(f)).To(BeNumerically("<=", 2*timing.MinInterval))
	})
}

func TestExpiredEntriesAreKeptAfterOutage(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		sleep(100 * time.Millisecond)
		s.configure(func() { s.unavailable = true })
		sleep(4 * time.Second)
		s.removeEndpoint("b")
		s.configure(func() { s.unavailable = false })
		sleep(time.Second)
		g.Expect(f.Directory().ByService("s")).To(HaveLen(2))
		sleep(3 * time.Second)
		g.Expect(f.Directory().ByService("s")).To(HaveLen(1))
	})
}

func TestExpiredEntriesAreKeptAfterOutageSeenByPeers(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		sleep(100 * time.Millisecond)
		s.configure(func() {
			s.peerAge = 3500 * time.Millisecond // all calls succeed with outdated state
		})
		sleep(4 * time.Second)
		s.configure(func() { s.peerAge = 0 })
		s.removeEndpoint("b")
		sleep(500 * time.Millisecond)
		g.Expect(f.Directory().ByService("s")).To(HaveLen(2))
		sleep(4 * time.Second)
		g.Expect(f.Directory().ByService("s")).To(HaveLen(1))
	})
}

// Peers sent outdated state while others read the service throughout. Without the report of this
// span TestExpiredEntriesAreKeptAfterOutageSeenByPeers applies.
func TestOutdatedPeerIsNoOutageWhileOthersReadSource(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		start := time.Now()
		sleep(100 * time.Millisecond)
		s.configure(func() {
			s.peerAge = 3500 * time.Millisecond
			s.uptime = func() follow.Span { return follow.Span{From: start, To: time.Now()} }
		})
		sleep(4 * time.Second)
		s.configure(func() { s.peerAge = 0 })
		s.removeEndpoint("b")
		sleep(500 * time.Millisecond)
		g.Expect(f.Directory().ByService("s")).To(HaveLen(1))
	})
}

func TestNothingIsKeptWithoutOutage(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		sleep(3 * time.Second)
		// Without changes a peer's state is up to two waits old, and fresh right after two changes.
		s.configure(func() { s.peerAge = 900 * time.Millisecond })
		sleep(2100 * time.Millisecond)
		s.configure(func() { s.peerAge = 0 })
		s.removeEndpoint("b")
		sleep(timing.MinInterval)
		g.Expect(f.Directory().ByService("s")).To(HaveLen(1))
	})
}

func TestCallAfterFailureDoesNotWait(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		sleep(300 * time.Millisecond)
		s.configure(func() { s.unavailable = true })
		sleep(3 * time.Second)
		s.configure(func() { s.unavailable = false })
		// A call in progress fails within the slack, and a pause follows.
		sleep(timing.Slack + 450*time.Millisecond)
		g.Expect(ageOf(f)).To(BeNumerically("<", timing.Slack+450*time.Millisecond))
		g.Expect(s.reads).To(Equal(1), "missed changes need no full read")
	})
}

func TestInvalidConfigurationKeepsLastAndListUpdates(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		sleep(300 * time.Millisecond)
		s.update(func() { s.version, s.unusable = 7, true })
		sleep(time.Second)
		s.removeEndpoint("b")
		sleep(time.Second)
		g.Expect(f.Table().Version()).To(Equal(uint64(1)))
		g.Expect(f.Directory().ByService("s")).To(HaveLen(1))
		s.update(func() { s.version, s.unusable = 8, false })
		sleep(time.Second)
		g.Expect(f.Table().Version()).To(Equal(uint64(8)))
	})
}

func TestFewCallsWithoutChanges(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		sleep(30 * time.Second)
		g.Expect(s.awaits).To(BeNumerically("<=", 31))
		g.Expect(s.reads).To(Equal(1))
	})
}

// Guards against a state that never grows old again after one answer with an impossible age.
func TestConfirmationAheadOfTimeIsNotBelieved(t *testing.T) {
	runFollower(t, func(g *WithT, s *source, f *follow.Follower) {
		sleep(300 * time.Millisecond)
		s.configure(func() { s.peerAge = math.MinInt64 + 1 })
		sleep(2 * time.Second)
		s.configure(func() { s.unavailable = true })
		sleep(10 * time.Second)
		g.Expect(ageOf(f)).To(BeNumerically(">", 10*time.Second))
		s.configure(func() { s.unavailable, s.peerAge = false, 0 })
		sleep(2 * time.Second)
		g.Expect(ageOf(f)).To(BeNumerically("<", 2*time.Second))
	})
}

// Guards against a table that other goroutines see before it is known how old it is.
func TestTableAndItsConfirmationAreSeenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSource()
		var f *follow.Follower
		f = follow.New(follow.Config{
			Source: s, Timing: timing, Log: zerolog.Nop(), Clock: time.Now, OnDirectory: func(*directory.Directory) {},
			OnConfig: func(*route.Config) {
				known := f.Snapshot()
				g.Expect(known.Table).NotTo(BeNil())
				g.Expect(known.Age.Exceeds(time.Second)).To(BeFalse(), "age %s", known.Age)
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)
		sleep(300 * time.Millisecond)
		g.Expect(f.Table()).NotTo(BeNil())
	})
}
