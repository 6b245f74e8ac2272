package once

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
)

// separator separates the parts of hash inputs; no name contains it.
const separator = "\x00"

// Member is an endpoint on a List.
type Member struct {
	Name string `json:"name"`
	// VM distinguishes an endpoint from an earlier one of the same name.
	VM string `json:"vm"`
	// Address is the IP and port of the endpoint's agent.
	Address string `json:"address"`
}

// id identifies the member: name and VM.
func (m Member) id() string { return m.Name + separator + m.VM }

// List is the immutable set of endpoints that serve one target (a model or a service) in one
// version of the bundle.
type List struct {
	members []Member
	hasher  *rendezvous.Rendezvous
	digest  string
}

// NewList returns the list of the members, in any order.
func NewList(members []Member) *List {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	names := make([]string, len(sorted))
	ids := make([]string, len(sorted))
	for i, m := range sorted {
		names[i] = m.Name
		ids[i] = m.id()
	}
	sum := sha256.Sum256([]byte(strings.Join(ids, separator)))
	return &List{
		members: sorted,
		hasher:  rendezvous.New(names, xxhash.Sum64String),
		digest:  hex.EncodeToString(sum[:]),
	}
}

// Home returns the name of the only endpoint that may run a team's key; empty if the list has
// no members.
func (l *List) Home(team, key string) string { return l.hasher.Lookup(team + separator + key) }

// Digest returns a hash of the members' ids, to compare lists.
func (l *List) Digest() string { return l.digest }

// find returns the member with m's id, including its address as listed.
func (l *List) find(m Member) (Member, bool) {
	i, found := slices.BinarySearchFunc(l.members, m.Name, func(m Member, n string) int { return strings.Compare(m.Name, n) })
	if !found || l.members[i].id() != m.id() {
		return Member{}, false
	}
	return l.members[i], true
}

func (l *List) has(m Member) bool {
	_, found := l.find(m)
	return found
}
