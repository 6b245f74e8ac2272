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

// Noun is a kind of thing in a bundle.
type Noun string

// The nouns of a bundle.
const (
	NounBundle   Noun = "bundle" // what stands once: version, issued, expires
	NounTier     Noun = "tier"
	NounClass    Noun = "class"
	NounModel    Noun = "model"
	NounService  Noun = "service"
	NounRoute    Noun = "route"
	NounTeam     Noun = "team"
	NounEndpoint Noun = "endpoint"
	NounRouter   Noun = "router"
	NounLimits   Noun = "limits"
)

// Action says what happened to a thing between two bundles.
type Action string

// The actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one difference between two bundles.
type Change struct {
	Noun   Noun   `json:"noun"`
	Name   string `json:"name,omitempty"` // of the thing, empty for NounBundle and NounLimits
	Action Action `json:"action"`
	// Path names the thing, or the field that changed: teams["acme"].limits.
	// Items of a list stand under their name, as their place means nothing.
	Path string `json:"path"`
	// Old and New are the JSON values; Old is absent for an added thing and
	// New for a removed one.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
}

// head holds the parts of a bundle that aren't lists of things.
type head struct {
	Format  int       `json:"format"`
	Version uint64    `json:"version"`
	Issued  time.Time `json:"issued"`
	Expires time.Time `json:"expires"`
}

func (b *Bundle) head() head {
	return head{Format: b.Format, Version: b.Version, Issued: b.Issued.UTC(), Expires: b.Expires.UTC()}
}

// Diff lists what changed from old to new, by noun and name. It is empty if
// and only if both mean the same: comments, the order of named things and time
// zones make no difference, but the order of tiers does.
func Diff(old, new *Bundle) []Change {
	var d differ
	d.fields(Change{Noun: NounBundle}, encode(old.head()), encode(new.head()))
	d.tierOrder(old.Tiers, new.Tiers)
	diffList(&d, NounTier, "tiers", old.Tiers, new.Tiers, func(t *Tier) string { return t.Name })
	diffList(&d, NounClass, "classes", old.Classes, new.Classes, func(c *Class) string { return c.Name })
	diffList(&d, NounModel, "models", old.Models, new.Models, func(m *Model) string { return m.Name })
	diffList(&d, NounRoute, "routes", old.Routes, new.Routes, func(r *Route) string { return r.Name })
	diffList(&d, NounService, "services", old.Services, new.Services, func(s *Service) string { return s.Name })
	diffList(&d, NounTeam, "teams", old.Teams, new.Teams, func(t *Team) string { return t.Name })
	diffList(&d, NounEndpoint, "endpoints", old.Endpoints, new.Endpoints, func(e *Endpoint) string { return e.Name })
	diffList(&d, NounRouter, "routers", old.Routers, new.Routers, func(r *Router) string { return r.Name })
	d.fields(Change{Noun: NounLimits, Path: "limits"}, encode(old.Limits), encode(new.Limits))
	return d.changes
}

// differ collects changes.
type differ struct{ changes []Change }

// tierOrder reports tiers of both bundles that changed their rank against each
// other; added and removed tiers are reported as such.
func (d *differ) tierOrder(old, new []Tier) {
	before := namesOf(old, func(t *Tier) string { return t.Name })
	after := namesOf(new, func(t *Tier) string { return t.Name })
	if slices.Equal(common(before, after), common(after, before)) {
		return
	}
	d.add(Change{Noun: NounTier, Action: Changed, Path: "tiers"}, encode(before), encode(after))
}

// common keeps the names that also stand in the other list.
func common(names, other []string) []string {
	set := setOf(other)
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !set.has(n) })
}

func diffList[T any](d *differ, noun Noun, list string, old, new []T, name func(*T) string) {
	before, after := encodeByName(old, name), encodeByName(new, name)
	for _, n := range sortedKeys(before, after) {
		c := Change{Noun: noun, Name: n, Path: list + `["` + n + `"]`}
		d.thing(c, before[n], after[n])
	}
}

func (d *differ) thing(c Change, old, new json.RawMessage) {
	switch {
	case old == nil:
		c.Action = Added
		d.add(c, nil, new)
	case new == nil:
		c.Action = Removed
		d.add(c, old, nil)
	default:
		d.fields(c, old, new)
	}
}

// fields reports the fields in which two JSON objects differ, going into
// objects but not into lists. A field that is absent is null.
func (d *differ) fields(c Change, old, new json.RawMessage) {
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
		sub.Path = jsonc.Key(c.Path, key)
		d.fields(sub, orNull(before[key]), orNull(after[key]))
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

// Encode writes a bundle as JSON, such as for signing one that a program made.
func Encode(b *Bundle) []byte { return encode(b) }

// encode writes a part of a bundle as JSON. What a bundle holds can be
// encoded, save a number that isn't finite, which no JSON file can hold.
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
