package follow_test

import (
	"context"
	"errors"
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

var errAway = errors.New("away")

// source is a service in memory whose failures a test switches.
type source struct {
	mu       sync.Mutex
	version  uint64
	revision uint64
	entries  []directory.Entry
	// oldEntries is what a cheap reading of the list gives, if set.
	oldEntries  []directory.Entry
	oldRevision uint64
	history     []change
	changed     chan struct{}

	away      bool
	lost      bool // the next waiting call finds no history
	delay     time.Duration
	peerAge   time.Duration
	watches   int
	reads     int
	freshens  int
	unusable  bool
	lastAfter uint64
	// steady is the span over which others read the service; nil if nobody says.
	steady func() follow.Span
}

// change is what a revision did to the list.
type change struct {
	revision uint64
	set      []directory.Entry
	gone     []string
}

func newSource() *source {
	s := &source{version: 1, revision: 1, changed: make(chan struct{})}
	s.entries = []directory.Entry{entry("a"), entry("b")}
	return s
}

func entry(name string) directory.Entry {
	return directory.Entry{Endpoint: bundle.Endpoint{Name: name, Address: name, Services: []string{"s"}}}
}

// set makes a change that waiting calls are told of.
func (s *source) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// with changes what the service does, which no call is told of.
func (s *source) with(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// leave removes an endpoint.
func (s *source) leave(name string) {
	s.set(func() {
		s.entries = slices.DeleteFunc(slices.Clone(s.entries), func(e directory.Entry) bool { return e.Endpoint.Name == name })
		s.history = append(s.history, change{revision: s.revision + 1, gone: []string{name}})
	})
}

// enter adds one.
func (s *source) enter(name string) {
	s.set(func() {
		s.entries = append(slices.Clone(s.entries), entry(name))
		s.history = append(s.history, change{revision: s.revision + 1, set: []directory.Entry{entry(name)}})
	})
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
	if s.away {
		return follow.Reading{}, errAway
	}
	r := follow.Reading{Config: s.config(), List: directory.Reading{Whole: true, Entries: s.entries, Revision: s.revision}}
	if fresh {
		s.freshens++
	} else if s.oldEntries != nil {
		r.List.Entries, r.List.Revision = s.oldEntries, s.oldRevision
	}
	return r, nil
}

// news is what changed after a revision. s.mu is held.
func (s *source) news(after uint64) follow.Reading {
	r := follow.Reading{List: directory.Reading{Revision: s.revision}, Age: s.peerAge}
	if s.steady != nil {
		r.Steady = s.steady()
	}
	if s.revision > after {
		r.Config = s.config()
	}
	for _, c := range s.history {
		if c.revision > after {
			r.List.Entries = append(r.List.Entries, c.set...)
			r.List.Gone = append(r.List.Gone, c.gone...)
		}
	}
	return r
}

func (s *source) Await(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	s.mu.Lock()
	s.watches++
	s.lastAfter = after
	away, lost, changed, delay := s.away, s.lost, s.changed, s.delay
	s.lost = false
	if s.revision > after && !away && !lost {
		defer s.mu.Unlock()
		return s.news(after), nil
	}
	s.mu.Unlock()
	if lost {
		return follow.Reading{}, follow.ErrHistoryLost
	}
	if away {
		<-ctx.Done()
		return follow.Reading{}, errAway
	}
	select {
	case <-changed:
	case <-time.After(wait + delay):
	case <-ctx.Done():
		return follow.Reading{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.news(after), nil
}

var timing = follow.Timing{
	Wait: time.Second, Slack: 400 * time.Millisecond, Pace: 200 * time.Millisecond,
	Outage: 2800 * time.Millisecond, Return: 2500 * time.Millisecond,
}

// play runs a follower of the source in a bubble of fake time.
func play(t *testing.T, do func(g *WithT, s *source, f *follow.Follower)) {
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
		do(NewWithT(t), s, f)
	})
}

func after(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestAChangeIsInForceAtOnce(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(300 * time.Millisecond)
		g.Expect(f.Table().Version()).To(Equal(uint64(1)))
		s.set(func() { s.version = 7 })
		synctest.Wait()
		g.Expect(f.Table().Version()).To(Equal(uint64(7)))
	})
}

func TestATableIsNeverReplacedByAnOlderOne(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		s.set(func() { s.version = 7 })
		after(time.Millisecond)
		s.set(func() { s.version = 6 })
		after(3 * time.Second)
		g.Expect(f.Table().Version()).To(Equal(uint64(7)))
	})
}

func TestAgeCountsFromWhenAReadingWasSent(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		s.with(func() { s.delay = 200 * time.Millisecond })
		after(1100 * time.Millisecond)
		// The call that waits was sent at 0 and hasn't been answered.
		g.Expect(f.Age()).To(Equal(1100 * time.Millisecond))
		after(200 * time.Millisecond)
		// It has been, at 1.2 s, and tells of the moment 0 at the earliest.
		g.Expect(f.Age()).To(Equal(1300 * time.Millisecond))
	})
}

func TestAgeGrowsWhileTheSourceIsAwayAndTheTableStays(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(time.Millisecond)
		s.with(func() { s.away = true })
		after(10 * time.Second)
		g.Expect(f.Age()).To(BeNumerically(">", 8*time.Second))
		g.Expect(f.Table().Version()).To(Equal(uint64(1)))
		s.with(func() { s.away = false })
		after(time.Second)
		g.Expect(f.Age()).To(BeNumerically("<", 1500*time.Millisecond))
	})
}

