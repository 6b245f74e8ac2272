package rollout

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/identity"
)

// ID identifies a process in all messages: its role, a slash and its name.
type ID string

// IDOf returns the ID of the holder of a certificate.
func IDOf(p identity.Peer) ID { return ID(string(p.Role) + "/" + p.Name) }

// Peer parses an ID into role and name.
func (id ID) Peer() (identity.Peer, error) {
	role, name, ok := strings.Cut(string(id), "/")
	if !ok || !identity.Role(role).Valid() {
		return identity.Peer{}, errors.Wrapf(ErrBadMessage, "%q is not the ID of a process", string(id))
	}
	return identity.Peer{Role: identity.Role(role), Name: name}, nil
}

// Member is a process, its address and its location.
type Member struct {
	Peer identity.Peer
	// Address is the listen address of the control channel; empty if unknown to
	// others.
	Address       string
	FailureDomain string
	Region        string
}

// ID returns the member's ID.
func (m Member) ID() ID { return IDOf(m.Peer) }

// MembersOf lists the processes in a bundle, sorted by ID.
func MembersOf(b *bundle.Bundle) []Member {
	var out []Member
	for i := range b.Endpoints {
		e := &b.Endpoints[i]
		if e.ControlAddress == "" {
			continue
		}
		out = append(out, Member{
			Peer:    identity.Peer{Role: identity.RoleAgent, Name: e.Name},
			Address: e.ControlAddress, FailureDomain: e.FailureDomain, Region: e.Region,
		})
	}
	for i := range b.Routers {
		r := &b.Routers[i]
		out = append(out, Member{
			Peer:    identity.Peer{Role: identity.RoleRouter, Name: r.Name},
			Address: r.ControlAddress, FailureDomain: r.FailureDomain, Region: r.Region,
		})
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID(), b.ID()) })
	return out
}

// purpose separates the rankings of the same list.
type purpose string

const (
	rankReaders  purpose = "reader"
	rankPartners purpose = "partner"
)

// rank orders members by rendezvous hashing: each member's score depends only
// on the key and its own ID, so adding or removing a member leaves the order of
// the others unchanged.
func rank(use purpose, key string, members []Member) []Member {
	type scored struct {
		score uint64
		at    int
	}
	seed := xxhash.Sum64String(string(use) + "/" + key)
	list := make([]scored, len(members))
	for i := range members {
		list[i] = scored{mix(seed ^ members[i].hash()), i}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(members[a.at].ID(), members[b.at].ID()))
	})
	out := make([]Member, len(list))
	for i := range list {
		out[i] = members[list[i].at]
	}
	return out
}

// hash returns a hash of the ID.
func (m *Member) hash() uint64 {
	return xxhash.Sum64String(m.Peer.Name) ^ xxhash.Sum64String(string(m.Peer.Role))
}

// mix is the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
