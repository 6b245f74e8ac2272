package directory

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

func sortedNames(entries map[string]Entry) []string { return slices.Sorted(maps.Keys(entries)) }

func sameEntries(a, b map[string]Entry) bool {
	return maps.EqualFunc(a, b, sameEntry)
}

func sameEntry(a, b Entry) bool {
	return a.Draining == b.Draining && a.Cold == b.Cold && a.kept == b.kept && a.Incarnation == b.Incarnation && a.Version == b.Version &&
		a.Endpoint.Address == b.Endpoint.Address &&
		a.Endpoint.FailureDomain == b.Endpoint.FailureDomain &&
		a.Endpoint.Slots == b.Endpoint.Slots &&
		slices.Equal(a.Endpoint.Services, b.Endpoint.Services)
}

// digestsOf returns the hash of everything, and that without the endpoints' versions.
func digestsOf(entries map[string]Entry, evacuated map[string]bool) (digest, unversioned uint64) {
	whole, d := xxhash.New(), xxhash.New()
	both := io.MultiWriter(whole, d)
	// Writing to a hash never returns an error.
	for _, name := range sortedNames(entries) {
		e := entries[name]
		_, _ = fmt.Fprintln(both, name, e.Draining, e.Incarnation, e.Endpoint.Address, e.Endpoint.FailureDomain, e.Endpoint.Slots, e.Endpoint.Services, e.Cold)
		_, _ = fmt.Fprintf(whole, "%q\n", e.Version)
	}
	for _, domain := range slices.Sorted(maps.Keys(evacuated)) {
		_, _ = fmt.Fprintln(both, domain)
	}
	return whole.Sum64(), d.Sum64()
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
