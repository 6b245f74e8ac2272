package eventstream

import "fmt"

// Verdict is what to do with an event.
type Verdict uint8

const (
	// Deliver passes the event on.
	Deliver Verdict = iota
	// Drop leaves out an event that the caller has.
	Drop
	// Abort ends the attempt: the event isn't the one that comes next.
	Abort
)

// Fault is why an attempt is broken off.
type Fault string

// The faults.
const (
	// FaultGap: events are missing before this one.
	FaultGap Fault = "gap"
	// FaultMissingID: the first event of an attempt that resumes the stream has no ID, or none that compares with
	// that of the event before it.
	FaultMissingID Fault = "missing_id"
)

// OrderError is an event that isn't the one that comes next in its stream.
type OrderError struct {
	Fault Fault
	// After is the ID of the last event that the caller has, and ID that of the event.
	After, ID string
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("eventstream: event %q comes after event %q: %s", e.ID, e.After, e.Fault)
}

// Checker decides on the events of one attempt. It must not be used concurrently.
type Checker struct {
	position *Position
	service  string
	numbers  *Numbering
	rule     gapRule
	// first is the ID of the event with which the service's streams begin; empty if that isn't known.
	first string
	// resumes says that the caller has events of earlier attempts, and none of this one yet.
	resumes bool
	steps   stepCount
	// startID is the ID of the run's first event if it began the stream; empty otherwise.
	startID string
	// lastOfRun is the ID of the run's last event, also if that was dropped; empty for none.
	lastOfRun  string
	duplicates int
}

// NewChecker returns a checker for an attempt at a service that continues at the position, which it
// advances.
func NewChecker(position *Position, service string, numbers *Numbering) *Checker {
	c := &Checker{position: position, service: service, numbers: numbers, resumes: position.LastID != ""}
	c.rule, c.first = numbers.of(service)
	return c
}

// Check decides on the next event. The error is an *OrderError if the verdict is Abort. An event to
// deliver counts as delivered.
func (c *Checker) Check(e Event) (Verdict, error) {
	if !e.IsContent() {
		return Deliver, nil
	}
	order := compare(c.position.LastID, e.ID)
	c.countStep(e, order)
	verdict, fault := c.decide(e, order)
	switch verdict {
	case Deliver:
		c.resumes = false
		c.position.advance(e)
	case Drop:
		c.duplicates++
	case Abort:
		return Abort, &OrderError{Fault: fault, After: c.position.LastID, ID: e.ID}
	}
	return verdict, nil
}

// Duplicates returns how many events were dropped.
func (c *Checker) Duplicates() int { return c.duplicates }

// Close has the service's numbering learn from the run.
func (c *Checker) Close() { c.numbers.add(c.service, c.steps, c.startID) }

// countStep counts the step from the run's last event to this one, or its start. afterPosition is how this
// one compares with the last that the caller has, in most cases the run's last event.
func (c *Checker) countStep(e Event, afterPosition order) {
	if c.position.IsStart() {
		c.startID = e.ID
	}
	step := afterPosition
	if c.lastOfRun != c.position.LastID {
		step = compare(c.lastOfRun, e.ID)
	}
	switch step {
	case orderNext:
		c.steps.steps++
	case orderGap:
		c.steps.steps++
		c.steps.gaps++
	}
	c.lastOfRun = e.ID
}

// decide decides on an event that compares so with the last one that the caller has.
func (c *Checker) decide(e Event, afterPosition order) (Verdict, Fault) {
	switch {
	case c.position.IsStart():
		return c.deliverUnless(c.startsLate(e), FaultGap)
	case c.position.LastID == "":
		return Deliver, ""
	case e.ID == "":
		return c.deliverUnless(c.resumes, FaultMissingID)
	}
	switch afterPosition {
	case orderRepeated:
		return Drop, ""
	case orderGap:
		return c.deliverUnless(c.isFault(), FaultGap)
	case orderUnknown:
		return c.deliverUnless(c.resumes, FaultMissingID)
	}
	return Deliver, ""
}

func (c *Checker) deliverUnless(broken bool, fault Fault) (Verdict, Fault) {
	if broken {
		return Abort, fault
	}
	return Deliver, ""
}

// startsLate reports whether an event isn't the one with which the service's streams begin but a later one.
func (c *Checker) startsLate(e Event) bool {
	if c.rule != gapsAreFaults || c.first == "" || e.ID == "" {
		return false
	}
	o := compare(c.first, e.ID)
	return o == orderNext || o == orderGap
}

// isFault reports whether a gap before the next event is a fault. Of a service of which little is
// known, a run may leave out numbers, but one that resumes a stream must begin with the next.
func (c *Checker) isFault() bool {
	return c.rule == gapsAreFaults || c.rule == gapsUnknown && c.resumes
}
