package membership

import "time"

// listState is the last valid list.
type listState struct {
	vms map[string]bool // whether each VM is leaving; nil before the first list
	// asOf is the time as of which the list is valid, by the platform's clock.
	// advancedAt is when asOf last changed, by this process's clock.
	asOf       time.Time
	advancedAt time.Time
}

// ListAge returns the time since the platform's list last advanced, and false if
// there was no list yet. A list that can be read but doesn't advance also ages.
func (c *Core) ListAge(now time.Time) (time.Duration, bool) {
	return now.Sub(c.list.advancedAt), c.list.vms != nil
}

func (l *listState) stale(now time.Time, limit time.Duration) bool {
	return l.vms == nil || now.Sub(l.advancedAt) > limit
}

func (l *listState) advance(now, at time.Time) {
	if l.vms != nil && at.After(l.asOf) {
		l.asOf, l.advancedAt = at, now
	}
}

// status returns the status of a VM from the current list alone.
func (l *listState) status(vm string) listStatus {
	leaving, ok := l.vms[vm]
	switch {
	case !ok:
		return neverListed
	case leaving:
		return listedLeaving
	}
	return listedLive
}

// applyList replaces the last valid list and returns false if the new one is
// rejected. An empty list is rejected, as a fault of the platform is more likely than
// the removal of all VMs. A list older than the last, such as from a server that lags
// more, is rejected until the last one is stale.
func (c *Core) applyList(now time.Time, read ListRead) bool {
	if len(read.VMs) == 0 {
		return false
	}
	if read.At.Before(c.list.asOf) && !c.list.stale(now, c.tuning.ListStaleAfter) {
		return false
	}
	if !read.At.Equal(c.list.asOf) {
		c.list.asOf, c.list.advancedAt = read.At, now
	}
	c.list.vms = make(map[string]bool, len(read.VMs))
	for _, vm := range read.VMs {
		c.list.vms[vm.Name] = vm.Leaving
	}
	c.updateListStatus(now)
	return true
}

// updateListStatus updates the list status of each endpoint.
func (c *Core) updateListStatus(now time.Time) {
	for _, e := range c.endpoints {
		status := c.list.status(e.spec.VM)
		if status == neverListed {
			status = statusAfterRemoval(e.listStatus)
		}
		e.setListStatus(now, status)
	}
	c.confirmRemovals()
}

// statusAfterRemoval returns the status of a VM that isn't listed, given its previous
// status.
func statusAfterRemoval(before listStatus) listStatus {
	switch before {
	case listedLive:
		return removedWhileLive
	case listedLeaving:
		return removedWhileLeaving
	}
	return before
}

// confirmRemovals marks the endpoints that were removed from the list while live as
// gone, unless there are so many that a fault of the list is more likely. In that
// case earlier confirmations stay. Removals of VMs that were listed as leaving are
// not limited, as these may be removed at any time.
func (c *Core) confirmRemovals() {
	everListed, removed := 0, 0
	for _, e := range c.endpoints {
		if e.listStatus != neverListed {
			everListed++
		}
		if e.listStatus == removedWhileLive {
			removed++
		}
	}
	maxRemovals := max(1, int(c.tuning.MaxRemovedShare*float64(everListed)))
	if removed > maxRemovals {
		return
	}
	for _, e := range c.endpoints {
		e.removalConfirmed = e.listStatus == removedWhileLive
	}
}
