package bundle

import (
	"crypto/sha256"
	"encoding/hex"

	"coveferry/internal/route"
)

// Snapshot is a valid bundle with the indexes that requests need. It is immutable: a
// new version is a new snapshot, and a request uses the same snapshot throughout.
type Snapshot struct {
	bundle    *Bundle
	teams     map[string]*Team
	classes   map[string]*Class
	tierRank  map[string]int
	byModel   map[string][]*Endpoint
	byService map[string][]*Endpoint
	services  map[string]*Service
	byAddress map[string]string // names of endpoints
	direct    map[string][]*Endpoint
	routes    *route.Table // nil without routes
	// contents are the decoded sections from which the bundle was joined; empty for
	// a bundle that was received whole.
	contents sectionContents
}

// NewSnapshot indexes a bundle without errors. The bundle must not be changed
// afterwards.
func NewSnapshot(b *Bundle) *Snapshot {
	s := &Snapshot{
		bundle:    b,
		teams:     make(map[string]*Team),
		classes:   make(map[string]*Class, len(b.Classes)),
		tierRank:  make(map[string]int, len(b.Tiers)),
		byModel:   make(map[string][]*Endpoint),
		byService: make(map[string][]*Endpoint),
		services:  make(map[string]*Service, len(b.Services)),
		byAddress: make(map[string]string, len(b.Endpoints)),
		direct:    make(map[string][]*Endpoint),
	}
	for i := range b.Teams {
		for _, hash := range b.Teams[i].KeyHashes {
			s.teams[hash] = &b.Teams[i]
		}
	}
	for i := range b.Classes {
		s.classes[b.Classes[i].Name] = &b.Classes[i]
	}
	for rank, t := range b.Tiers {
		s.tierRank[t.Name] = rank
	}
	for i := range b.Services {
		s.services[b.Services[i].Name] = &b.Services[i]
	}
	for i := range b.Endpoints {
		s.indexEndpoint(&b.Endpoints[i])
	}
	if len(b.Routes) > 0 {
		s.routes, _ = b.routeTable() // can't fail: Check has built the same table
	}
	return s
}

func (s *Snapshot) indexEndpoint(e *Endpoint) {
	if e.Direct {
		for _, svc := range e.Services {
			s.direct[svc] = append(s.direct[svc], e)
		}
		return
	}
	s.byAddress[e.Address] = e.Name
	for _, m := range e.Models {
		s.byModel[m] = append(s.byModel[m], e)
	}
	for _, svc := range e.Services {
		s.byService[svc] = append(s.byService[svc], e)
	}
}

// Bundle returns the snapshot's bundle, which must not be changed.
func (s *Snapshot) Bundle() *Bundle { return s.bundle }

// Version returns the bundle's version.
func (s *Snapshot) Version() uint64 { return s.bundle.Version }

// HasSection reports whether the bundle was joined from the section, which then
// needn't be fetched again for the next version. It returns false on a nil snapshot.
func (s *Snapshot) HasSection(d Digest) bool { return s.sectionContents()[d] != nil }

func (s *Snapshot) sectionContents() sectionContents {
	if s == nil {
		return nil
	}
	return s.contents
}

// TeamByKey returns the team that owns a key.
func (s *Snapshot) TeamByKey(key string) (*Team, bool) {
	t, ok := s.teams[HashKey(key)]
	return t, ok
}

// Class returns a class by name.
func (s *Snapshot) Class(name string) (*Class, bool) {
	c, ok := s.classes[name]
	return c, ok
}

// TierRank returns the rank of a tier, 0 for the highest.
func (s *Snapshot) TierRank(name string) (int, bool) {
	r, ok := s.tierRank[name]
	return r, ok
}

// Service returns a plain service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// EndpointsForModel returns the endpoints that serve a model.
func (s *Snapshot) EndpointsForModel(model string) []*Endpoint { return s.byModel[model] }

// EndpointsForService returns the endpoints that serve a plain service.
func (s *Snapshot) EndpointsForService(name string) []*Endpoint { return s.byService[name] }

// Routes returns the route table, nil if the bundle has no routes.
func (s *Snapshot) Routes() *route.Table { return s.routes }

// DirectEndpoints returns the endpoints of a service that routers reach without
// agents.
func (s *Snapshot) DirectEndpoints(service string) []*Endpoint { return s.direct[service] }

// EndpointAt returns the name of the endpoint whose agent has the address.
func (s *Snapshot) EndpointAt(address string) (string, bool) {
	name, ok := s.byAddress[address]
	return name, ok
}

// HashKey returns the hash of a team's key in the form of Team.KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}
