package membership

import (
	"slices"
	"time"
)

// maxOld bounds the earlier incarnations that are remembered of an endpoint.
const maxOld = 4

// listed is what the list says of a VM.
type listed uint8

const (
	unlisted listed = iota // never seen in the list, as a VM that is new
	listedLive
	listedLeaving
	absent            // was live, isn't listed any more
	absentWhenLeaving // was leaving, isn't listed any more
)

// evidence is all that is known of one endpoint.
type evidence struct {
	place Place

	list   listed
	listAt time.Time // when list changed
	// dropped says that an absence is believed though nothing else tells of it.
	dropped bool

	incarnation string
	seq         uint64
	old         []string // earlier incarnations, the latest last
	renewedAt   time.Time
	answeredAt  time.Time
	leaving     bool
	via         Reason // of leaving

	broken   int       // connections in a row
	failedAt time.Time // the first of these, or of those refused
	refused  bool      // the last connection was
	// mayBeNew says that another process may be there than when it was last live.
	mayBeNew bool
	// silentAt is when it was last heard that requests are open there and nothing
	// comes; zero if an answer followed.
	silentAt time.Time

	state  State
	reason Reason
	since  time.Time
	probe  schedule
}

// newEvidence knows nothing of an endpoint but the incarnations that it had
// elsewhere; before may be nil.
func newEvidence(p Place, now time.Time, before *evidence) *evidence {
	e := &evidence{place: p, state: Live, reason: ReasonBundle, since: now}
	if before != nil {
		e.old = before.old
		e.retire(before.incarnation)
		e.state = before.state
	}
	return e
}

// begin makes the evidence that of a process which has just started in the place of
// another: neither its state nor what the list said holds for this one.
func (e *evidence) begin() {
	e.state, e.list = Live, unlisted
}

// mayBe says whether a process of this incarnation may be the one at the place.
func (p Place) mayBe(incarnation string) bool {
	return p.Incarnation == "" || incarnation == "" || p.Incarnation == incarnation
}

// retire notes an earlier incarnation, if one was heard of.
func (e *evidence) retire(incarnation string) {
	if incarnation == "" {
		return
	}
	e.old = append(slices.Clone(e.old), incarnation)
	e.old = e.old[max(0, len(e.old)-maxOld):]
}

// isLate says whether words come from an incarnation that another has followed.
// One that was never heard of is told by its lower Seq: numbers begin at the
// agent's start, by its VM's clock. A clock that was set back keeps a new
// incarnation unheard until it has caught up or the bundle moves the endpoint.
func (e *evidence) isLate(w OwnWord) bool {
	if slices.Contains(e.old, w.Incarnation) || !e.place.mayBe(w.Incarnation) {
		return true
	}
	return w.Incarnation != e.incarnation && w.Seq < e.seq
}

// hear takes the agent's own word; false means that it is of an earlier
// incarnation, which says nothing of this one.
func (e *evidence) hear(now time.Time, w OwnWord) bool {
	if e.isLate(w) {
		return false
	}
	if w.Incarnation != e.incarnation {
		e.renew(now, w.Incarnation)
	}
	e.seq = max(e.seq, w.Seq)
	if w.Leaving && !e.leaving {
		e.leaving, e.via = true, w.Via
	}
	e.answeredAt = now
	e.mayBeNew = e.mayBeNew || e.state == Suspect && e.answersAnew(w)
	e.broken, e.refused, e.failedAt = 0, false, time.Time{}
	if w.Via != ReasonCheck {
		e.silentAt = time.Time{}
	}
	return true
}

// renew begins a new incarnation. The first that is heard of is not known to
// be new.
func (e *evidence) renew(now time.Time, incarnation string) {
	if e.incarnation != "" {
		e.renewedAt = now
		e.retire(e.incarnation)
	}
	e.incarnation = incarnation
	e.seq = 0
	e.leaving = false
}

// answersAnew says whether the word answers a request that was sent after connections began to
// fail: of such an answer nobody can tell whether the process is the one of before. A health
// check says for itself what state it is in.
func (e *evidence) answersAnew(w OwnWord) bool {
	return w.Via == ReasonReport && !e.failedAt.IsZero() && w.Sent.After(e.failedAt)
}

func (e *evidence) fail(now time.Time, r Result) {
	if e.failedAt.IsZero() {
		e.failedAt = now
	}
	e.broken++
	e.refused = r == Refused
	e.mayBeNew = e.mayBeNew || e.refused
}

// endSilence forgets a silence of which nothing was heard lately, as no request is open there
// any more, once the endpoint has answered a health check since: otherwise a caller's request
// would be the one that finds out.
func (e *evidence) endSilence(now time.Time, t Tuning) {
	if !e.silentAt.IsZero() && now.Sub(e.silentAt) > t.SilenceHold && e.answeredAt.After(e.silentAt) {
		e.silentAt = time.Time{}
	}
}

// setListed takes the list's word. A VM that the list shows as live again has
// hardly the same process as before, but only the process can say so: it is
// asked at once.
func (e *evidence) setListed(now time.Time, l listed) {
	if l == e.list {
		return
	}
	if l == listedLive && !e.probe.next.IsZero() {
		e.probe.next = now
	}
	e.list, e.listAt = l, now
	e.dropped = false
}

func (e *evidence) isSuspect(t Tuning) bool {
	return e.refused || !e.silentAt.IsZero() || e.broken >= t.BrokenLimit
}

// judge works out the state. The agent's own word goes first: no one knows
// better. The list's word on a leaving VM goes before answers, which a leaving
// VM gives too; a mere absence yields to an answer.
func (e *evidence) judge(stale bool, t Tuning) (State, Reason) {
	renewed := e.renewedAt.After(e.listAt)
	switch {
	case e.leaving:
		return e.whenLeaving(), e.via
	case e.list == listedLeaving && !(stale && renewed):
		return e.whenLeaving(), ReasonList
	case e.list == absentWhenLeaving && !renewed:
		return Gone, ReasonList
	case e.list == absent && (e.dropped || e.isSuspect(t)) && !e.answeredAt.After(e.listAt):
		return Gone, ReasonList
	case e.isSuspect(t):
		return Suspect, ReasonConnection
	}
	return Live, e.whyLive()
}

// whenLeaving is gone once no connection is taken any more.
func (e *evidence) whenLeaving() State {
	if e.refused {
		return Gone
	}
	return Leaving
}

func (e *evidence) whyLive() Reason {
	if e.state == Live {
		return e.reason
	}
	return ReasonReturned
}

func (e *evidence) member() Member {
	return Member{
		Endpoint: e.place.Endpoint, VM: e.place.VM, State: e.state, Reason: e.reason,
		Since: e.since, Incarnation: e.incarnation,
	}
}