func TestALostHistoryHasTheWholeReadAgain(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(time.Millisecond)
		s.with(func() {
			s.lost = true
			s.version = 9 // changed where no call was told of it
			s.entries, s.oldEntries = s.entries[:1], s.entries
		})
		after(1500 * time.Millisecond)
		g.Expect(f.Table().Version()).To(Equal(uint64(9)))
		g.Expect(f.Directory().For("s")).To(HaveLen(1))
		g.Expect(s.freshens).To(Equal(1), "a cheap reading may be older than what was known")
	})
}

func TestACheapReadingThatIsOldIsCaughtUpAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSource()
		s.oldEntries, s.oldRevision = s.entries, s.revision
		s.leave("b")
		f := follow.New(follow.Config{Source: s, Timing: timing, Log: zerolog.Nop(), Clock: time.Now, OnDirectory: func(*directory.Directory) {}})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)
		after(timing.Pace)
		g.Expect(f.Directory().For("s")).To(HaveLen(1))
		g.Expect(s.reads).To(Equal(1))
	})
}

func TestEndpointsComeAndGoWithoutReadingTheListAgain(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(300 * time.Millisecond)
		s.leave("a")
		synctest.Wait()
		g.Expect(f.Directory().For("s")).To(HaveLen(1))
		s.enter("c")
		after(timing.Pace)
		g.Expect(f.Directory().For("s")).To(HaveLen(2))
		g.Expect(s.reads).To(Equal(1))
	})
}

func TestChangesWithoutEndAreAskedForAtAPace(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		for range 1000 {
			s.set(func() { s.version++ })
			after(10 * time.Millisecond)
		}
		g.Expect(s.watches).To(BeNumerically("<=", 52))
		g.Expect(f.Age()).To(BeNumerically("<=", 2*timing.Pace))
	})
}

func TestEntriesThatLapsedInAnOutageAreKeptUntilTheyWouldBeBack(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(100 * time.Millisecond)
		s.with(func() { s.away = true })
		after(4 * time.Second)
		s.leave("b")
		s.with(func() { s.away = false })
		after(time.Second)
		g.Expect(f.Directory().For("s")).To(HaveLen(2))
		after(3 * time.Second)
		g.Expect(f.Directory().For("s")).To(HaveLen(1))
	})
}

func TestAnOutageThatOnlyThePeersNoticedKeepsEntriesToo(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(100 * time.Millisecond)
		s.with(func() {
			s.peerAge = 3500 * time.Millisecond // all calls succeed, what they tell is old
		})
		after(4 * time.Second)
		s.with(func() { s.peerAge = 0 })
		s.leave("b")
		after(500 * time.Millisecond)
		g.Expect(f.Directory().For("s")).To(HaveLen(2))
		after(4 * time.Second)
		g.Expect(f.Directory().For("s")).To(HaveLen(1))
	})
}

// What peers told was old, while others read the service all the while: the same without
// the words on that is TestAnOutageThatOnlyThePeersNoticedKeepsEntriesToo.
func TestAGapInWhatPeersTellIsNoOutageWhereOthersReadOn(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		begun := time.Now()
		after(100 * time.Millisecond)
		s.with(func() {
			s.peerAge = 3500 * time.Millisecond
			s.steady = func() follow.Span { return follow.Span{From: begun, To: time.Now()} }
		})
		after(4 * time.Second)
		s.with(func() { s.peerAge = 0 })
		s.leave("b")
		after(500 * time.Millisecond)
		g.Expect(f.Directory().For("s")).To(HaveLen(1))
	})
}

func TestKnowledgeThatGetsFreshWithoutAnOutageKeepsNothing(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(3 * time.Second)
		// A peer in calm times: what it knows is up to two waits old, and fresh right
		// after something changed there twice.
		s.with(func() { s.peerAge = 900 * time.Millisecond })
		after(2100 * time.Millisecond)
		s.with(func() { s.peerAge = 0 })
		s.leave("b")
		after(timing.Pace)
		g.Expect(f.Directory().For("s")).To(HaveLen(1))
	})
}

func TestAfterAFailedCallTheNextDoesNotWait(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(300 * time.Millisecond)
		s.with(func() { s.away = true })
		after(3 * time.Second)
		s.with(func() { s.away = false })
		// A call that is under way fails within the slack, and a pause follows.
		after(timing.Slack + 450*time.Millisecond)
		g.Expect(f.Age()).To(BeNumerically("<", timing.Slack+450*time.Millisecond))
		g.Expect(s.reads).To(Equal(1), "what changed meanwhile is known without reading the whole")
	})
}

func TestAConfigurationThatCannotBeUsedLeavesTheLastAndTheListFollowed(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(300 * time.Millisecond)
		s.set(func() { s.version, s.unusable = 7, true })
		after(time.Second)
		s.leave("b")
		after(time.Second)
		g.Expect(f.Table().Version()).To(Equal(uint64(1)))
		g.Expect(f.Directory().For("s")).To(HaveLen(1))
		s.set(func() { s.version, s.unusable = 8, false })
		after(time.Second)
		g.Expect(f.Table().Version()).To(Equal(uint64(8)))
	})
}

func TestCallsStayFewWhileNothingChanges(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(30 * time.Second)
		g.Expect(s.watches).To(BeNumerically("<=", 31))
		g.Expect(s.reads).To(Equal(1))
	})
}
