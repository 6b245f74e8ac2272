package rollout

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"coveferry/internal/control"
	"coveferry/internal/identity"
)

// maxConcurrentQueries limits the failure domains that are queried at the same
// time.
const maxConcurrentQueries = 16

// FleetStatus is the status of the fleet, collected from a few processes: one
// of each failure domain reports on all of it.
type FleetStatus struct {
	// Highest is the highest active version of any process.
	Highest uint64 `json:"highest"`
	// Processes lists all known processes by failure domain and ID.
	Processes []ProcessStatus `json:"processes"`
	// Asked holds the replies of the processes that were queried.
	Asked []Status `json:"asked"`
	// Failed lists router addresses that didn't answer, and failure domains of
	// which no process did.
	Failed []QueryFailure `json:"failed,omitempty"`
}

// QueryFailure is a failure domain, or an address, that didn't answer.
type QueryFailure struct {
	Where string `json:"where"`
	Error string `json:"error"`
}

// Lags says whether a process has a lower version than the highest active one.
func (s *FleetStatus) Lags(p ProcessStatus) bool { return p.Version < s.Highest }

// Lagging lists the processes that lag.
func (s *FleetStatus) Lagging() []ProcessStatus {
	return slices.DeleteFunc(slices.Clone(s.Processes), func(p ProcessStatus) bool { return !s.Lags(p) })
}

// StatusClient queries the status of processes for an operator.
type StatusClient struct {
	pool *control.Pool
}

// NewStatusClient returns a client that uses the pool's connections.
func NewStatusClient(pool *control.Pool) *StatusClient { return &StatusClient{pool: pool} }

// Query queries the routers at the addresses, then one process of each other
// failure domain that they list. It fails if none of the routers answers.
func (s *StatusClient) Query(ctx context.Context, routers []string) (*FleetStatus, error) {
	c := statusCollector{domains: make(map[string]bool), processes: make(map[ID]ProcessStatus)}
	var failed []error
	for _, address := range routers {
		st, err := s.queryStatus(ctx, control.Target{Address: address, Peer: identity.Peer{Role: identity.RoleRouter, Name: identity.AnyName}})
		if err != nil {
			failed = append(failed, err)
			c.addFailure(address, err)
			continue
		}
		c.add(st)
	}
	if len(c.asked) == 0 {
		return nil, errors.Wrap(errors.Join(failed...), "no router answered")
	}
	s.queryDomains(ctx, &c)
	return c.fleetStatus(), nil
}

func (s *StatusClient) queryStatus(ctx context.Context, t control.Target) (Status, error) {
	return control.Call(ctx, s.pool.Client(t), MethodStatus, StatusRequest{})
}

// queryDomains queries one process of each failure domain that hasn't been
// queried yet.
func (s *StatusClient) queryDomains(ctx context.Context, c *statusCollector) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for domain, contacts := range c.contactsToQuery() {
		group.Go(func() error {
			s.queryDomain(ctx, c, domain, contacts)
			return nil
		})
	}
	_ = group.Wait() // the collector holds the errors
}

func (s *StatusClient) queryDomain(ctx context.Context, c *statusCollector, domain string, contacts []Contact) {
	var last error
	for _, contact := range contacts {
		peer, err := contact.ID.Peer()
		if err != nil {
			last = err
			continue
		}
		st, err := s.queryStatus(ctx, control.Target{Address: contact.Address, Peer: peer})
		if err == nil {
			c.add(st)
			return
		}
		last = err
	}
	c.addFailure(domain, last)
}

// statusCollector merges the replies of processes. It is safe for concurrent
// use.
type statusCollector struct {
	mu        sync.Mutex
	asked     []Status
	domains   map[string]bool
	processes map[ID]ProcessStatus
	failed    []QueryFailure
}

func (c *statusCollector) add(st Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, st)
	c.domains[st.Self.FailureDomain] = true
	for _, p := range st.Processes {
		old, known := c.processes[p.ID]
		if !known || moreRecent(p, old) {
			c.processes[p.ID] = p
		}
	}
}

func moreRecent(a, b ProcessStatus) bool {
	return a.AgeMillis != NeverReported && (b.AgeMillis == NeverReported || a.AgeMillis < b.AgeMillis)
}

func (c *statusCollector) addFailure(where string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = append(c.failed, QueryFailure{Where: where, Error: err.Error()})
}

// contactsToQuery lists the contacts of the failure domains of which no process
// has replied.
func (c *statusCollector) contactsToQuery() map[string][]Contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string][]Contact)
	for _, st := range c.asked {
		for _, contact := range st.Contacts {
			if !c.domains[contact.FailureDomain] && !slices.Contains(out[contact.FailureDomain], contact) {
				out[contact.FailureDomain] = append(out[contact.FailureDomain], contact)
			}
		}
	}
	return out
}

func (c *statusCollector) fleetStatus() *FleetStatus {
	out := &FleetStatus{Asked: c.asked, Failed: c.failed, Processes: slices.Collect(maps.Values(c.processes))}
	slices.SortFunc(out.Processes, func(a, b ProcessStatus) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(out.Asked, func(a, b Status) int { return cmp.Compare(a.Self.ID, b.Self.ID) })
	for _, p := range out.Processes {
		out.Highest = max(out.Highest, p.Version)
	}
	return out
}
