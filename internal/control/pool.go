package control

import (
	"container/list"
	"sync"
)

// DefaultPoolSize is how many connections a pool keeps.
const DefaultPoolSize = 32

// Pool keeps clients to the processes that were talked to last. It is safe for
// concurrent use.
type Pool struct {
	cfg  ClientConfig
	size int

	mu      sync.Mutex
	closed  bool
	clients map[Target]*list.Element
	lru  *list.List // of *Client, the one used last first
}

// NewPool returns an empty pool that keeps a number of clients; 0 is
// DefaultPoolSize.
func NewPool(cfg ClientConfig, size int) *Pool {
	if size == 0 {
		size = DefaultPoolSize
	}
	return &Pool{cfg: cfg, size: size, clients: make(map[Target]*list.Element), lru: list.New()}
}

// Client returns the client to a process. The one that wasn't used for longest
// is closed when there are too many, and with it the calls that it still has.
func (p *Pool) Client(target Target) *Client {
	c, evicted := p.getOrCreate(target)
	if evicted != nil {
		_ = evicted.Close() // nobody waits for its error
	}
	return c
}

// getOrCreate returns the client to a process, and one to close if there is one too
// many. Closing writes to the network, so that it mustn't be done under the lock.
func (p *Pool) getOrCreate(target Target) (c, evicted *Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.clients[target]; e != nil {
		p.lru.MoveToFront(e)
		return e.Value.(*Client), nil
	}
	c = NewClient(p.cfg, target)
	if p.closed {
		return c, c
	}
	p.clients[target] = p.lru.PushFront(c)
	if p.lru.Len() > p.size {
		evicted = p.removeOldest()
	}
	return c, evicted
}

func (p *Pool) removeOldest() *Client {
	c := p.lru.Remove(p.lru.Back()).(*Client)
	delete(p.clients, c.target)
	return c
}

// Close closes all clients.
func (p *Pool) Close() {
	for _, c := range p.removeAll() {
		_ = c.Close() // nobody waits for its error
	}
}

func (p *Pool) removeAll() []*Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	var all []*Client
	for p.lru.Len() > 0 {
		all = append(all, p.removeOldest())
	}
	return all
}
