package control

import (
	"container/list"
	"sync"
)

// DefaultPoolSize is the number of clients that a pool keeps by default.
const DefaultPoolSize = 32

// Pool is an LRU cache of clients. It is safe for concurrent use.
type Pool struct {
	cfg  ClientConfig
	size int

	mu      sync.Mutex
	closed  bool
	clients map[Target]*list.Element
	lru     *list.List // of *Client, most recently used first
}

// NewPool returns an empty pool of the given size; 0 means DefaultPoolSize.
func NewPool(cfg ClientConfig, size int) *Pool {
	if size == 0 {
		size = DefaultPoolSize
	}
	return &Pool{cfg: cfg, size: size, clients: make(map[Target]*list.Element), lru: list.New()}
}

// Client returns the client for a process. If the pool is full, it closes the
// least recently used client, which fails that client's calls in flight.
func (p *Pool) Client(target Target) *Client {
	c, evicted := p.getOrCreate(target)
	if evicted != nil {
		_ = evicted.Close() // the caller has no use for the error
	}
	return c
}

// getOrCreate returns the client for a process, and the evicted client if the pool
// was full. The caller closes the evicted client, because closing writes to the
// network and must not happen under the lock.
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

// Close closes all clients. Clients requested later are closed from the start.
func (p *Pool) Close() {
	for _, c := range p.removeAll() {
		_ = c.Close() // the caller has no use for the error
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
