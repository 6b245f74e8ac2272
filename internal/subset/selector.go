package subset

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/bundle"
)

// usersPerEndpoint is the average number of routers that should use each endpoint.
const usersPerEndpoint = 2

// Selector caches a router's subsets. A subset is recomputed only if the endpoints, their failure
// domains or the routers have changed, since that costs far more than a lookup and most
// configuration updates change other things. It is safe for concurrent use.
type Selector struct {
	self string
	size int

	mu     sync.Mutex
	chosen map[string]selection // by model or service
}

// selection is a cached subset with the fingerprint of its input.
type selection struct {
	inputHash uint64
	names     map[string]bool
	// snapshot is the one that was last passed to Select, and endpoints the subset as its objects.
	snapshot  *bundle.Snapshot
	endpoints []*bundle.Endpoint
}

// NewSelector returns a selector for the router of the given name that uses
// about size endpoints of each model or service; 0 means all.
func NewSelector(self string, size int) *Selector {
	return &Selector{self: self, size: size, chosen: make(map[string]selection)}
}

// Select returns the endpoints that the router uses among all those of the model or service
// called target. These are all if the selector has no size or the bundle lists no routers.
func (s *Selector) Select(snap *bundle.Snapshot, target string, endpoints []*bundle.Endpoint) []*bundle.Endpoint {
	routers := snap.Bundle().Routers
	if s.size == 0 || len(routers) == 0 || len(endpoints) <= s.size {
		return endpoints
	}
	size := s.effectiveSize(len(endpoints), len(routers))
	s.mu.Lock()
	defer s.mu.Unlock()
	sel := s.chosen[target]
	if sel.snapshot == snap {
		return sel.endpoints
	}
	if from := fingerprint(endpoints, routers); sel.names == nil || sel.inputHash != from {
		sel = selection{inputHash: from, names: s.assign(endpoints, routers, size)}
	}
	sel.snapshot = snap
	sel.endpoints = filterByName(endpoints, sel.names)
	s.chosen[target] = sel
	return sel.endpoints
}

// effectiveSize returns the subset size at which an endpoint is used by two routers on average,
// so that hardly any endpoint is idle while a router is down; in small fleets it is larger than
// the configured size.
func (s *Selector) effectiveSize(endpoints, routers int) int {
	return max(s.size, ceil(usersPerEndpoint*endpoints, routers))
}

func (s *Selector) assign(endpoints []*bundle.Endpoint, routers []bundle.Router, size int) map[string]bool {
	names := make([]string, len(routers))
	for i, r := range routers {
		names[i] = r.Name
	}
	chosen := make(map[string]bool, size)
	for _, e := range Assign(s.self, names, endpoints, size) {
		chosen[e.Name] = true
	}
	return chosen
}

func filterByName(endpoints []*bundle.Endpoint, names map[string]bool) []*bundle.Endpoint {
	picked := make([]*bundle.Endpoint, 0, len(names))
	for _, e := range endpoints {
		if names[e.Name] {
			picked = append(picked, e)
		}
	}
	return picked
}

// fingerprint returns a hash of the input of Assign.
func fingerprint(endpoints []*bundle.Endpoint, routers []bundle.Router) uint64 {
	h := xxhash.New()
	for _, e := range endpoints {
		hashName(h, e.Name)
		hashName(h, e.FailureDomain)
	}
	hashName(h, "")
	for _, r := range routers {
		hashName(h, r.Name)
	}
	return h.Sum64()
}

// hashName adds a name and a separator that no name contains.
func hashName(h *xxhash.Digest, name string) {
	_, _ = h.WriteString(name) // hash writes never fail
	_, _ = h.Write([]byte{0})
}
