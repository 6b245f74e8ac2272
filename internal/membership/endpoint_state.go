package membership

import (
	"slices"
	"time"
)

// maxPreviousIncarnations bounds the previous incarnations kept for an endpoint.
const maxPreviousIncarnations = 4

// listStatus is the status of a VM in the platform's list.
type listStatus uint8

const (
	neverListed listStatus = iota // never seen in the list, such as a new VM
	listedLive
	listedLeaving
	removedWhileLive    // was live, no longer listed
	removedWhileLeaving // was leaving, no longer listed
)

// endpointState holds everything known about one endpoint.
type endpointState struct {
	spec EndpointSpec

	listStatus    listStatus
	listChangedAt time.Time // when listStatus changed
	// removalConfirmed means that the removal from the list alone makes the endpoint
	// gone, without a failure from another source.
	removalConfirmed bool

	incarnation          string
	seq                  uint64
	previousIncarnations []string // the latest last
	restartedAt          time.Time
	lastStatusAt         time.Time
	leaving              bool
	leavingReason        Reason // why leaving is set
	leavingSince         time.Time

	failureCount   int       // consecutive failed connections
	firstFailureAt time.Time // when the first of these failed
	lastRefused    bool      // the last connection was refused
	// possiblyRestarted means that the process may not be the one that was running
	// when the endpoint was last live.
	possiblyRestarted bool
	// unresponsiveAt is when the endpoint was last reported as unresponsive; zero
	// once it has answered.
	unresponsiveAt time.Time

	state  State
	reason Reason
	since  time.Time
	probe  probeSchedule
}

// newEndpointState returns the state of an endpoint that is new or has changed in
// the bundle. It keeps only the state and the incarnations of before, which may be
// nil.
func newEndpointState(spec EndpointSpec, now time.Time, before *endpointState) *endpointState {
	e := &endpointState{spec: spec, state: Live, reason: ReasonBundle, since: now}
	if before != nil {
		e.previousIncarnations = before.previousIncarnations
		e.addPreviousIncarnation(before.incarnation)
		e.state = before.state
	}
	return e
}

// resetForNewProcess resets the state and the list status, which were those of the
// process that this one replaces.
func (e *endpointState) resetForNewProcess() {
	e.state, e.listStatus = Live, neverListed
}

// mayRun reports whether the endpoint's process may be of this incarnation: true if
// either incarnation is unknown.
func (spec EndpointSpec) mayRun(incarnation string) bool {
	return spec.Incarnation == "" || incarnation == "" || spec.Incarnation == incarnation
}

// addPreviousIncarnation records a replaced incarnation; an empty one is ignored.
func (e *endpointState) addPreviousIncarnation(incarnation string) {
	if incarnation == "" {
		return
	}
	e.previousIncarnations = append(slices.Clone(e.previousIncarnations), incarnation)
	e.previousIncarnations = e.previousIncarnations[max(0, len(e.previousIncarnations)-maxPreviousIncarnations):]
}

// isOutdated reports whether a status comes from a replaced incarnation. A replaced
// incarnation that is not recorded is recognized by its lower Seq: an agent's Seq
// starts from its start time by its VM's clock. If that clock was set back, a
// new incarnation is ignored until the clock has caught up or the bundle changes the
// endpoint's VM, address or incarnation.
func (e *endpointState) isOutdated(status AgentStatus) bool {
	if slices.Contains(e.previousIncarnations, status.Incarnation) || !e.spec.mayRun(status.Incarnation) {
		return true
	}
	return status.Incarnation != e.incarnation && status.Seq < e.seq
}

// applyStatus applies an agent's status. It returns false and changes nothing if the
// status comes from a replaced incarnation.
func (e *endpointState) applyStatus(now time.Time, status AgentStatus) bool {
	if e.isOutdated(status) {
		return false
	}
	if status.Incarnation != e.incarnation {
		e.startIncarnation(now, status.Incarnation)
	}
	e.seq = max(e.seq, status.Seq)
	switch {
	case status.Leaving && !e.leaving:
		e.leaving, e.leavingReason, e.leavingSince = true, status.Via, now
	case status.Accepting && status.Sent.After(e.leavingSince):
		e.leaving = false
	}
	e.lastStatusAt = now
	e.possiblyRestarted = e.possiblyRestarted || e.state == Suspect && e.respondsAfterFailure(status)
	e.failureCount, e.lastRefused, e.firstFailureAt = 0, false, time.Time{}
	if status.Via != ReasonCheck {
		e.unresponsiveAt = time.Time{}
	}
	return true
}

