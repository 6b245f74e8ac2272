package once

import "time"

// KeyRegistry records one agent's idempotency keys and the lists that make it their home. It is
// not safe for concurrent use and starts empty.
//
// A key is accepted only if all of these hold:
//   - This endpoint is the key's home by the list in force here.
//   - Since a moment before the key was issued, only this agent has acted as its home. At that
//     moment all other members of the list, and all agents that may use an earlier list, were
//     known to hold this list (or their VMs were gone), and every list since then has given
//     the key the same home.
//   - The key is neither older than Config.Retention nor issued in the future.
//   - No other request has used it.
//
// The other agents know of this one from its queries and in turn require its agreement before
// they claim the key by a later list.
type KeyRegistry struct {
	cfg     Config
	version uint64
	issued  time.Time
	lists   map[string]*List
	targets map[string]*targetState
	keys    *keyStore
	// now is the latest time passed in; earlier times are raised to it.
	now time.Time
	// disabledRules disables rules in tests that show each to be necessary.
	disabledRules map[rule]bool
}

// New returns an empty KeyRegistry that has claimed no list.
func New(cfg Config, now time.Time) *KeyRegistry {
	return &KeyRegistry{
		cfg:     cfg,
		targets: make(map[string]*targetState),
		keys:    newKeyStore(),
		now:     now.Round(0),
	}
}

// advance sets the current time. It uses the wall clock, which includes the time during which
// the process or its VM was paused. After a pause longer than MaxPause all claims are reset,
// since other agents may have claimed the same keys meanwhile.
func (k *KeyRegistry) advance(now time.Time) time.Time {
	now = now.Round(0) // the monotonic clock may not include a VM's pause
	if now.Before(k.now) {
		now = k.now
	}
	paused := now.Sub(k.now) > k.cfg.MaxPause
	k.now = now
	if paused && !k.disabledRules[rulePause] {
		for _, t := range k.targets {
			t.resetClaims(now.Add(k.cfg.SettleTime))
		}
	}
	return now
}

// Tick advances the time, forgets expired keys and claims the lists that can be claimed. Call
// it several times per Config.MaxPause.
func (k *KeyRegistry) Tick(now time.Time) {
	now = k.advance(now)
	old := now.Add(-k.cfg.Retention)
	k.keys.sweep(old)
	for _, t := range k.targets {
		t.pruneBefore(old.Add(-k.cfg.clockMargin()))
	}
	k.claimAgreedLists(now)
}

// SetView sets the view in force. Views of an older version than the current one are ignored.
func (k *KeyRegistry) SetView(now time.Time, v View) {
	now = k.advance(now)
	if v.Version < k.version {
		return
	}
	missed := v.Version > k.version+1 && v.Issued.Sub(k.issued) >= k.cfg.SettleTime
	first := k.lists == nil
	k.version = v.Version
	k.issued = v.Issued
	k.lists = v.Lists
	for target := range k.targets {
		if list := v.Lists[target]; list == nil || !list.has(k.cfg.Self) {
			delete(k.targets, target)
		}
	}
	for target, list := range v.Lists {
		if list.has(k.cfg.Self) {
			k.applyList(now, target, list, missed)
		}
	}
	if first && k.cfg.Bootstrap {
		k.claimFirstLists(now)
	}
}

// claimFirstLists claims the first lists immediately, for Config.Bootstrap.
func (k *KeyRegistry) claimFirstLists(now time.Time) {
	for _, t := range k.targets {
		t.periods[0].claimedAt = now
		t.settledAt = now
	}
}

// applyList sets the list of a target. missed says that this endpoint may have been off the
// list for some time, in a version that this agent didn't see.
func (k *KeyRegistry) applyList(now time.Time, target string, list *List, missed bool) {
	settled := now.Add(k.cfg.SettleTime)
	if k.disabledRules[ruleSettle] {
		settled = now
	}
	t := k.targets[target]
	if t == nil {
		k.targets[target] = newTargetState(list, settled)
		return
	}
	if list.Digest() != t.list().Digest() {
		t.setList(now, list)
	}
	if missed {
		t.resetClaims(settled)
	}
}

