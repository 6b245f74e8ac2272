package bench

import (
	"strings"

	"coveferry/internal/bench/arrivals"
	"coveferry/internal/bench/check"
	"coveferry/internal/bench/client"
	"coveferry/internal/standin/engine"
)

// engineWork is the work of all engines according to their records.
type engineWork struct {
	runs         []check.Run
	produced     map[string]int // tokens by arrival ID
	unattributed unattributedRuns
}

// unattributedRuns counts the runs that can't be attributed to an arrival.
type unattributedRuns struct{ runs, tokens int }

// requestIndex finds the arrival that a run belongs to. An engine's record holds
// the request ID chosen by the router, which the caller receives in the response,
// and the idempotency key chosen by the caller.
type requestIndex struct {
	byRequest map[string]string
	byKey     map[string]string
}

func newRequestIndex(list []arrivals.Arrival, outcomes []client.Outcome) requestIndex {
	x := requestIndex{byRequest: make(map[string]string), byKey: make(map[string]string)}
	for _, o := range outcomes {
		if o.RequestID != "" {
			x.byRequest[o.RequestID] = o.ID
		}
	}
	for _, arrival := range list {
		if key := client.IdempotencyKey(arrival); key != "" {
			x.byKey[key] = arrival.ID
		}
	}
	return x
}

// arrivalID returns the ID of a run's arrival. It is empty if the caller sent no
// idempotency key and disconnected before it received the request ID.
func (x requestIndex) arrivalID(r engine.Run) string {
	if id, ok := x.byKey[r.IdempotencyKey]; ok {
		return id
	}
	return x.byRequest[baseRequestID(r.RequestID)]
}

// baseRequestID removes the suffixes, separated by dots, with which routers and
// agents distinguish the runs of a request.
func baseRequestID(requestID string) string {
	id, _, _ := strings.Cut(requestID, ".")
	return id
}

func collectWork(engines []Engine, x requestIndex) engineWork {
	w := engineWork{produced: make(map[string]int)}
	for i, e := range engines {
		for _, r := range e.Record() {
			w.addRun(i, x.arrivalID(r), r)
		}
	}
	return w
}

func (w *engineWork) addRun(engineIndex int, id string, r engine.Run) {
	if id == "" {
		w.unattributed.runs++
		w.unattributed.tokens += r.Produced
		return
	}
	w.produced[id] += r.Produced
	w.runs = append(w.runs, check.Run{
		Request:    id,
		Engine:     engineIndex,
		Tokens:     r.Produced,
		Continues:  r.ResumedTokens > 0,
		HandedOver: r.End == engine.EndPreempted || r.End == engine.EndExported,
	})
}
