// Package directory holds the known endpoints, as read from an external list. A reading of the
// list may be outdated, partial, or lack entries that will be back after an outage; Merge
// handles these cases.
package directory

import (
	"maps"
	"slices"
	"time"

	"coveferry/internal/bundle"
)

// Entry is an endpoint's entry in the list.
type Entry struct {
	Endpoint bundle.Endpoint
	// Draining reports that the endpoint takes no new work.
	Draining bool
	// Incarnation identifies the endpoint's process: it changes when the endpoint restarts under
	// the same name. Incarnations have no order, as clocks may be set back. Empty if the list
	// doesn't have it.
	Incarnation string `json:",omitempty"`
	// Version is that of the endpoint's software. Versions have no order. Empty if the list
	// doesn't have it.
	Version string `json:",omitempty"`
	// Cold is for how much longer, as of the writing of the entry, the endpoint can take little
	// work: its caches are empty, and too much work crashes it.
	Cold time.Duration `json:",omitempty"`
	// kept marks an endpoint that the list lacks but that may be back. It is local to this
	// router.
	kept bool
}

// Reading is a reading of the list: all of it, or the changes since an earlier reading.
type Reading struct {
	// Full reports that Entries is the whole list; otherwise Entries are those that changed
	// since the earlier reading, and Removed the names of those that were removed.
	Full    bool
	Entries []Entry
	Removed []string
	// Replaced are entries that came and went between the earlier reading and this one, where the source
	// tells of them.
	Replaced []Entry
	// Unreadable lists the unreadable entries. They don't affect other entries; an
	// endpoint that was listed under such a name counts as removed.
	Unreadable []Unreadable
	// Evacuations are the evacuations of failure domains, or their changes.
	Evacuations Evacuations
	// Revision is the position in the list's history at the time of reading.
	Revision Revision
}

// Evacuations lists the failure domains under evacuation, or the changes to them.
type Evacuations struct {
	// Full reports that Active lists all evacuated domains; otherwise it lists those whose
	// evacuation began, and Ended those whose evacuation ended.
	Full   bool
	Active []string
	Ended  []string
}

// Unreadable is an entry that can't be decoded or is invalid, and why.
type Unreadable struct {
	Name  string
	Cause error
}

// Directory is an immutable set of endpoints.
type Directory struct {
	entries   map[string]Entry
	byService map[string][]*bundle.Endpoint
	// evacuated holds the evacuated failure domains, with or without endpoints.
	evacuated map[string]bool
	revision  Revision
	digest    uint64
	// unversionedDigest is the digest without the endpoints' versions.
	unversionedDigest uint64
	kept              int // number of entries that the list lacks
}

// Empty returns a directory without endpoints.
func Empty() *Directory { return build(nil, nil, Revision{}) }

func build(entries map[string]Entry, evacuated map[string]bool, revision Revision) *Directory {
	d := &Directory{
		entries: entries, evacuated: evacuated, byService: make(map[string][]*bundle.Endpoint),
		revision: revision,
	}
	d.digest, d.unversionedDigest = digestsOf(entries, evacuated)
	for _, name := range sortedNames(entries) {
		e := entries[name]
		if e.kept {
			d.kept++
		}
		for _, service := range e.Endpoint.Services {
			d.byService[service] = append(d.byService[service], &e.Endpoint)
		}
	}
	return d
}

// ByService returns the endpoints of a service sorted by name, including draining ones.
func (d *Directory) ByService(service string) []*bundle.Endpoint { return d.byService[service] }

// Entry returns the entry of an endpoint; false if there is none.
func (d *Directory) Entry(endpoint string) (Entry, bool) {
	e, ok := d.entries[endpoint]
	return e, ok
}

// Entries returns all entries sorted by name.
func (d *Directory) Entries() []Entry {
	entries := make([]Entry, 0, len(d.entries))
	for _, name := range sortedNames(d.entries) {
		entries = append(entries, d.entries[name])
	}
	return entries
}

// Page returns up to limit entries whose names follow the given one, sorted by name, and reports
// whether more follow.
func (d *Directory) Page(after string, limit int) (entries []Entry, more bool) {
	names := sortedNames(d.entries)
	start, found := slices.BinarySearch(names, after)
	if found {
		start++
	}
	end := min(start+limit, len(names))
	for _, name := range names[start:end] {
		entries = append(entries, d.entries[name])
	}
	return entries, end < len(names)
}

