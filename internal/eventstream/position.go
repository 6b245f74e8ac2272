package eventstream

import (
	"strconv"
	"strings"
)

// Position is how far a caller has a stream. The zero value is the start of a stream.
type Position struct {
	// LastID is the ID of the last event that has one; empty for none.
	LastID string
	// Unresumable says that the caller has events that no ID names, so that no endpoint can resume after them.
	Unresumable bool
}

// IsStart reports whether the caller has no event.
func (p *Position) IsStart() bool { return *p == Position{} }

// advance records that the caller gets an event.
func (p *Position) advance(e Event) {
	switch {
	case e.HasID && e.ID != "":
		p.LastID, p.Unresumable = e.ID, false
	case e.IsContent():
		p.Unresumable = true
	}
}

// order is how the ID of an event compares with that of the last one.
type order uint8

const (
	// orderUnknown: the IDs can't be compared.
	orderUnknown order = iota
	// orderRepeated: the ID isn't larger.
	orderRepeated
	// orderNext: the ID is larger by one.
	orderNext
	// orderGap: the ID is larger by more.
	orderGap
)

// compare compares the ID of an event with that of the last one.
func compare(last, id string) order {
	if last == id {
		return orderRepeated
	}
	lastPrefix, lastNumber, lastOK := splitNumber(last)
	prefix, number, ok := splitNumber(id)
	switch {
	case !lastOK || !ok || lastPrefix != prefix:
		return orderUnknown
	case number <= lastNumber:
		return orderRepeated
	case number == lastNumber+1:
		return orderNext
	}
	return orderGap
}

// splitNumber splits an ID such as "7" or "run-2-7" into what stands before its last number, and the
// number.
func splitNumber(id string) (prefix string, number uint64, ok bool) {
	prefix = strings.TrimRight(id, "0123456789")
	number, err := strconv.ParseUint(id[len(prefix):], 10, 64)
	return prefix, number, err == nil
}
