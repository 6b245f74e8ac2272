package follow_test

import (
	"context"
	"errors"
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
	changed     chan struct{}

	away     bool
	lost     bool // the next waiting call finds no history
	delay    time.Duration
	watches  int
	configs  int
	freshers int
}

func newSource() *source {
	s := &source{version: 1, revision: 1, changed: make(chan struct{})}
	s.entries = []directory.Entry{entry("a"), entry("b")}
	return s
}

func entry(name string) directory.Entry {
	return directory.Entry{Endpoint: bundle.Endpoint{Name: name, Address: name, Services: []string{"s"}}}
}

func (s *source) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) reading() follow.Reading {
	return follow.Reading{Config: &route.Config{Version: s.version}, Revision: s.revision}
}

func (s *source) Config(ctx context.Context) (follow.Reading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configs++
	if s.away {
		return follow.Reading{}, errAway
	}
	return s.reading(), nil
}

func (s *source) AwaitConfig(ctx context.Context, after uint64, wait time.Duration) (follow.Reading, error) {
	s.mu.Lock()
	s.watches++
	away, lost, changed := s.away, s.lost, s.changed
	s.lost = false
	if s.revision > after && !away && !lost {
		defer s.mu.Unlock()
		return s.reading(), nil
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
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.reading(), nil
	case <-time.After(wait + s.delay):
		return follow.Reading{Revision: after}, nil
	case <-ctx.Done():
		return follow.Reading{}, ctx.Err()
	}
}

func (s *source) Endpoints(ctx context.Context, fresh bool) (directory.Reading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return directory.Reading{}, errAway
	}
	if !fresh && s.oldEntries != nil {
		return directory.Reading{Entries: s.oldEntries, Revision: s.oldRevision}, nil
	}
	if fresh {
		s.freshers++
	}
	return directory.Reading{Entries: s.entries, Revision: s.revision}, nil
}

var timing = follow.Timing{
	Wait: time.Second, Slack: 400 * time.Millisecond, ListEvery: 500 * time.Millisecond,
	Read: 600 * time.Millisecond, Return: 2500 * time.Millisecond,
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
		s.delay = 200 * time.Millisecond
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
		s.mu.Lock()
		s.away = true
		s.mu.Unlock()
		after(10 * time.Second)
		g.Expect(f.Age()).To(BeNumerically(">", 8*time.Second))
		g.Expect(f.Table().Version()).To(Equal(uint64(1)))
		s.mu.Lock()
		s.away = false
		s.mu.Unlock()
		after(time.Second)
		g.Expect(f.Age()).To(BeNumerically("<", 1500*time.Millisecond))
	})
}

func TestALostHistoryHasTheWholeReadAgain(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(time.Millisecond)
		s.mu.Lock()
		s.lost = true
		s.version = 9 // changed where no watch saw it
		s.mu.Unlock()
		after(1200 * time.Millisecond)
		g.Expect(f.Table().Version()).To(Equal(uint64(9)))
	})
}

func TestAListOlderThanWhatIsKnownIsReadAgain(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(100 * time.Millisecond)
		s.set(func() {
			s.oldEntries, s.oldRevision = s.entries, s.revision
			s.entries = s.entries[:1]
			s.version = 2
		})
		after(600 * time.Millisecond)
		g.Expect(f.Directory().For("s")).To(HaveLen(1))
		g.Expect(s.freshers).To(BeNumerically(">", 0))
	})
}

func TestEntriesThatLapsedInAnOutageAreKeptUntilTheyWouldBeBack(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(100 * time.Millisecond)
		s.mu.Lock()
		s.away = true
		s.mu.Unlock()
		after(4 * time.Second)
		s.set(func() { s.away, s.entries = false, s.entries[:1] })
		after(time.Second)
		g.Expect(f.Directory().For("s")).To(HaveLen(2))
		after(3 * time.Second)
		g.Expect(f.Directory().For("s")).To(HaveLen(1))
	})
}

func TestCallsStayFewWhileNothingChanges(t *testing.T) {
	play(t, func(g *WithT, s *source, f *follow.Follower) {
		after(30 * time.Second)
		g.Expect(s.watches).To(BeNumerically("<=", 31))
		g.Expect(s.configs).To(Equal(1))
		g.Expect(s.freshers).To(BeZero())
	})
}
