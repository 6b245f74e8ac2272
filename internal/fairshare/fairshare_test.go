package fairshare

import (
	"encoding/json"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// always returns a source of randomness that always returns x.
func always(x float64) func() float64 { return func() float64 { return x } }

var start = time.Unix(1e9, 0)

// fill has teams request work for two seconds at the given pressure.
func fill(l *Ledger, rank int, pressure float64, perStep map[string]float64) (now time.Time) {
	for step := range 200 {
		now = start.Add(time.Duration(step) * 10 * time.Millisecond)
		for team, work := range perStep {
			l.Admit(now, "s", rank, team, work, pressure)
		}
	}
	return now
}

// Guards against refusals while there is capacity for all.
func TestNothingIsRefusedBelowTheThinningPressure(t *testing.T) {
	g := NewWithT(t)
	l := New(Config{Rand: always(0.999)})
	for i := range 1000 {
		v := l.Admit(start.Add(time.Duration(i)*time.Millisecond), "s", 1, "large", 10, 0.45)
		g.Expect(v.Admitted).To(BeTrue())
		g.Expect(v.Limiting).To(BeFalse())
	}
}

// Guards against credit for idle time: a team that returns is above the level like any other.
func TestIdleTeamIsNotAdmittedAboveTheLevelWhenItReturns(t *testing.T) {
	g := NewWithT(t)
	l := New(Config{Rand: always(0.999)})
	now := fill(l, 1, 0.85, map[string]float64{"a": 0.01, "b": 0.01})
	l.Admit(start.Add(-time.Hour), "s", 1, "idle", 0.01, 0)
	admitted := 0
	for i := range 400 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		l.Admit(at, "s", 1, "a", 0.01, 0.85)
		l.Admit(at, "s", 1, "b", 0.01, 0.85)
		if l.Admit(at, "s", 1, "idle", 0.01, 0.85).Admitted {
			admitted++
		}
	}
	g.Expect(admitted).To(BeNumerically("<", 100), "until its sum reaches the level")
}

// Guards against refusing a more urgent request because less urgent work of its team is above the level.
func TestHigherTierIsNotRefusedForALowerOne(t *testing.T) {
	g := NewWithT(t)
	l := New(Config{Rand: always(0.999)})
	now := fill(l, 2, 0.95, map[string]float64{"a": 1, "b": 0.01})
	g.Expect(l.Admit(now, "s", 2, "a", 1, 0.95).Admitted).To(BeFalse())
	g.Expect(l.Admit(now, "s", 0, "a", 1, 0.2).Admitted).To(BeTrue())
}

// Guards against an admission that takes teams which reach only this router for large ones.
func TestNothingIsRefusedWhileOthersAreSilent(t *testing.T) {
	g := NewWithT(t)
	told, known := Sums(nil), 2
	l := New(Config{Rand: always(0.999), Peers: func() (Sums, int) { return told, known }})
	now := fill(l, 1, 0.85, map[string]float64{"large": 1, "b": 0.01})
	v := l.Admit(now, "s", 1, "large", 1, 0.85)
	g.Expect(v.Admitted).To(BeTrue())
	g.Expect(v.Limiting).To(BeFalse())
	known = 0
	g.Expect(l.Admit(now.Add(time.Second), "s", 1, "large", 1, 0.85).Admitted).To(BeFalse())
	told, known = Sums{{Service: "s", Rank: 1, Routers: 2}}, 2
	g.Expect(l.Admit(now.Add(1500*time.Millisecond), "s", 1, "large", 1, 0.85).Admitted).To(BeFalse())
}

func TestChargeIsSettledOnce(t *testing.T) {
	g := NewWithT(t)
	l := New(Config{Rand: always(0)})
	charge := l.Admit(start, "s", 1, "a", 4, 0.5).Charge
	value := func() float64 { return l.groups[groupKey{"s", 1}].value(start, "a") }
	charge.Settle(start, 1)
	charge.Settle(start, 100)
	g.Expect(value()).To(BeNumerically("~", 1, 1e-9))
	charge = l.Charge(start, "s", 1, "a", 3)
	charge.Settle(start, math.NaN())
	g.Expect(value()).To(BeNumerically("~", 1, 1e-9), "an answer that broke off before it began")
	var none *Charge
	none.Settle(start, 1)
}

// Guards against a correction that is larger than what is left of the charge.
func TestCorrectionDecaysLikeTheCharge(t *testing.T) {
	g := NewWithT(t)
	l := New(Config{Rand: always(0)})
	charge := l.Charge(start, "s", 1, "a", 4)
	now := start.Add(2 * time.Second)
	charge.Settle(now, 2)
	g.Expect(l.groups[groupKey{"s", 1}].value(now, "a")).To(BeNumerically("~", 0.5, 1e-9))
}

