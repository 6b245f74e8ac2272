package streamversion

import (
	"cmp"
	"context"
	"slices"
	"time"

	"coveferry/internal/clock"
)

// Answer answers the query of another router from what this one knows itself.
func (r *Registry) Answer(ctx context.Context, now time.Time, q Query) Answer {
	var a Answer
	if a.ServiceVersion, _, a.Known = r.lookUp(now, q.ID); a.Known {
		return a
	}
	a.Confirmed = q.Confirm && r.confirm(ctx, now)
	a.Only, a.Single = r.infer(now, q)
	return a
}

func (r *Registry) lookUp(now time.Time, id StreamID) (o ServiceVersion, age time.Duration, known bool) {
	if o, age, known = r.own.get(now, r.keepFor(), id); known {
		return o, age, true
	}
	return r.told.get(now, r.keepFor(), id)
}

// infer returns the version of a service that had only one in the window.
func (r *Registry) infer(now time.Time, q Query) (version string, ok bool) {
	if r.cfg.ListAge().Exceeds(r.cfg.MaxListAge) {
		return "", false
	}
	return r.versions.only(now, q.Service, q.Window)
}

// Evidence says how it is known where a stream began.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceOwn: this router has recorded the stream or was told of it.
	EvidenceOwn Evidence = "own"
	// EvidencePeer: another router has.
	EvidencePeer Evidence = "peer"
	// EvidenceList: by this router's list the service had one version only.
	EvidenceList Evidence = "list"
	// EvidencePeerList: by the list of another router it had one only.
	EvidencePeerList Evidence = "peer_list"
)

// Finding is where a stream began and how that is known.
type Finding struct {
	ServiceVersion ServiceVersion
	Evidence       Evidence
	// Age is how long ago this router recorded it, or how old its list is.
	Age time.Duration
	// RetryIn is when it is worth asking again, if it isn't known where the stream began; 0 for never.
	RetryIn time.Duration
}

// Find returns where a stream began, and false if that isn't known.
func (r *Registry) Find(ctx context.Context, q Query) (Finding, bool) {
	asked := time.Now()
	q.Window = cmp.Or(q.Window, r.cfg.LongestReturn)
	found, known := r.findOnce(ctx, q, asked)
	settledIn := r.settledIn(time.Now())
	switch {
	case known:
		return found, true
	case settledIn > 0:
		return Finding{RetryIn: settledIn}, false
	case q.ID == 0 || r.cfg.Peers == nil:
		return found, false
	}
	// The router that began it may not have told of it yet.
	if !clock.Sleep(ctx, toldWithin) {
		return Finding{}, false
	}
	return r.findOnce(ctx, q, asked)
}

// findOnce asks once what this router and the others know of a stream that was asked for at the given time.
// The list tells its version only if it was the newest at that time or later: the version that began the stream
// was in it before, and a list that is older may lack it, however little.
func (r *Registry) findOnce(ctx context.Context, q Query, asked time.Time) (Finding, bool) {
	now := time.Now()
	if o, age, known := r.lookUp(now, q.ID); known {
		return Finding{ServiceVersion: o, Evidence: EvidenceOwn, Age: age}, true
	}
	_, inferred := r.infer(now, q)
	answers := r.ask(ctx, q, inferred)
	if found, known := findKnown(answers); known {
		return found, true
	}
	if !inferred && !slices.ContainsFunc(answers, func(a Answer) bool { return a.Single }) {
		return Finding{}, false
	}
	if r.confirm(ctx, asked) {
		return r.findByLists(q, answers)
	}
	if found, known := r.findByConfirmedLists(ctx, q); known {
		return found, true
	}
	return Finding{RetryIn: r.listLostIn()}, false
}

// listLostIn returns how long it takes until the list counts as lost unless it is confirmed, and the routers
// have told of their streams; 0 if it does.
func (r *Registry) listLostIn() time.Duration {
	listAge, known := r.cfg.ListAge().Get()
	if left := r.cfg.MaxListAge - listAge; known && left > 0 {
		return left + toldWithin
	}
	return 0
}

// findKnown returns what a router answered that knows the stream.
func findKnown(answers []Answer) (Finding, bool) {
	for _, a := range answers {
		if a.Known {
			return Finding{ServiceVersion: a.ServiceVersion, Evidence: EvidencePeer}, true
		}
	}
	return Finding{}, false
}

// findByLists infers the version from this router's list, which is confirmed, or from it and the lists of
// routers that have known theirs for longer.
func (r *Registry) findByLists(q Query, answers []Answer) (Finding, bool) {
	now := time.Now()
	if version, ok := r.infer(now, q); ok {
		listAge, _ := r.cfg.ListAge().Get()
		return Finding{ServiceVersion: ServiceVersion{q.Service, version}, Evidence: EvidenceList, Age: listAge}, true
	}
	return r.findByPeerLists(now, q, answers)
}

// findByConfirmedLists has other routers confirm their lists, where this router can't confirm its own.
func (r *Registry) findByConfirmedLists(ctx context.Context, q Query) (Finding, bool) {
	if r.cfg.Peers == nil {
		return Finding{}, false
	}
	q.Confirm = true
	ctx, cancel := context.WithTimeout(ctx, askTimeout+confirmTimeout)
	defer cancel()
	answers := r.cfg.Peers.AskStream(ctx, q)
	if found, known := findKnown(answers); known {
		return found, true
	}
	confirmed := slices.DeleteFunc(answers, func(a Answer) bool { return !a.Confirmed })
	return r.findByPeerLists(time.Now(), q, confirmed)
}

// ask asks other routers for a stream. Without an ID they can only help by their lists.
func (r *Registry) ask(ctx context.Context, q Query, inferred bool) []Answer {
	if r.cfg.Peers == nil || q.ID == 0 && inferred {
		return nil
	}
	timeout := askTimeout
	if inferred {
		timeout = inferredAskTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.cfg.Peers.AskStream(ctx, q)
}

// findByPeerLists infers the version from the lists of routers that have known theirs for longer, as
// long as neither these nor this router's own list differ.
func (r *Registry) findByPeerLists(now time.Time, q Query, answers []Answer) (Finding, bool) {
	version, found := "", false
	for _, a := range answers {
		switch {
		case !a.Single:
		case found && a.Only != version:
			return Finding{}, false
		default:
			version, found = a.Only, true
		}
	}
	if !found || r.versions.hasOther(now, q, version) {
		return Finding{}, false
	}
	return Finding{ServiceVersion: ServiceVersion{q.Service, version}, Evidence: EvidencePeerList}, true
}