// Admit decides whether an attempt may be queued, and records it if so.
func (k *KeyRegistry) Admit(now time.Time, a Attempt) Decision {
	now = k.advance(now)
	d := digestOf(a)
	known := k.keys.entries[d]
	if known != nil && !k.disabledRules[ruleMemory] {
		if v := known.refusal(a); v.Refused != "" {
			return v
		}
	}
	if reason := k.refusalReason(now, a); reason != "" {
		return Decision{Refused: reason, RetryAfter: k.retryAfter(reason), Earlier: possibleEarlier(reason)}
	}
	if known == nil && len(k.keys.entries) >= k.cfg.MaxKeys {
		return Decision{Refused: ReasonFull, RetryAfter: k.retryAfter(ReasonFull)}
	}
	k.keys.add(d, &entry{request: a.Request, epoch: a.Epoch, state: StateQueued, issued: a.Key.Issued.UnixMilli()})
	return Decision{}
}

// refusal returns why an attempt may not use a key that is already recorded.
func (e *entry) refusal(a Attempt) Decision {
	switch {
	case e.issued != a.Key.Issued.UnixMilli():
		return Decision{Refused: ReasonTimeChanged, Earlier: EarlierRequest{Request: e.request, State: e.state}}
	case e.fences(a):
		return Decision{Refused: ReasonFenced}
	case e.state != StateNotRun:
		return Decision{Refused: ReasonDuplicate, Earlier: EarlierRequest{Request: e.request, State: e.state}}
	}
	return Decision{}
}

// refusalReason returns why this agent may not accept the key, apart from earlier uses recorded
// here.
func (k *KeyRegistry) refusalReason(now time.Time, a Attempt) Reason {
	issued := a.Key.Issued
	t := k.targets[a.Target]
	switch {
	case issued.After(now.Add(k.cfg.MaxClockSkew)) && !k.disabledRules[ruleFuture]:
		return ReasonFuture
	case issued.Before(now.Add(-k.cfg.Retention)) && !k.disabledRules[ruleAge]:
		return ReasonExpired
	case t == nil || t.list().Home(a.Team, a.Key.Text) != k.cfg.Self.Name && !k.disabledRules[ruleHome]:
		return ReasonNotKeyHome
	}
	since, ok := t.homeSince(k.cfg.Self.Name, a.Team, a.Key.Text)
	if k.disabledRules[ruleHome] {
		since = t.periods[len(t.periods)-1].claimedAt
		ok = t.claimed()
	}
	switch {
	case !ok && !k.disabledRules[ruleAgreement]:
		return ReasonHandover
	case issued.Before(since.Add(k.cfg.clockMargin())) && !k.disabledRules[ruleIssuedAfterClaim]:
		return ReasonBeforeClaim
	}
	return ""
}

// possibleEarlier returns StateUnknown for refusals after which an earlier use of the key can't
// be ruled out.
func possibleEarlier(r Reason) EarlierRequest {
	switch r {
	case ReasonExpired, ReasonNotKeyHome, ReasonHandover, ReasonBeforeClaim:
		return EarlierRequest{State: StateUnknown}
	default:
		return EarlierRequest{}
	}
}

// retryAfter returns how long to wait before a retry, by reason of the refusal.
func (k *KeyRegistry) retryAfter(r Reason) time.Duration {
	switch r {
	case ReasonNotKeyHome, ReasonFull, ReasonFuture:
		return k.cfg.QueryInterval
	default:
		return 0
	}
}

// Begin reports whether an admitted attempt may still run; call it immediately before sending
// the request to the engine. If it returns false, the attempt must not run and needs no call of
// End; if this agent is no longer the key's home, the key has been released.
func (k *KeyRegistry) Begin(now time.Time, a Attempt) bool {
	k.advance(now)
	e := k.keys.entries[digestOf(a)]
	fenced := e == nil || !e.sameAttempt(a) || e.state != StateQueued
	if fenced && !k.disabledRules[ruleFence] {
		return false
	}
	t := k.targets[a.Target]
	home := t != nil && t.list().Home(a.Team, a.Key.Text) == k.cfg.Self.Name
	if home && !k.disabledRules[ruleAgreement] {
		_, home = t.homeSince(k.cfg.Self.Name, a.Team, a.Key.Text)
	}
	if !home && !k.disabledRules[ruleHome] {
		k.End(a, StateNotRun)
		return false
	}
	if e != nil {
		e.state = StateRunning
	}
	return true
}

// End records the final state of an admitted attempt. StateNotRun releases the key.
func (k *KeyRegistry) End(a Attempt, s State) {
	e := k.keys.entries[digestOf(a)]
	if e == nil || !e.sameAttempt(a) {
		return
	}
	e.state = s
}

// Len returns the number of recorded keys.
func (k *KeyRegistry) Len() int { return len(k.keys.entries) }