// Guards against a charge that follows a key to another team while the request waits.
func TestChargeStaysWithTheTeamThatWasCharged(t *testing.T) {
	g := NewWithT(t)
	l := New(Config{Rand: always(0)})
	charge := l.Admit(start, "s", 1, "before", 4, 0.5).Charge
	l.Admit(start, "s", 1, "after", 4, 0.5)
	charge.Settle(start, 0)
	group := l.groups[groupKey{"s", 1}]
	g.Expect(group.value(start, "before")).To(BeZero())
	g.Expect(group.value(start, "after")).To(BeNumerically("~", 4, 1e-9))
}

func TestStateIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := New(Config{Rand: always(0)})
	for i := range 3 * maxTeams {
		l.Admit(start.Add(time.Duration(i)*time.Millisecond), "s", 1, fmt.Sprint("team-", i), 1, 0.5)
	}
	group := l.groups[groupKey{"s", 1}]
	g.Expect(group.teams).To(HaveLen(maxTeams))
	g.Expect(group.teams).To(HaveKey(fmt.Sprint("team-", 3*maxTeams-1)))
	for i := range 3 * maxGroups {
		l.Admit(start.Add(time.Minute), fmt.Sprint("s", i), 1, "a", 1, 0.5)
	}
	g.Expect(len(l.groups)).To(BeNumerically("<=", maxGroups))
}

func TestFairLevel(t *testing.T) {
	g := NewWithT(t)
	g.Expect(fairLevel([]load{{1, 1}, {8, 1}, {1, 2}}, 6.0/11)).To(BeNumerically("~", 3, 1e-9))
	g.Expect(fairLevel([]load{{2, 1}, {2, 1}}, 0.5)).To(BeNumerically("~", 1, 1e-9))
	g.Expect(math.IsInf(fairLevel([]load{{2, 1}}, 1), 1)).To(BeTrue())
	g.Expect(math.IsInf(fairLevel(nil, 0.5), 1)).To(BeTrue())
	g.Expect(fairLevel([]load{{2, 1}}, 0)).To(BeZero())
}

// Guards against values of another router that are negative, not finite or too large.
func TestReportOfAnotherRouterIsChecked(t *testing.T) {
	g := NewWithT(t)
	sums := Sums{
		{Service: "s", Rank: 1, Teams: map[string]float64{"ok": 1, "negative": -1, "huge": 1e300, "nan": math.NaN(), "inf": math.Inf(1)}, Rest: math.NaN(), RestTeams: 3},
		{Service: "s", Rank: 1, Teams: map[string]float64{"repeated": 1}},
		{Service: "", Rank: 1}, {Service: "s", Rank: -1}, {Service: "t", Rank: math.MaxInt}, {Service: "u", Rest: 5, RestTeams: math.MaxInt},
	}
	checked := sums.Checked(1, anyService)
	g.Expect(checked).To(HaveLen(2))
	g.Expect(checked[0].Teams).To(Equal(map[string]float64{"ok": 1}))
	g.Expect(checked[0].RestTeams).To(BeZero())
	g.Expect(checked[1].Rest).To(BeZero())
	many := make(map[string]float64)
	for i := range 5000 {
		many[fmt.Sprint(i)] = 1
	}
	g.Expect(len(Sums{{Service: "s", Teams: many}}.Checked(1, anyService)[0].Teams)).To(BeNumerically("<=", maxReportedTeams))
}

// Guards against messages that grow with the number of teams.
func TestMessageIsBounded(t *testing.T) {
	g := NewWithT(t)
	for _, teams := range []int{24, 290, 1000} {
		l := New(Config{Rand: always(0)})
		for rank := range 3 {
			for i := range teams {
				l.Admit(start, "service-name", rank, fmt.Sprintf("team-%04d", i), 1+float64(i)/7, 1)
			}
		}
		text, err := json.Marshal(l.Report(start).Trim(1024))
		g.Expect(err).NotTo(HaveOccurred())
		t.Logf("%d teams at 3 ranks: %d bytes", teams, len(text))
		g.Expect(len(text)).To(BeNumerically("<=", 1024))
		if teams == 24 {
			for _, group := range l.Report(start).Trim(1024) {
				g.Expect(group.Teams).To(HaveLen(24), "all fit")
			}
		}
	}
}

// Guards against messages while nothing is short, and against reports that keep each other alive.
func TestNothingIsReportedWithoutPressure(t *testing.T) {
	g := NewWithT(t)
	var told Sums
	l := New(Config{Rand: always(0), Peers: func() (Sums, int) { return told, 1 }})
	l.Admit(start, "s", 1, "a", 1, 0.2)
	g.Expect(l.Report(start)).To(BeEmpty())
	told = Sums{{Service: "s", Rank: 1, Short: true}}
	report := l.Report(start)
	g.Expect(report).To(HaveLen(1))
	g.Expect(report[0].Short).To(BeFalse(), "it saw no pressure itself")
	told = report
	g.Expect(l.Report(start)).To(BeEmpty())
	told = Sums{{Service: "t", Rank: 1, Short: true}}
	g.Expect(l.Report(start).find(groupKey{"t", 1})).To(Equal(Group{Service: "t", Rank: 1, Routers: 1, Teams: map[string]float64{}}), "that there is no work here is told too")
}

