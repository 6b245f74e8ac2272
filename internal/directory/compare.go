package directory

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

func sortedNames(entries map[string]Entry) []string { return slices.Sorted(maps.Keys(entries)) }

func sameEntries(a, b map[string]Entry) bool {
	return maps.EqualFunc(a, b, sameEntry)
}

func sameEntry(a, b Entry) bool {
	return a.Draining == b.Draining && a.Cold == b.Cold && a.kept == b.kept && a.Incarnation == b.Incarnation &&
		a.Endpoint.Address == b.Endpoint.Address &&
		a.Endpoint.FailureDomain == b.Endpoint.FailureDomain &&
		a.Endpoint.Slots == b.Endpoint.Slots &&
		slices.Equal(a.Endpoint.Services, b.Endpoint.Services)
}

func digestOf(entries map[string]Entry, evacuated map[string]bool) uint64 {
	d := xxhash.New()
	for _, name := range sortedNames(entries) {
		e := entries[name]
		// Writing to a hash never returns an error.
		_, _ = fmt.Fprintln(d, name, e.Draining, e.Incarnation, e.Endpoint.Address, e.Endpoint.FailureDomain, e.Endpoint.Slots, e.Endpoint.Services, e.Cold)
	}
	for _, domain := range slices.Sorted(maps.Keys(evacuated)) {
		_, _ = fmt.Fprintln(d, domain)
	}
	return d.Sum64()
}

// ChangesTo returns what differs in a later directory: its new or changed entries, and the names
// of the removed ones.
func (d *Directory) ChangesTo(later *Directory) (changed []Entry, removed []string) {
	for name, e := range later.entries {
		if old, ok := d.entries[name]; !ok || !sameEntry(old, e) {
			changed = append(changed, e)
		}
	}
	for name := range d.entries {
		if _, ok := later.entries[name]; !ok {
			removed = append(removed, name)
		}
	}
	return changed, removed
}
