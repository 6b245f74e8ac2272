package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/bundle"
)

// Parameters of time slots.
const (
	// storeUtilization is the fraction of the weight store's rate that the
	// slots use, so that small clock differences don't push the agents above
	// it.
	storeUtilization = 0.9
	// unloadSlotInterval is the interval between the unload slots of two
	// agents. It is shorter for large fleets, so that every agent has a slot
	// within maxUnloadRound.
	unloadSlotInterval = time.Second
	maxUnloadRound     = time.Minute
)

// Peer is another endpoint whose agent places models; elsewhere a peer is another router.
type Peer struct {
	Name    string
	Address string // IP and port of the agent
	Models  []string
}

// Plan is the placement of one endpoint in one version of the bundle. It is
// immutable.
type Plan struct {
	Version uint64
	Self    string
	Want    bundle.Placement
	// Managed lists the models that the bundle defines. Nothing else is ever
	// unloaded: it may be an adapter, as engines list adapters among their
	// models.
	Managed []string
	Peers   []Peer
	// MinReady is how many others must keep a model before it is unloaded.
	MinReady int
	// FetchSlots are the slots for fetching weights, UnloadSlots those for
	// unloading a model.
	FetchSlots, UnloadSlots TimeSlots
}

// NewPlan returns the plan of an endpoint, or nil if the bundle has no
// placement for it.
func NewPlan(b *bundle.Bundle, self string) *Plan {
	p := &Plan{Version: b.Version, Self: self, MinReady: max(1, b.Limits.MinReadyReplicas)}
	var names []string
	for i := range b.Endpoints {
		e := &b.Endpoints[i]
		if e.Placement.IsZero() {
			continue
		}
		names = append(names, e.Name)
		if e.Name == self {
			p.Want = e.Placement
			continue
		}
		p.Peers = append(p.Peers, Peer{Name: e.Name, Address: e.Address, Models: e.Placement.Models})
	}
	if p.Want.IsZero() {
		return nil
	}
	for _, m := range b.Models {
		p.Managed = append(p.Managed, m.Name)
	}
	p.setSlots(names, b.Limits.WeightFetchesPerSecond)
	return p
}

// setSlots ranks the agents by a hash of their names, so that their order in
// the bundle, and which are next to each other there, has no influence.
func (p *Plan) setSlots(names []string, fetches float64) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	count, rank := len(names), slices.Index(names, p.Self)
	fetch := time.Duration(float64(time.Second) / (storeUtilization * fetches))
	p.FetchSlots = TimeSlots{Interval: fetch, Rank: rank, Count: count}
	p.UnloadSlots = TimeSlots{Interval: min(unloadSlotInterval, maxUnloadRound/time.Duration(count)), Rank: rank, Count: count}
}

// plannedKeepers returns the peers that the plan places the model on.
func (p *Plan) plannedKeepers(model string) []Peer {
	return slices.DeleteFunc(slices.Clone(p.Peers), func(q Peer) bool { return !slices.Contains(q.Models, model) })
}