// Listed returns the directory without the endpoints that the list lacks and that are only kept
// for a while. Other routers may know that an endpoint kept after this router's own outage has
// long left.
func (d *Directory) Listed() *Directory {
	if d.kept == 0 {
		return d
	}
	listed := make(map[string]Entry, len(d.entries))
	for name, e := range d.entries {
		if !e.kept {
			listed[name] = e
		}
	}
	return build(listed, d.evacuated, d.revision)
}

// Evacuated returns the evacuated failure domains, sorted.
func (d *Directory) Evacuated() []string { return slices.Sorted(maps.Keys(d.evacuated)) }

// IsEvacuated reports whether a failure domain is evacuated.
func (d *Directory) IsEvacuated(domain string) bool { return d.evacuated[domain] }

// AcceptsWork reports whether an endpoint is listed and may get new work.
func (d *Directory) AcceptsWork(endpoint string) bool {
	e, listed := d.entries[endpoint]
	return listed && !e.Draining && !d.evacuated[e.Endpoint.FailureDomain]
}

// KeptCount returns the number of endpoints that the list lacks.
func (d *Directory) KeptCount() int { return d.kept }

// Len returns the number of endpoints.
func (d *Directory) Len() int { return len(d.entries) }

// Digest returns a hash of everything but the revision.
func (d *Directory) Digest() uint64 { return d.digest }

// UnversionedDigest is Digest without the endpoints' versions, which routers of older software
// don't know.
func (d *Directory) UnversionedDigest() uint64 { return d.unversionedDigest }

// Revision returns the revision of the newest reading.
func (d *Directory) Revision() Revision { return d.revision }

// Merge returns the directory that results from a reading, and whether it differs. A reading older
// than the last one is ignored. Before keepAbsentUntil an endpoint that the reading lacks is kept:
// after an outage the list lacks entries of live endpoints that will be back.
func (d *Directory) Merge(r Reading, now, keepAbsentUntil time.Time) (*Directory, bool) {
	if r.Revision.Before(d.revision) {
		return d, false
	}
	evacuated := d.evacuatedAfter(r.Evacuations)
	if d.kept == 0 && r.changesNoEntry() && maps.Equal(d.evacuated, evacuated) {
		return d.withRevision(r.Revision), false
	}
	next := d.entriesAfter(r)
	if now.Before(keepAbsentUntil) {
		d.keepAbsent(next)
	}
	for _, u := range r.Unreadable {
		delete(next, u.Name)
	}
	if sameEntries(d.entries, next) && maps.Equal(d.evacuated, evacuated) {
		return d.withRevision(r.Revision), false
	}
	return build(next, evacuated, r.Revision), true
}

func (r *Reading) changesNoEntry() bool {
	return !r.Full && len(r.Entries) == 0 && len(r.Removed) == 0 && len(r.Unreadable) == 0
}

// evacuatedAfter returns the failure domains that are evacuated after a reading. An evacuation
// lasts until a reading reports its end.
func (d *Directory) evacuatedAfter(e Evacuations) map[string]bool {
	if !e.Full && len(e.Active) == 0 && len(e.Ended) == 0 {
		return d.evacuated
	}
	next := make(map[string]bool, len(d.evacuated)+len(e.Active))
	if !e.Full {
		maps.Copy(next, d.evacuated)
	}
	for _, domain := range e.Active {
		next[domain] = true
	}
	for _, domain := range e.Ended {
		delete(next, domain)
	}
	return next
}

// withRevision returns the same directory with a later revision.
func (d *Directory) withRevision(revision Revision) *Directory {
	same := *d
	same.revision = revision
	return &same
}

// entriesAfter returns the entries of the list after a reading.
func (d *Directory) entriesAfter(r Reading) map[string]Entry {
	next := make(map[string]Entry, max(len(r.Entries), len(d.entries)))
	if !r.Full {
		for name, e := range d.entries {
			if !e.kept {
				next[name] = e
			}
		}
	}
	for _, e := range r.Entries {
		e.Endpoint.Incarnation, e.Endpoint.Version = e.Incarnation, e.Version
		next[e.Endpoint.Name] = e
	}
	for _, name := range r.Removed {
		delete(next, name)
	}
	return next
}

// keepAbsent adds the endpoints that the next directory lacks, except those whose address
// another endpoint has taken over.
func (d *Directory) keepAbsent(next map[string]Entry) {
	taken := make(map[string]bool, len(next))
	for _, e := range next {
		taken[e.Endpoint.Address] = true
	}
	for name, e := range d.entries {
		if _, listed := next[name]; !listed && !taken[e.Endpoint.Address] {
			e.kept = true
			next[name] = e
		}
	}
}
