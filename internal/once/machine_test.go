package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const simSteps = 400

func TestKeysRunAtMostOnceAndRefusalsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimulation(rapid.Uint64().Draw(t, "seed"), nil)
		for range rapid.IntRange(1, simSteps).Draw(t, "steps") {
			m.step()
		}
		m.recover()
		m.routers[0] = len(m.lists) - 1
		key := Key{Text: "after all faults", Issued: m.now}
		m.route(Attempt{Target: simTarget, Team: "team", Key: key, Request: "last", Epoch: 1}, 0)
		accepted := m.refused[""]
		m.handle(m.messages[len(m.messages)-1])
		if m.violation != "" {
			t.Fatal(m.violation)
		}
		if m.refused[""] != accepted+1 {
			t.Fatalf("a key issued after all faults ended was refused: %v", m.refused)
		}
	})
}

// With any one rule disabled, the KeyRegistry lets a key run twice. The seeds are found by trying
// 0, 1, 2 and so on; search again after a change of the simulation.
func TestEachRuleIsNecessary(t *testing.T) {
	seeds := map[rule]uint64{
		ruleMemory: 0, ruleFuture: 174, ruleAge: 2, ruleHome: 2, ruleAgreement: 0,
		ruleIssuedAfterClaim: 0, ruleSettle: 11, rulePause: 43, ruleFence: 0,
	}
	for off, seed := range seeds {
		t.Run(fmt.Sprint(off), func(t *testing.T) {
			m := newSimulation(seed, map[rule]bool{off: true})
			for range simSteps {
				m.step()
			}
			NewWithT(t).Expect(m.violation).NotTo(BeEmpty())
		})
	}
}

// newSettled returns a KeyRegistry that is the only member of its target's list and has claimed
// it.
func newSettled(cfg Config) (*KeyRegistry, time.Time) {
	now := time.UnixMilli(1_800_000_000_000)
	k := New(cfg, now)
	k.SetView(now, View{Version: 1, Issued: now, Lists: map[string]*List{"m": NewList([]Member{cfg.Self})}})
	now = advanceTicks(k, now, cfg.SettleTime+2*cfg.clockMargin())
	return k, now
}

func advanceTicks(k *KeyRegistry, now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
		k.Tick(now)
	}
	k.Tick(now)
	return now
}

func newAttempt(request, key string, issued time.Time) Attempt {
	return Attempt{Target: "m", Team: "t", Key: Key{Text: key, Issued: issued}, Request: request, Epoch: 1}
}

func TestFullKeyStoreRefusesNewKeys(t *testing.T) {
	g := NewWithT(t)
	cfg := DefaultConfig(Member{Name: "e"})
	cfg.MaxKeys = 2
	k, now := newSettled(cfg)
	g.Expect(k.Admit(now, newAttempt("r1", "a", now)).Refused).To(BeEmpty())
	g.Expect(k.Admit(now, newAttempt("r2", "b", now)).Refused).To(BeEmpty())
	g.Expect(k.Admit(now, newAttempt("r3", "c", now)).Refused).To(Equal(ReasonFull))
	g.Expect(k.Begin(now, newAttempt("r1", "a", now))).To(BeTrue())
	k.End(newAttempt("r1", "a", now), StateComplete)
	g.Expect(k.Admit(now, newAttempt("r4", "a", now))).To(Equal(Decision{Refused: ReasonDuplicate, Earlier: EarlierRequest{Request: "r1", State: StateComplete}}))
	later := advanceTicks(k, now, cfg.Retention+time.Second)
	g.Expect(k.Len()).To(Equal(1), "the queued key is kept, the completed one is dropped")
	g.Expect(k.Admit(later, newAttempt("r5", "a", now)).Refused).To(Equal(ReasonExpired))
	g.Expect(k.Admit(later, newAttempt("r6", "d", later)).Refused).To(BeEmpty())
}

func TestKeyThatDidNotRunIsReusableByOtherAttemptsOnly(t *testing.T) {
	g := NewWithT(t)
	k, now := newSettled(DefaultConfig(Member{Name: "e"}))
	first := newAttempt("r1", "a", now)
	g.Expect(k.Admit(now, first).Refused).To(BeEmpty())
	k.End(first, StateNotRun)
	g.Expect(k.Admit(now, first).Refused).To(Equal(ReasonFenced))
	g.Expect(k.Admit(now, newAttempt("r2", "a", now.Add(time.Second))).Refused).To(Equal(ReasonTimeChanged))
	g.Expect(k.Admit(now, newAttempt("r2", "a", now)).Refused).To(BeEmpty())
	g.Expect(k.Begin(now, first)).To(BeFalse())
}

func TestPauseRevokesClaimBeforeAttemptStarts(t *testing.T) {
	g := NewWithT(t)
	k, now := newSettled(DefaultConfig(Member{Name: "e"}))
	u := newAttempt("r1", "a", now)
	g.Expect(k.Admit(now, u).Refused).To(BeEmpty())
	woken := now.Add(20 * time.Second)
	g.Expect(k.Begin(woken, u)).To(BeFalse())
	g.Expect(k.Admit(woken, newAttempt("r2", "b", woken)).Refused).To(Equal(ReasonHandover))
}