// Guards against a rest of many small teams that counts as nothing, which would leave the listed teams
// to bear the whole shortage.
func TestTeamsThatAreNotListedCount(t *testing.T) {
	g := NewWithT(t)
	many := make(map[string]float64)
	for i := range 290 {
		many[fmt.Sprintf("team-%03d", i)] = 1
	}
	told := Sums{{Service: "s", Rank: 1, Teams: many, Short: true, Routers: 1}}.Trim(1024)
	g.Expect(told[0].total()).To(BeNumerically("~", 290, 1e-6))
	l := New(Config{Rand: always(0.999), Peers: func() (Sums, int) { return told, 1 }})
	for _, team := range []string{"team-000", "team-289"} {
		v := l.Admit(start, "s", 1, team, 0.001, 0.75)
		g.Expect(v.Level).To(BeNumerically("~", ratePerSecond(0.5), 0.01))
		g.Expect(v.Load).To(BeNumerically("~", ratePerSecond(1), 0.01), team)
	}
}

// Guards against data races, under the race detector.
func TestLedgerIsSafeForConcurrentUse(t *testing.T) {
	g := NewWithT(t)
	var reports, handlers sync.WaitGroup
	var other *Ledger
	l := New(Config{Rand: always(0.5), Peers: func() (Sums, int) { return other.Report(start), 1 }})
	other = New(Config{Rand: always(0.5)})
	for i := range 4 {
		handlers.Go(func() {
			for n := range 200 {
				now := start.Add(time.Duration(n) * 10 * time.Millisecond)
				l.Admit(now, "s", i%2, fmt.Sprint("team-", n%7), 1, 1).Charge.Settle(now, 0.5)
				other.Admit(now, "s", i%2, fmt.Sprint("team-", n%5), 1, 1)
			}
		})
		reports.Go(func() {
			for n := range 50 {
				l.Report(start.Add(time.Duration(n) * 10 * time.Millisecond))
			}
		})
	}
	handlers.Wait()
	reports.Wait()
	g.Expect(l.Report(start.Add(2 * time.Second))).NotTo(BeEmpty())
}

func anyService(string) bool { return true }

// Guards against a router that reports for more routers or more work than there can be, and against state
// for services that the receiver doesn't have.
func TestReportIsBoundedByRoutersAndOwnServices(t *testing.T) {
	g := NewWithT(t)
	sums := Sums{
		{Service: "s", Rank: 1, Routers: 500, Teams: map[string]float64{"large": 0.9 * maxRouterSum, "too large": 1.1 * maxRouterSum}},
		{Service: "s", Rank: 2, Routers: 500, Teams: map[string]float64{"a": 0.9 * maxRouterSum, "b": 0.9 * maxRouterSum}},
		{Service: "other", Routers: 1, Teams: map[string]float64{"a": 1}},
	}
	own := func(service string) bool { return service == "s" }
	checked := sums.Checked(1, own)
	g.Expect(checked).To(HaveLen(1))
	g.Expect(checked[0].Routers).To(Equal(1))
	g.Expect(checked[0].Teams).To(Equal(map[string]float64{"large": 0.9 * maxRouterSum}))
	g.Expect(sums.Checked(2, own)).To(HaveLen(2))
}

// Guards against requests that state nothing of their work and count as a constant, which is far too much or
// too little depending on the service.
func TestRequestOfUnknownWorkCountsAsTheMean(t *testing.T) {
	g := NewWithT(t)
	l := New(Config{Rand: always(0)})
	for i := range 10 {
		l.Admit(start, "s", 1, fmt.Sprint("team-", i), 0.2, 0)
	}
	value := func() float64 { return l.groups[groupKey{"s", 1}].value(start, "unknown") }
	charge := l.Admit(start, "s", 1, "unknown", UnknownWork, 0).Charge
	g.Expect(value()).To(BeNumerically("~", 0.2, 1e-9))
	charge.Settle(start, UnknownWork)
	g.Expect(value()).To(BeNumerically("~", 0.2, 1e-9))
	charge = l.Charge(start, "s", 1, "unknown", UnknownWork)
	charge.Settle(start, 0)
	g.Expect(value()).To(BeNumerically("~", 0.2, 1e-9), "one that didn't run")
}

// Guards against a level that is reported as limiting, and can't be encoded, while no work is known.
func TestInfiniteLevelIsNotLimiting(t *testing.T) {
	g := NewWithT(t)
	l := New(Config{Rand: always(0.999)})
	l.Admit(start, "s", 1, "a", 0, 0.9)
	v := l.Admit(start.Add(time.Second), "s", 1, "a", 0, 0.9)
	g.Expect(v.Admitted).To(BeTrue())
	g.Expect(v.Limiting).To(BeFalse())
	g.Expect(v.Level).To(BeZero())
}
