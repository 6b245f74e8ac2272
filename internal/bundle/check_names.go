package bundle

import (
	"strings"

	"coveferry/internal/jsonc"
)

const (
	lowerAlnum = "abcdefghijklmnopqrstuvwxyz0123456789"
	upperAlpha = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
)

// nameRule defines the syntax of a kind of names.
type nameRule struct {
	first  string // characters allowed at any position
	rest   string // characters allowed after the first position only
	maxLen int    // in bytes
	help   string
}

// Model names are chosen by the models' publishers, so they allow more characters.
var (
	plainName = nameRule{lowerAlnum, "._-", 63,
		"use 1 to 63 lower-case letters, digits, '.', '_' or '-', beginning with a letter or digit"}
	modelName = nameRule{lowerAlnum + upperAlpha, "._:/-", 127,
		"use 1 to 127 letters, digits, '.', '_', ':', '/' or '-', beginning with a letter or digit"}
)

func (r *nameRule) matches(name string) bool {
	if name == "" || len(name) > r.maxLen || strings.IndexByte(r.first, name[0]) < 0 {
		return false
	}
	for i := range len(name) {
		if strings.IndexByte(r.first, name[i]) < 0 && strings.IndexByte(r.rest, name[i]) < 0 {
			return false
		}
	}
	return true
}

// namedList holds the names in one of the bundle's lists.
type namedList struct {
	key   string
	rule  *nameRule
	names []string
}

func namesOf[T any](items []T, name func(*T) string) []string {
	out := make([]string, len(items))
	for i := range items {
		out[i] = name(&items[i])
	}
	return out
}

func (b *Bundle) namedLists() []namedList {
	return []namedList{
		{"tiers", &plainName, namesOf(b.Tiers, func(t *Tier) string { return t.Name })},
		{"classes", &plainName, namesOf(b.Classes, func(c *Class) string { return c.Name })},
		{"models", &modelName, namesOf(b.Models, func(m *Model) string { return m.Name })},
		{"routes", &plainName, namesOf(b.Routes, func(r *Route) string { return r.Name })},
		{"services", &plainName, namesOf(b.Services, func(s *Service) string { return s.Name })},
		{"teams", &plainName, namesOf(b.Teams, func(t *Team) string { return t.Name })},
		{"endpoints", &plainName, namesOf(b.Endpoints, func(e *Endpoint) string { return e.Name })},
		{"routers", &plainName, namesOf(b.Routers, func(r *Router) string { return r.Name })},
	}
}

func checkNames(b *Bundle, f *Findings) {
	for _, list := range b.namedLists() {
		for i, name := range list.names {
			if !list.rule.matches(name) {
				f.errorf(jsonc.KeyPath(jsonc.IndexPath(list.key, i), "name"), "%q is not a valid name; %s", name, list.rule.help)
			}
		}
	}
}

func checkUniqueNames(b *Bundle, f *Findings) {
	for _, list := range b.namedLists() {
		first := make(map[string]int, len(list.names))
		for i, name := range list.names {
			if name == "" {
				continue // reported by checkNames
			}
			if j, dup := first[name]; dup {
				f.errorf(jsonc.KeyPath(jsonc.IndexPath(list.key, i), "name"), "%q is already the name of %s", name, jsonc.IndexPath(list.key, j))
				continue
			}
			first[name] = i
		}
	}
}

// nameSet is a set of names.
type nameSet map[string]struct{}

func setOf(names []string) nameSet {
	set := make(nameSet, len(names))
	for _, n := range names {
		set[n] = struct{}{}
	}
	return set
}

func (s nameSet) has(name string) bool {
	_, ok := s[name]
	return ok
}
