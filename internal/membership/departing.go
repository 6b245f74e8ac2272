package membership

import "time"

const (
	// departingTTL is how long a process is remembered that reported leaving and that the bundle
	// lacks. A process exits within seconds or minutes of that, an outage of the list included.
	departingTTL = 10 * time.Minute
	// maxDeparting bounds the processes remembered.
	maxDeparting = 1024
)

// processKey identifies a process across its removal from the bundle.
type processKey struct{ endpoint, incarnation string }

// departure is why and when a process is leaving.
type departure struct {
	reason Reason
	since  time.Time // when it was removed from the bundle
}

// departing remembers processes that reported leaving while the bundle lacks their endpoints: an
// entry of the list that is lost in an outage comes back as it was written before.
type departing map[processKey]departure

// add remembers the process of an endpoint that is removed from the bundle if it reported leaving.
// Endpoints whose source doesn't name the process aren't remembered.
func (d departing) add(now time.Time, e *endpointState) {
	if !e.leaving || e.spec.Incarnation == "" {
		return
	}
	d.expire(now)
	if len(d) >= maxDeparting {
		return
	}
	d[processKey{e.spec.Endpoint, e.spec.Incarnation}] = departure{reason: e.leavingReason, since: now}
}

// restore sets a new endpoint's incarnation and leaving status if its process is remembered.
func (d departing) restore(now time.Time, e *endpointState) {
	key := processKey{e.spec.Endpoint, e.spec.Incarnation}
	left, known := d[key]
	delete(d, key)
	if known && now.Sub(left.since) < departingTTL {
		e.incarnation, e.leaving, e.leavingReason, e.leavingSince = key.incarnation, true, left.reason, now
	}
}

func (d departing) expire(now time.Time) {
	for key, left := range d {
		if now.Sub(left.since) >= departingTTL {
			delete(d, key)
		}
	}
}
