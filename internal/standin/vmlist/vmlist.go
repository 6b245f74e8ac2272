// Package vmlist is a stub (stand-in) of the platform's list of live and leaving
// VMs.
//
// It imitates a list compiled from delayed reports: GET /v1/vms answers with the
// VMs as they were one lag ago, with the time "at" as the only sign of its age.
// The list can go stale, which freezes it, be empty, as after a restart of the
// platform's service, or be down, which aborts connections.
//
// Left out: watching, paging, authentication, and VMs of other kinds.
package vmlist

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"coveferry/internal/standin/web"
)

// State is the lifecycle state of a VM.
type State string

// The states of a VM in the list. A VM that is gone isn't listed.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is an entry of the list.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
}

// Listing is the response of PathVMs.
type Listing struct {
	VMs []VM `json:"vms"`
	// At is the time that the listing describes.
	At time.Time `json:"at"`
}

// PathVMs is the list's path.
const PathVMs = "/v1/vms"

// List is a stub list. It is safe for concurrent use.
type List struct {
	lag  time.Duration
	gate *web.Gate

	mu      sync.Mutex
	history []Listing // oldest first
	frozen  *Listing
	empty   bool
	reads   int
}

// New returns an empty list whose changes become visible after the lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, gate: web.NewGate()}
}

// Set replaces the VMs; readers see the change after the lag.
func (l *List) Set(vms ...VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.dropObsolete(now)
	l.history = append(l.history, Listing{VMs: append([]VM{}, vms...), At: now})
}

// dropObsolete drops history that readers can't see any more.
func (l *List) dropObsolete(now time.Time) {
	if n := l.visibleCount(now); n > 1 {
		l.history = slices.Delete(l.history, 0, n-1)
	}
}

// visibleCount returns the number of history entries at least as old as the lag.
func (l *List) visibleCount(now time.Time) int {
	n := len(l.history)
	for n > 0 && l.history[n-1].At.After(now.Add(-l.lag)) {
		n--
	}
	return n
}

// SetStale freezes the list as readers see it now, or unfreezes it.
func (l *List) SetStale(stale bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !stale {
		l.frozen = nil
		return
	}
	seen := l.currentListing(time.Now())
	l.frozen = &seen
}

// SetEmpty makes readers see an empty list, or ends that.
func (l *List) SetEmpty(empty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.empty = empty
}

// SetDown takes the list down, or brings it up.
func (l *List) SetDown(down bool) { l.gate.SetClosed(down) }

// Reads returns the number of answered reads.
func (l *List) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// currentListing returns the listing that readers see now.
func (l *List) currentListing(now time.Time) Listing {
	switch n := l.visibleCount(now); {
	case l.empty:
		return Listing{VMs: []VM{}, At: now}
	case l.frozen != nil:
		return *l.frozen
	case n > 0:
		return Listing{VMs: l.history[n-1].VMs, At: now.Add(-l.lag)}
	default:
		return Listing{VMs: []VM{}, At: now.Add(-l.lag)}
	}
}

// Handler serves the list.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathVMs, l.serve)
	return l.gate.Wrap(mux)
}

func (l *List) serve(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	l.reads++
	listing := l.currentListing(time.Now())
	l.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, listing)
}
