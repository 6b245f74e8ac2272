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
func (m *comparison) chooseID() sched.JobID { return sched.JobID(1 + m.pick(int(m.lastID)+1)) }

// step applies one chosen step and compares the resulting decisions.
func (m *comparison) step() {
	m.now = m.now.Add([]time.Duration{0, time.Microsecond, 7 * time.Millisecond, 400 * time.Millisecond}[m.pick(4)])
	switch m.pick(8) {
	case 0, 1, 2:
		m.offer()
	case 3:
		m.both(func(p sched.Policy) { p.Requeue(m.now, m.tracker.preempting) })
		m.tracker.requeue()
	case 4:
		id := m.chooseID()
		m.both(func(p sched.Policy) { p.Finish(m.now, id) })
		m.tracker.finish(id)
	case 5:
		if id, ok := m.tracker.chooseRunning(m.pick); ok {
			m.both(func(p sched.Policy) { p.Finish(m.now, id) })
			m.tracker.finish(id)
		}
	case 6:
		if wake := m.reference.Wake(); wake.After(m.now) {
			m.now = wake
		}
	default:
		id, n := m.chooseID(), m.pick(200)
		m.both(func(p sched.Policy) { p.Tokens(m.now, id, n) })
	}
	m.applyDecisions()
}

func (m *comparison) both(do func(sched.Policy)) {
	do(m.policy)
	do(m.reference)
}

func (m *comparison) offer() {
	m.lastID++
	j := m.pick.job(m.now, m.lastID)
	got, want := m.policy.Offer(m.now, j), m.reference.Offer(m.now, j)
	if got != want {
		m.fail("Offer(%+v) = %+v, want %+v", j, got, want)
	}
	if err := m.tracker.applyVerdict(j, got); err != nil {
		m.fail("Offer(%+v) = %+v: %v", j, got, err)
	}
}

// applyDecisions compares decisions until there are none, then loads and
// wakeup times.
func (m *comparison) applyDecisions() {
	for {
		got, want := m.policy.Next(m.now), m.reference.Next(m.now)
		if got != want {
			m.fail("Next = %+v, want %+v", got, want)
		}
		if got.Action == sched.ActionNone {
			break
		}
		if err := m.tracker.applyDecision(got); err != nil {
			m.fail("%+v: %v", got, err)
		}
	}
	if got, want := m.policy.Load(m.now), m.reference.Load(m.now); got != want {
		m.fail("Load = %+v, want %+v", got, want)
	}
	if got, want := m.policy.Wake(), m.reference.Wake(); !got.Equal(want) {
		m.fail("Wake = %v, want %v", got, want)
	}
	if err := m.tracker.check(m.policy.Load(m.now)); err != nil {
		m.fail("%v", err)
	}
}

// TestAgainstReference compares every decision with the reference and checks
// the invariants of jobTracker.
func TestAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newComparison(fromRapid(t), t.Fatalf)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.step()
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
		m := newComparison(pick, t.Fatalf)
		for range 400 {
			if len(data) < 2 {
				return
			}
			m.step()
		}
	})
}

// total returns the number of waiting and running jobs.
func total(r load.Report) int { return r.TotalQueued() + r.TotalRunning() }
