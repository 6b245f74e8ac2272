package schedtest_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coveferry/internal/load"
	"coveferry/internal/sched"
	"coveferry/internal/sched/schedtest"
	"coveferry/internal/sched/tiered"
)

var epoch = time.Unix(1_000_000, 0)

// TestMain sets a fixed seed unless one is given, so that results are
// reproducible. FuzzAgainstReference explores other inputs.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("1") // can't fail for a number
	}
	os.Exit(m.Run())
}

// chooser returns the next choice below limit, from rapid or from the fuzzer's
// input.
type chooser func(limit int) int

func fromRapid(t *rapid.T) chooser {
	return func(limit int) int { return rapid.IntRange(0, limit-1).Draw(t, "choice") }
}

// config chooses a small configuration, so that its limits are reached often.
func (pick chooser) config() tiered.Config {
	return tiered.Config{
		Slots:                1 + pick(4),
		QueueEntries:         pick(6),
		QueueBytes:           pick(3) * 20,
		Preempt:              pick(3) > 0,
		MaxPreemptions:       1 + pick(2),
		ReserveShare:         []float64{0.0001, 0.01, 0.2, 1}[pick(4)],
		ReserveAfter:         time.Duration(1+pick(500)) * time.Millisecond,
		RefuseLateFirstToken: pick(4) == 0,
	}
}

// job chooses a job out of few teams, classes and tiers.
func (pick chooser) job(now time.Time, id sched.JobID) sched.Job {
	j := sched.Job{
		ID:          id,
		Team:        fmt.Sprint("team", pick(3)),
		Class:       fmt.Sprint("class", pick(3)),
		Tier:        pick(3),
		Bytes:       1 + pick(15),
		Preemptible: pick(3) > 0,
	}
	if pick(5) > 0 {
		j.FirstTokenBy = now.Add(time.Duration(pick(3000)) * time.Millisecond)
	}
	if pick(5) > 0 {
		j.Deadline = now.Add(time.Duration(pick(8000)) * time.Millisecond)
	}
	return j
}

// comparison applies the same steps to the policy and to the reference.
type comparison struct {
	pick      chooser
	now       time.Time
	lastID    sched.JobID
	policy    sched.Policy
	reference sched.Policy
	tracker   *jobTracker
	fail      func(format string, args ...any)
}

func newComparison(pick chooser, fail func(string, ...any)) *comparison {
	cfg := pick.config()
	return &comparison{
		pick: pick, now: epoch, fail: fail,
		policy: tiered.New(cfg), reference: schedtest.NewReference(cfg), tracker: newJobTracker(cfg),
	}
}

// chooseID chooses the id of a job that may be unknown to the policy.
func (c *comparison) chooseID() sched.JobID { return sched.JobID(1 + c.pick(int(c.lastID)+1)) }

// step applies one chosen step and compares the resulting decisions.
func (c *comparison) step() {
	c.now = c.now.Add([]time.Duration{0, time.Microsecond, 7 * time.Millisecond, 400 * time.Millisecond}[c.pick(4)])
	switch c.pick(8) {
	case 0, 1, 2:
		c.offer()
	case 3:
		c.both(func(p sched.Policy) { p.Requeue(c.now, c.tracker.beingPreempted) })
		c.tracker.requeue()
	case 4:
		id := c.chooseID()
		c.both(func(p sched.Policy) { p.Finish(c.now, id) })
		c.tracker.finish(id)
	case 5:
		if id, ok := c.tracker.chooseRunning(c.pick); ok {
			c.both(func(p sched.Policy) { p.Finish(c.now, id) })
			c.tracker.finish(id)
		}
	case 6:
		if wake := c.reference.Wake(); wake.After(c.now) {
			c.now = wake
		}
	default:
		id, n := c.chooseID(), c.pick(200)
		c.both(func(p sched.Policy) { p.Tokens(c.now, id, n) })
	}
	c.applyDecisions()
}

func (c *comparison) both(do func(sched.Policy)) {
	do(c.policy)
	do(c.reference)
}

func (c *comparison) offer() {
	c.lastID++
	j := c.pick.job(c.now, c.lastID)
	got, want := c.policy.Offer(c.now, j), c.reference.Offer(c.now, j)
	if got != want {
		c.fail("Offer(%+v) = %+v, want %+v", j, got, want)
	}
	if err := c.tracker.applyVerdict(j, got); err != nil {
		c.fail("Offer(%+v) = %+v: %v", j, got, err)
	}
}

// applyDecisions compares decisions until there are none, then loads and
// wakeup times.
func (c *comparison) applyDecisions() {
	for {
		got, want := c.policy.Next(c.now), c.reference.Next(c.now)
		if got != want {
			c.fail("Next = %+v, want %+v", got, want)
		}
		if got.Action == sched.ActionNone {
			break
		}
		if err := c.tracker.applyDecision(got); err != nil {
			c.fail("%+v: %v", got, err)
		}
	}
	if got, want := c.policy.Load(c.now), c.reference.Load(c.now); got != want {
		c.fail("Load = %+v, want %+v", got, want)
	}
	if got, want := c.policy.Wake(), c.reference.Wake(); !got.Equal(want) {
		c.fail("Wake = %v, want %v", got, want)
	}
	if err := c.tracker.check(c.policy.Load(c.now)); err != nil {
		c.fail("%v", err)
	}
}

// TestAgainstReference compares every decision with the reference and checks
// the invariants of jobTracker.
func TestAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newComparison(fromRapid(t), t.Fatalf)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			c.step()
		}
	})
}

// FuzzAgainstReference is TestAgainstReference with choices from fuzzer input.
func FuzzAgainstReference(f *testing.F) {
	f.Add([]byte("tiers go strictly before one another, teams share a tier, deadlines order a team"))
	f.Fuzz(func(t *testing.T, data []byte) {
		pick := func(limit int) int {
			if len(data) < 2 {
				return 0
			}
			n := int(data[0])<<8 | int(data[1])
			data = data[2:]
			return n % limit
		}
		c := newComparison(pick, t.Fatalf)
		for range 400 {
			if len(data) < 2 {
				return
			}
			c.step()
		}
	})
}

// total returns the number of waiting and running jobs.
func total(r load.Report) int { return r.TotalQueued() + r.TotalRunning() }
