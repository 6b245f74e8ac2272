package bundle

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"coveferry/internal/jsonc"
)

// ItemKind is a kind of item in a bundle.
type ItemKind string

// The kinds of items in a bundle.
const (
	KindBundle   ItemKind = "bundle" // the header: format, version, issued, expires
	KindTier     ItemKind = "tier"
	KindClass    ItemKind = "class"
	KindModel    ItemKind = "model"
	KindService  ItemKind = "service"
	KindRoute    ItemKind = "route"
	KindTeam     ItemKind = "team"
	KindEndpoint ItemKind = "endpoint"
	KindRouter   ItemKind = "router"
	KindLimits   ItemKind = "limits"
)

// Action says how an item changed between two bundles.
type Action string

// The actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one difference between two bundles.
type Change struct {
	Kind   ItemKind `json:"noun"`
	Name   string   `json:"name,omitempty"` // of the item; empty for KindBundle and KindLimits
	Action Action   `json:"action"`
	// Path is the path of the item or of the changed field, such as
	// teams["acme"].limits. List items are identified by name, because their index
	// has no meaning.
	Path string `json:"path"`
	// Old and New are the JSON values; Old is absent for an added item and New for a
	// removed one.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
}

// header holds the scalar fields of a bundle.
type header struct {
	Format  int       `json:"format"`
	Version uint64    `json:"version"`
	Issued  time.Time `json:"issued"`
	Expires time.Time `json:"expires"`
}

func (b *Bundle) header() header {
	return header{Format: b.Format, Version: b.Version, Issued: b.Issued.UTC(), Expires: b.Expires.UTC()}
}

// Diff returns the changes from old to new, ordered by kind and name. The result is
// empty if and only if both bundles are equivalent: comments, the order of named items
// and time zones make no difference, but the order of tiers does.
func Diff(old, new *Bundle) []Change {
	var d differ
	d.addFields(Change{Kind: KindBundle}, encode(old.header()), encode(new.header()))
	d.addTierOrder(old.Tiers, new.Tiers)
	diffList(&d, KindTier, "tiers", old.Tiers, new.Tiers, func(t *Tier) string { return t.Name })
	diffList(&d, KindClass, "classes", old.Classes, new.Classes, func(c *Class) string { return c.Name })
	diffList(&d, KindModel, "models", old.Models, new.Models, func(m *Model) string { return m.Name })
	diffList(&d, KindRoute, "routes", old.Routes, new.Routes, func(r *Route) string { return r.Name })
	diffList(&d, KindService, "services", old.Services, new.Services, func(s *Service) string { return s.Name })
	diffList(&d, KindTeam, "teams", old.Teams, new.Teams, func(t *Team) string { return t.Name })
	diffList(&d, KindEndpoint, "endpoints", old.Endpoints, new.Endpoints, func(e *Endpoint) string { return e.Name })
	diffList(&d, KindRouter, "routers", old.Routers, new.Routers, func(r *Router) string { return r.Name })
	d.addFields(Change{Kind: KindLimits, Path: "limits"}, encode(old.Limits), encode(new.Limits))
	return d.changes
}

// differ collects changes.
type differ struct{ changes []Change }

// addTierOrder adds a change if tiers that are in both bundles changed their relative
// order; added and removed tiers are reported separately.
func (d *differ) addTierOrder(old, new []Tier) {
	before := namesOf(old, func(t *Tier) string { return t.Name })
	after := namesOf(new, func(t *Tier) string { return t.Name })
	if slices.Equal(common(before, after), common(after, before)) {
		return
	}
	d.add(Change{Kind: KindTier, Action: Changed, Path: "tiers"}, encode(before), encode(after))
}

// common returns the names that are also in the other list.
func common(names, other []string) []string {
	set := setOf(other)
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !set.has(n) })
}

func diffList[T any](d *differ, kind ItemKind, list string, old, new []T, name func(*T) string) {
	before, after := encodeByName(old, name), encodeByName(new, name)
	for _, n := range sortedKeys(before, after) {
		c := Change{Kind: kind, Name: n, Path: list + `["` + n + `"]`}
		d.addItem(c, before[n], after[n])
	}
}

func (d *differ) addItem(c Change, old, new json.RawMessage) {
	switch {
	case old == nil:
		c.Action = Added
		d.add(c, nil, new)
	case new == nil:
		c.Action = Removed
		d.add(c, old, nil)
	default:
		d.addFields(c, old, new)
	}
}

// addFields adds the fields in which two JSON objects differ. It recurses into objects
// but not into lists. An absent field counts as null.
func (d *differ) addFields(c Change, old, new json.RawMessage) {
	if bytes.Equal(old, new) {
		return
	}
	before, isObject := asObject(old)
	after, alsoObject := asObject(new)
	if !isObject || !alsoObject {
		c.Action = Changed
		d.add(c, old, new)
		return
	}
	for _, key := range sortedKeys(before, after) {
		sub := c
		sub.Path = jsonc.KeyPath(c.Path, key)
		d.addFields(sub, orNull(before[key]), orNull(after[key]))
	}
}

func (d *differ) add(c Change, old, new json.RawMessage) {
	c.Old, c.New = old, new
	d.changes = append(d.changes, c)
}

func encodeByName[T any](items []T, name func(*T) string) map[string]json.RawMessage {
	out := make(map[string]json.RawMessage, len(items))
	for i := range items {
		out[name(&items[i])] = encode(&items[i])
	}
	return out
}

// Encode returns a bundle as JSON, for example to sign a generated bundle.
func Encode(b *Bundle) []byte { return encode(b) }

// encode returns a part of a bundle as JSON. Encoding fails only for a number that
// isn't finite, which can't come from a JSON file; the result is then null.
func encode(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}

func asObject(text json.RawMessage) (map[string]json.RawMessage, bool) {
	var m map[string]json.RawMessage
	err := json.Unmarshal(text, &m)
	return m, err == nil && m != nil
}

func orNull(text json.RawMessage) json.RawMessage {
	if text == nil {
		return json.RawMessage("null")
	}
	return text
}

func sortedKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.SortFunc(keys, cmp.Compare[string])
	return slices.Compact(keys)
}