// startIncarnation switches to another incarnation. The first known incarnation is
// not counted as a restart.
func (e *endpointState) startIncarnation(now time.Time, incarnation string) {
	if e.incarnation != "" {
		e.restartedAt = now
		e.addPreviousIncarnation(e.incarnation)
	}
	e.incarnation = incarnation
	e.seq = 0
	e.leaving = false
}

// respondsAfterFailure reports whether a status answers a request that was sent after
// connections began to fail. Such a response doesn't show whether the process has been
// replaced. Health checks are excluded, as they report the process's state themselves.
func (e *endpointState) respondsAfterFailure(status AgentStatus) bool {
	return status.Via == ReasonReport && !e.firstFailureAt.IsZero() && status.Sent.After(e.firstFailureAt)
}

func (e *endpointState) recordFailure(now time.Time, kind FailureKind) {
	if e.firstFailureAt.IsZero() {
		e.firstFailureAt = now
	}
	e.failureCount++
	e.lastRefused = kind == Refused
	e.possiblyRestarted = e.possiblyRestarted || e.lastRefused
}

// expireUnresponsive clears the unresponsive mark if it was not repeated for
// UnresponsiveHold, so no request is in flight any more, and the endpoint has passed a health
// check after the mark was set. Without that health check, a caller's request would serve as
// the probe.
func (e *endpointState) expireUnresponsive(now time.Time, t Tuning) {
	if !e.unresponsiveAt.IsZero() && now.Sub(e.unresponsiveAt) > t.UnresponsiveHold && e.lastStatusAt.After(e.unresponsiveAt) {
		e.unresponsiveAt = time.Time{}
	}
}

// setListStatus sets the VM's status in the list. A VM that is listed as live again
// probably runs a new process, which only the process can confirm, so the endpoint
// is probed at once.
func (e *endpointState) setListStatus(now time.Time, status listStatus) {
	if status == e.listStatus {
		return
	}
	if status == listedLive && !e.probe.next.IsZero() {
		e.probe.next = now
	}
	e.listStatus, e.listChangedAt = status, now
	e.removalConfirmed = false
}

func (e *endpointState) isSuspect(t Tuning) bool {
	return e.lastRefused || !e.unresponsiveAt.IsZero() || e.failureCount >= t.BrokenLimit
}

// evaluate computes the state. The agent's own leaving status takes precedence over
// all other sources. A VM that is listed as leaving takes precedence over responses,
// because a leaving VM still answers. A response overrides the mere removal of a live
// VM from the list.
func (e *endpointState) evaluate(stale bool, t Tuning) (State, Reason) {
	restarted := e.restartedAt.After(e.listChangedAt)
	switch {
	case e.leaving:
		return e.leavingOrGone(), e.leavingReason
	case e.listStatus == listedLeaving && !(stale && restarted):
		return e.leavingOrGone(), ReasonList
	case e.listStatus == removedWhileLeaving && !restarted:
		return Gone, ReasonList
	case e.listStatus == removedWhileLive && (e.removalConfirmed || e.isSuspect(t)) && !e.lastStatusAt.After(e.listChangedAt):
		return Gone, ReasonList
	case e.isSuspect(t):
		return Suspect, ReasonConnection
	}
	return Live, e.liveReason()
}

// leavingOrGone returns Gone if the last connection was refused, otherwise Leaving.
func (e *endpointState) leavingOrGone() State {
	if e.lastRefused {
		return Gone
	}
	return Leaving
}

func (e *endpointState) liveReason() Reason {
	if e.state == Live {
		return e.reason
	}
	return ReasonReturned
}

func (e *endpointState) member() Member {
	return Member{
		Endpoint: e.spec.Endpoint, VM: e.spec.VM, State: e.state, Reason: e.reason,
		Since: e.since, Incarnation: e.incarnation,
	}
}
