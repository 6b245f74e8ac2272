package peers

import (
	"sync"

	"coveferry/internal/directory"
)

// maxRemoved bounds the removed endpoints that are reported one by one. It is several times
// the number that is replaced in the minutes for which a router's VM may be suspended.
const maxRemoved = 1024

// changeLog computes what changed in a list since a revision, so that a long list isn't sent
// again on each poll. It covers the changes between the lists passed to it. It is safe for
// concurrent use.
type changeLog struct {
	mu sync.Mutex
	// list is the latest list, and lastChange the revision of its last change. Changes up to
	// the revision floor are not recorded individually.
	list              *directory.Directory
	lastChange, floor directory.Revision
	// changed and removed map an endpoint to the revision at which its change was detected.
	changed, removed map[string]directory.Revision
}

// since returns the changes that a peer lacks whose list has this revision; same says that it
// equals d. ok is false if the changes since then aren't recorded.
func (c *changeLog) since(d *directory.Directory, revision directory.Revision, same bool) (changes directory.Reading, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update(d)
	changes.Revision = d.Revision()
	switch {
	case same, d.Revision().Before(revision):
		return changes, true
	case revision.Before(c.floor), !revision.Before(c.lastChange):
		// The lists differ, but no recorded change explains it.
		return changes, false
	}
	for name, at := range c.changed {
		if e, listed := d.Entry(name); listed && revision.Before(at) {
			changes.Entries = append(changes.Entries, e)
		}
	}
	for name, at := range c.removed {
		if revision.Before(at) {
			changes.Removed = append(changes.Removed, name)
		}
	}
	return changes, true
}

// update records the changes from the last list to d. c.mu is held.
func (c *changeLog) update(d *directory.Directory) {
	if c.list != nil && c.list.Digest() == d.Digest() {
		return
	}
	if c.list == nil {
		c.reset(d)
		return
	}
	changed, removed := c.list.ChangesTo(d)
	c.list, c.lastChange = d, d.Revision()
	for _, e := range changed {
		c.changed[e.Endpoint.Name] = c.lastChange
		delete(c.removed, e.Endpoint.Name)
	}
	for _, name := range removed {
		c.removed[name] = c.lastChange
		delete(c.changed, name)
	}
	if len(c.removed) > maxRemoved {
		c.reset(d)
	}
}

// reset drops all recorded changes. c.mu is held.
func (c *changeLog) reset(d *directory.Directory) {
	c.list, c.lastChange, c.floor = d, d.Revision(), d.Revision()
	c.changed = make(map[string]directory.Revision)
	c.removed = make(map[string]directory.Revision)
}
