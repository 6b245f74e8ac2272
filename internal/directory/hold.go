package directory

import "slices"

// Hold adapts a reading of a list that came back from an older copy, as long as what the copy lacks
// may not have been written again: endpoints known to d keep what is known of them, except that they
// may have begun to drain, and domains known to be evacuated stay so. changed reports whether it
// changed the reading.
func (d *Directory) Hold(r Reading) (held Reading, changed bool) {
	held = r
	if r.Full {
		held.Entries = slices.Clone(r.Entries)
		for i, e := range held.Entries {
			known, ok := d.entries[e.Endpoint.Name]
			if ok && holdEntry(&held.Entries[i], known) {
				changed = true
			}
		}
	}
	if r.Evacuations.Full {
		held.Evacuations.Active = slices.Clone(r.Evacuations.Active)
		for _, domain := range d.Evacuated() {
			if !slices.Contains(held.Evacuations.Active, domain) {
				held.Evacuations.Active = append(held.Evacuations.Active, domain)
				changed = true
			}
		}
	}
	return held, changed
}

func holdEntry(e *Entry, known Entry) (changed bool) {
	if !e.SameProcess(known) {
		known.kept = false
		*e = known
		return true
	}
	if known.Draining && !e.Draining {
		e.Draining = true
		return true
	}
	return false
}

// SameProcess reports whether two entries of a name describe the same process.
func (e Entry) SameProcess(o Entry) bool {
	return e.Incarnation == o.Incarnation && e.Version == o.Version && e.Endpoint.Address == o.Endpoint.Address
}

// Drop returns the reading without the entries for which drop returns true, and whether there were any.
func (r Reading) Drop(drop func(Entry) bool) (rest Reading, changed bool) {
	if !slices.ContainsFunc(r.Entries, drop) {
		return r, false
	}
	r.Entries = slices.DeleteFunc(slices.Clone(r.Entries), drop)
	return r, true
}
