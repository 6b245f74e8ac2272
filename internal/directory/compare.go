package directory

import (
	"maps"
	"slices"
)

func sortedNames(entries map[string]Entry) []string { return slices.Sorted(maps.Keys(entries)) }

func sameEntries(a, b map[string]Entry) bool {
	return maps.EqualFunc(a, b, sameEntry)
}

func sameEntry(a, b Entry) bool {
	return a.Draining == b.Draining &&
		a.Endpoint.Address == b.Endpoint.Address &&
		a.Endpoint.FailureDomain == b.Endpoint.FailureDomain &&
		a.Endpoint.Slots == b.Endpoint.Slots &&
		slices.Equal(a.Endpoint.Services, b.Endpoint.Services)
}
