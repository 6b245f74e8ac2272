package peers

import (
	"sync"

	"coveferry/internal/directory"
)

// maxGone bounds the endpoints that have left and are still told of one by one:
// some times what is replaced in the minutes for which a router may have slept.
const maxGone = 1024

// changelog tells what changed in a list since a revision, so that a long list
// isn't told again and again. It knows the changes between the lists that it was
// shown. It is safe for concurrent use.
type changelog struct {
	mu sync.Mutex
	// seen is the list that it was shown last, and last the revision of the last
	// change in it. Changes up to the revision floor aren't known one by one.
	seen        *directory.Directory
	last, floor uint64
	// changed and gone have the revision by which a change of an endpoint had
	// been seen.
	changed, gone map[string]uint64
}

// since returns what an asker lacks that has the list as of a revision, with this
// digest. ok is false if that isn't known.
func (c *changelog) since(d *directory.Directory, revision, digest uint64) (news directory.Reading, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.look(d)
	news.Revision = d.Revision()
	switch {
	case digest == d.Digest(), revision > d.Revision():
		return news, true
	case revision < c.floor, revision >= c.last:
		// The lists differ though nothing is known to have changed since.
		return news, false
	}
	for name, at := range c.changed {
		if e, listed := d.Entry(name); listed && at > revision {
			news.Entries = append(news.Entries, e)
		}
	}
	for name, at := range c.gone {
		if at > revision {
			news.Gone = append(news.Gone, name)
		}
	}
	return news, true
}

// look notes what changed since the last list. c.mu is held.
func (c *changelog) look(d *directory.Directory) {
	if c.seen != nil && c.seen.Digest() == d.Digest() {
		return
	}
	if c.seen == nil {
		c.restart(d)
		return
	}
	changed, gone := c.seen.ChangesTo(d)
	c.seen, c.last = d, d.Revision()
	for _, e := range changed {
		c.changed[e.Endpoint.Name] = c.last
		delete(c.gone, e.Endpoint.Name)
	}
	for _, name := range gone {
		c.gone[name] = c.last
		delete(c.changed, name)
	}
	if len(c.gone) > maxGone {
		c.restart(d)
	}
}

// restart forgets all changes. c.mu is held.
func (c *changelog) restart(d *directory.Directory) {
	c.seen, c.last, c.floor = d, d.Revision(), d.Revision()
	c.changed = make(map[string]uint64)
	c.gone = make(map[string]uint64)
}
