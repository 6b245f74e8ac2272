package streamversion

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/clock"
)

// confirmTimeout bounds the wait for the source of the list. Callers wait for the rest of their streams meanwhile.
const confirmTimeout = 250 * time.Millisecond

// confirmations holds until when the list is known to show all that its source had accepted. Callers that wait
// at the same time share a call to the source.
type confirmations struct {
	mu sync.Mutex
	// confirmedAt is when the latest call was sent that succeeded, and sentAt when the latest was sent.
	confirmedAt, sentAt time.Time
	underWay            *confirmation // nil if there is none
	total               *prometheus.CounterVec
}

// confirmation is one call to the source. sentAt is valid once done is closed.
type confirmation struct {
	sentAt time.Time
	done   chan struct{}
}

// Values of the label "result" of the counter of confirmations.
const (
	resultConfirmed = "confirmed"
	resultFailed    = "failed"
)

func newConfirmationCounter(reg prometheus.Registerer) *prometheus.CounterVec {
	total := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "coveferry_list_confirmations_total",
		Help: "Calls that asked for changes of the list of endpoints since it was last read, for streams that callers resume.",
	}, []string{"result"})
	if reg != nil {
		reg.MustRegister(total)
	}
	return total
}

// confirm makes sure that the versions of all endpoints that the source had accepted by the given time, which has
// passed, are recorded. It returns false if the source doesn't answer.
func (r *Registry) confirm(ctx context.Context, since time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for !r.isConfirmed(time.Now(), since) {
		call := r.joinConfirmation()
		if call == nil {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-call.done:
		}
		if !call.sentAt.Before(since) {
			return r.isConfirmed(time.Now(), since)
		}
	}
	return true
}

// isConfirmed reports whether the list was the newest at the given time or later.
func (r *Registry) isConfirmed(now, since time.Time) bool {
	if listAge, known := r.cfg.ListAge().Get(); known && !now.Add(-listAge).Before(since) {
		return true
	}
	c := &r.confirmations
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmedAt.Before(since)
}

// joinConfirmation returns the call that is under way, or begins one; nil if there is no source to ask.
func (r *Registry) joinConfirmation() *confirmation {
	if r.cfg.Changes == nil {
		return nil
	}
	c := &r.confirmations
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.underWay == nil {
		c.underWay = &confirmation{done: make(chan struct{})}
		go r.runConfirmation(c.underWay, c.sentAt.Add(r.confirmInterval()))
	}
	return c.underWay
}

func (r *Registry) confirmInterval() time.Duration {
	if r.cfg.ConfirmInterval == nil {
		return 0
	}
	return r.cfg.ConfirmInterval()
}

// runConfirmation asks the source for changes at the given time or, if that has passed, now.
func (r *Registry) runConfirmation(call *confirmation, at time.Time) {
	clock.Sleep(context.Background(), time.Until(at))
	call.sentAt = time.Now()
	confirmed := r.readChanges()
	c := &r.confirmations
	c.mu.Lock()
	defer c.mu.Unlock()
	if confirmed {
		c.confirmedAt = call.sentAt
	}
	c.sentAt, c.underWay = call.sentAt, nil
	close(call.done)
}

// readChanges records the versions in the changes of the list that this router hasn't got yet.
func (r *Registry) readChanges() bool {
	revision, known := r.versions.revision()
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	changes, err := r.cfg.Changes(ctx, revision)
	if err != nil {
		r.confirmations.total.WithLabelValues(resultFailed).Inc()
		return false
	}
	r.confirmations.total.WithLabelValues(resultConfirmed).Inc()
	r.RecordVersions(time.Now(), slices.Concat(changes.Entries, changes.Replaced))
	return true
}
