package tiered_test

import (
	"fmt"
	"testing"
	"time"

	"coveferry/internal/sched"
	"coveferry/internal/sched/tiered"
)

const (
	benchSlots   = 64
	benchTiers   = 4
	benchTeams   = 50
	benchClasses = 6
)

// benchJob distributes ids over tiers, teams and classes.
func benchJob(now time.Time, id uint64, names []string) sched.Job {
	mix := id * 0x9e3779b97f4a7c15 >> 33
	return sched.Job{
		ID:           sched.JobID(id),
		Team:         names[mix%benchTeams],
		Class:        names[mix/64%benchClasses],
		Tier:         int(mix / 512 % benchTiers),
		FirstTokenBy: now.Add(time.Duration(mix%1000) * time.Hour),
		Deadline:     now.Add(time.Duration(1000+mix%1000) * time.Hour),
		Bytes:        1000,
		Preemptible:  mix%2 == 0,
	}
}

// BenchmarkScheduler measures one scheduling round at a constant queue depth: a
// job arrives, a running one produces its tokens and finishes, and Next is
// called until it returns ActionNone.
func BenchmarkScheduler(b *testing.B) {
	for _, queued := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			round := rounds(b, queued)
			b.ReportAllocs()
			for b.Loop() {
				round()
			}
		})
	}
}

// TestSchedulingRoundDoesNotAllocate checks that a round with 10,000 waiting jobs
// allocates no memory.
func TestSchedulingRoundDoesNotAllocate(t *testing.T) {
	if n := testing.AllocsPerRun(1000, rounds(t, 10_000)); n > 0 {
		t.Errorf("%v allocations a round, want none", n)
	}
}

// rounds fills a scheduler to the given queue depth and returns a function that
// runs one round on it.
func rounds(b testing.TB, queued int) func() {
	names := make([]string, benchTeams)
	for i := range names {
		names[i] = fmt.Sprintf("name-%d", i)
	}
	s := tiered.New(tiered.Config{
		Slots: benchSlots, QueueEntries: 2 * queued, QueueBytes: 1 << 40,
		Preempt: true, Disabled: tiered.Mechanisms{EarlyRefusal: true},
	})
	now := epoch
	var id uint64
	running := make([]sched.JobID, 0, benchSlots+1)
	next := func() {
		for d := s.Next(now); d.Action == sched.ActionStart; d = s.Next(now) {
			running = append(running, d.Job)
		}
	}
	offer := func() {
		id++
		s.Offer(now, benchJob(now, id, names))
		next()
	}
	round := func() {
		now = now.Add(time.Millisecond)
		offer()
		first := running[0]
		copy(running, running[1:])
		running = running[:len(running)-1]
		s.Tokens(now, first, 200)
		s.Finish(now, first)
		next()
	}
	for range queued + benchSlots {
		offer()
	}
	for range queued {
		round()
	}
	if got := s.Load(now).TotalQueued(); got != queued {
		b.Fatalf("%d queued, want %d", got, queued)
	}
	return round
}
