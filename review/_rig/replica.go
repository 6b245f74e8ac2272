package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// replica is a stand-in of a replica that follows the platform's pages.
type replica struct {
	rig         *rig
	id, service string
	address     string
	events      int           // of a stream; 0 answers without one
	pause       time.Duration // between two events
	work        time.Duration // before the answer
}

// startReplica starts a replica and writes its entry.
func (r *rig) startReplica(p *replica, zone string) error {
	var err error
	p.rig = r
	if p.address, err = r.serve(p); err != nil {
		return err
	}
	r.list(p, zone, "ready")
	return nil
}

func (r *rig) list(p *replica, zone, state string) {
	slots := 64
	if p.events == 0 {
		slots = 6
	}
	r.store.Put(names["replicaPrefix"]+p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": zone, "version": "v1", "slots": slots, "state": state,
		"cold-left-ms": 0, "sequence": 1,
	})
}

// startReplicas starts the replicas of a small deployment: one of each service in each zone.
func (r *rig) startReplicas() ([]*replica, error) {
	var all []*replica
	for i, zone := range zones {
		for _, p := range []*replica{
			{id: fmt.Sprintf("i-drafting-%d", i+1), service: "drafting", events: 8, pause: 30 * time.Millisecond, work: 20 * time.Millisecond},
			{id: fmt.Sprintf("i-portal-%d", i+1), service: "portal", work: 15 * time.Millisecond},
		} {
			if err := r.startReplica(p, zone); err != nil {
				return nil, err
			}
			all = append(all, p)
		}
	}
	return all, nil
}

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set(names["instanceID"], p.id)
	h.Set(names["load"], "1,0,8")
	if req.URL.Path == "/health" {
		return
	}
	id := req.Header.Get(names["attemptID"])
	if id != "" {
		h.Set(names["attemptID"], id)
	}
	if expected := req.Header.Get(names["expectInstance"]); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.ReadAll(req.Body)
	p.rig.ran(execution{id: id, tenant: req.Header.Get(names["tenant"]), service: p.service, replica: p.id, at: time.Now()})
	sleep(req, p.work)
	h.Set(names["seal"], "seal."+p.id+"."+id)
	if p.events == 0 {
		_, _ = io.WriteString(w, "answer of "+p.id+" to "+id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(req.Header.Get(names["lastEvent"]))
	for i := last + 1; i <= p.events; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %d to %s\n\n", i, i, p.events, id)
		_ = http.NewResponseController(w).Flush()
		if req.Context().Err() != nil {
			return
		}
		if i < p.events {
			sleep(req, p.pause)
		}
	}
}

func sleep(req *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-req.Context().Done():
	}
}

// ran records that a request runs at a replica.
func (r *rig) ran(e execution) {
	r.mu.Lock()
	r.runs = append(r.runs, e)
	r.mu.Unlock()
	r.noteAt(e.at, "run       %s at %s for tenant %q", e.id, e.replica, e.tenant)
}

// runsOf returns the runs of a request.
func (r *rig) runsOf(id string) (found []execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.runs {
		if e.id == id {
			found = append(found, e)
		}
	}
	return found
}