// An agent that started with a stale list must make no claim once a peer has reported a newer
// one.
func TestNoClaimWhilePeersHoldANewerList(t *testing.T) {
	g := NewWithT(t)
	cfg := DefaultConfig(Member{Name: "e"})
	now := time.UnixMilli(1_800_000_000_000)
	k := New(cfg, now)
	stale := View{Version: 1, Lists: map[string]*List{"m": NewList([]Member{cfg.Self})}}
	k.SetView(now, stale)
	k.HandleQuery(now, ListQuery{Target: "m", From: Member{Name: "f"}, List: "newer", Version: 2})
	now = advanceTicks(k, now, 2*cfg.SettleTime)
	g.Expect(k.Admit(now, newAttempt("r1", "a", now)).Refused).To(Equal(ReasonHandover))
}

// newBootstrapped returns a KeyRegistry that has just claimed its first list.
func newBootstrapped(members ...Member) (*KeyRegistry, time.Time) {
	now := time.UnixMilli(1_800_000_000_000)
	cfg := DefaultConfig(members[0])
	cfg.Bootstrap = true
	k := New(cfg, now)
	k.SetView(now, View{Version: 1, Issued: now, Lists: map[string]*List{"m": NewList(members)}})
	return k, now
}

// The former home's clock may be ahead of this one by MaxClockSkew, and the issue time of a key
// that it accepted ahead of that clock by MaxClockSkew again.
func TestClaimAllowsForClockSkew(t *testing.T) {
	g := NewWithT(t)
	k, claimed := newBootstrapped(Member{Name: "e"})
	first := claimed.Add(2 * k.cfg.MaxClockSkew)
	g.Expect(k.Admit(first, newAttempt("r1", "a", first.Add(-time.Millisecond))).Refused).To(Equal(ReasonBeforeClaim))
	g.Expect(k.Admit(first, newAttempt("r2", "b", first)).Refused).To(BeEmpty())
}

// A late reply doesn't count. A reply in time names former members, which have to be queried,
// too.
func TestLateRepliesAreIgnoredAndFormerMembersAreQueried(t *testing.T) {
	g := NewWithT(t)
	e, f, former := Member{Name: "e"}, Member{Name: "f"}, Member{Name: "gone"}
	k, now := newBootstrapped(e)
	k.SetView(now, View{Version: 2, Issued: now, Lists: map[string]*List{"m": NewList([]Member{e, f})}})
	q := k.PendingQueries(now)[0]
	answer := ListReply{List: q.List, FormerMembers: []Member{former}}
	k.HandleReply(now.Add(k.cfg.ReplyTimeout+time.Millisecond), q, answer)
	g.Expect(k.PendingMembers()).To(ConsistOf(f))
	k, _ = newBootstrapped(e)
	k.SetView(now, View{Version: 2, Issued: now, Lists: map[string]*List{"m": NewList([]Member{e, f})}})
	k.HandleReply(now, k.PendingQueries(now)[0], answer)
	k.Tick(now)
	g.Expect(k.PendingMembers()).To(ConsistOf(former))
}

// After missed versions, during which this endpoint may have been off the list, the agent
// resets its claims.
func TestMissedListsResetClaims(t *testing.T) {
	g := NewWithT(t)
	cfg := DefaultConfig(Member{Name: "e"})
	k, now := newSettled(cfg)
	lists := map[string]*List{"m": NewList([]Member{cfg.Self})}
	k.SetView(now, View{Version: 9, Issued: now, Lists: lists})
	g.Expect(k.Admit(now, newAttempt("r1", "a", now)).Refused).To(Equal(ReasonHandover))
}

func FuzzParseKey(f *testing.F) {
	f.Add("01890a5d-ac96-774b-bcce-b302099a8057", "")
	f.Add("01890a5d-ac96-774b-bcce-b302099a8057", "2023-06-29T21:13:11.446Z")
	f.Add("order-7", "2026-01-02T03:04:05+01:00")
	f.Fuzz(func(t *testing.T, text, issued string) {
		g := NewWithT(t)
		key, err := ParseKey(text, issued)
		if err != nil {
			g.Expect(key).To(Equal(Key{}))
			return
		}
		g.Expect(len(key.Text)).To(BeNumerically("<=", MaxKeyBytes))
		if !key.Issued.IsZero() {
			again, err := ParseKey(text, key.Issued.Format(time.RFC3339Nano))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again).To(Equal(key))
		}
	})
}

func TestParseKeyIssueTime(t *testing.T) {
	g := NewWithT(t)
	key, err := ParseKey("01890a5d-ac96-774b-bcce-b302099a8057", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(key.Issued).To(Equal(time.UnixMilli(0x01890a5dac96).UTC()))
	_, err = ParseKey("01890a5d-ac96-774b-bcce-b302099a8057", "2026-01-02T03:04:05Z")
	g.Expect(errors.Is(err, ErrBadKeyTime)).To(BeTrue())
	key, err = ParseKey("01890a5d-ac96-474b-bcce-b302099a8057", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(key.Issued.IsZero()).To(BeTrue(), "a version 4 UUID contains no time")
}
