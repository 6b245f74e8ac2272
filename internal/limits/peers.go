package limits

import (
	"sync"
	"time"
)

// forgetAfter is the time after which an owner grants the share of an unresponsive
// holder to the others. The holder may have failed or may be using its fair
// share behind a partition, which the owner can't distinguish.
const forgetAfter = 30 * time.Second

// peerTracker tracks the holders that send requests to this router as owner.
type peerTracker struct {
	mu          sync.Mutex
	routerCount int
	contacts    map[string]contact
}

// contact is the last request of a holder.
type contact struct {
	at time.Time
	// using reports whether the request was for any team. An empty request means
	// that the holder uses no limits of this owner.
	using bool
}

func (p *peerTracker) init() { p.contacts = make(map[string]contact) }

func (p *peerTracker) update(t *topology) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routerCount = t.routerCount
}

// recordContact records a request of a holder and returns how many routers are
// reachable. A holder that has been unresponsive for a TTL after a non-empty request
// is using its fair share and counts as unreachable.
func (p *peerTracker) recordContact(now time.Time, name string, using bool, ttl time.Duration) reachability {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.contacts[name] = contact{at: now, using: using}
	unreachable := 0
	for peer, c := range p.contacts {
		sinceContact := now.Sub(c.at)
		switch {
		case sinceContact >= forgetAfter:
			delete(p.contacts, peer)
		case sinceContact >= ttl && c.using:
			unreachable++
		}
	}
	return reachability{reachable: max(p.routerCount-unreachable, 1), total: p.routerCount}
}
