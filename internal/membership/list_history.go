package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxTombstones bounds the VMs that are remembered as removed from the list.
const maxTombstones = 4096

// listHistory is the platform's list with the time of each change, so that routers
// send each other only the changes. All times but advancedAt are by the platform's
// clock.
type listHistory struct {
	asOf       time.Time // the time as of which the list is valid
	advancedAt time.Time // when asOf last changed, by this process's clock
	vms        map[string]listEntry
	tombstones map[string]time.Time
	// lastChange is the time of the latest change. historyStart is the time from
	// which on all changes are known.
	lastChange, historyStart time.Time
	// checksum differs between lists with different content.
	checksum uint64
}

type listEntry struct {
	leaving bool
	at      time.Time // when the entry was first seen with this content
}

// Update holds the part of the list that one router sends to another.
type Update struct {
	At time.Time `json:"at"`
	// Full means that VMs is the full list; otherwise VMs and Gone are the changes.
	Full bool `json:"whole,omitempty"`
	// Sum is the checksum of the full list. It is the only sign of a change that was
	// reverted and made again between two reads.
	Sum  uint64    `json:"sum"`
	VMs  []VMEntry `json:"vms,omitempty"`
	Gone []VMEntry `json:"gone,omitempty"`
}

// VMEntry is one VM in an Update.
type VMEntry struct {
	Name    string `json:"n"`
	Leaving bool   `json:"l,omitempty"`
	// At is the time since which the list has had this entry or removal.
	At time.Time `json:"t"`
}

// shouldApply reports whether a list as of the given time should replace this one:
// if it is newer, or if it is older and this list has not advanced for longer than
// staleAfter, such as after the platform's clock was set back.
func (l *listHistory) shouldApply(now, at time.Time, staleAfter time.Duration) bool {
	if l.vms == nil || at.After(l.asOf) {
		return true
	}
	return at.Before(l.asOf) && now.Sub(l.advancedAt) > staleAfter
}

// replace replaces the list by one that was read from the platform.
func (l *listHistory) replace(now time.Time, read ListRead) {
	if read.At.Before(l.asOf) {
		*l = listHistory{}
	}
	next := make(map[string]listEntry, len(read.VMs))
	for _, vm := range read.VMs {
		next[vm.Name] = listEntry{leaving: vm.Leaving, at: read.At}
		delete(l.tombstones, vm.Name)
		if before, ok := l.vms[vm.Name]; ok && before.leaving == vm.Leaving {
			next[vm.Name] = before
		}
	}
	if l.vms == nil {
		l.historyStart = read.At
	}
	before := l.vms
	l.vms = next
	for name := range before {
		if _, ok := next[name]; !ok {
			l.addTombstone(name, read.At)
		}
	}
	l.advance(now, read.At)
}

// merge applies another router's update and reports whether it contained a change.
func (l *listHistory) merge(now time.Time, u Update) bool {
	switch {
	case u.Full && len(u.VMs) > 0:
		l.vms, l.tombstones, l.historyStart = make(map[string]listEntry, len(u.VMs)), nil, u.At
	case u.Full || l.vms == nil || !u.At.After(l.asOf):
		return false
	}
	for _, vm := range u.VMs {
		l.vms[vm.Name] = listEntry{leaving: vm.Leaving, at: vm.At}
		delete(l.tombstones, vm.Name)
	}
	for _, vm := range u.Gone {
		l.addTombstone(vm.Name, vm.At)
		delete(l.vms, vm.Name)
	}
	l.advance(now, u.At)
	return u.Full || len(u.VMs)+len(u.Gone) > 0
}

// matches reports whether the checksum is that of the list from which an update was
// made. An update of another time can't be compared and counts as a match.
func (l *listHistory) matches(u Update) bool { return !l.asOf.Equal(u.At) || l.checksum == u.Sum }

func (l *listHistory) addTombstone(name string, at time.Time) {
	if len(l.tombstones) >= maxTombstones {
		l.tombstones, l.historyStart = nil, l.asOf
	}
	if l.tombstones == nil {
		l.tombstones = make(map[string]time.Time)
	}
	l.tombstones[name] = at
}

// advance sets the time of the list and recomputes its latest change and checksum.
func (l *listHistory) advance(now, at time.Time) {
	l.asOf, l.advancedAt, l.checksum = at, now, 0
	for name, e := range l.vms {
		l.lastChange = latest(l.lastChange, e.at)
		l.checksum ^= xxhash.Sum64String(name + string(vmStateOf(e.leaving)))
	}
	for _, at := range l.tombstones {
		l.lastChange = latest(l.lastChange, at)
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// changedSince reports whether the list has changed after the given time.
func (l *listHistory) changedSince(at time.Time) bool { return l.vms != nil && l.lastChange.After(at) }

// updateSince returns the changes after the given time, or the full list if not all
// of them are known.
func (l *listHistory) updateSince(at time.Time) Update {
	u := Update{At: l.asOf, Full: at.Before(l.historyStart), Sum: l.checksum}
	for _, name := range slices.Sorted(maps.Keys(l.vms)) {
		if e := l.vms[name]; u.Full || e.at.After(at) {
			u.VMs = append(u.VMs, VMEntry{Name: name, Leaving: e.leaving, At: e.at})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.tombstones)) {
		if gone := l.tombstones[name]; !u.Full && gone.After(at) {
			u.Gone = append(u.Gone, VMEntry{Name: name, At: gone})
		}
	}
	return u
}

// toListRead returns the list as an event for Core.
func (l *listHistory) toListRead() ListRead {
	read := ListRead{At: l.asOf, VMs: make([]VM, 0, len(l.vms))}
	for name, e := range l.vms {
		read.VMs = append(read.VMs, VM{Name: name, Leaving: e.leaving})
	}
	return read
}
