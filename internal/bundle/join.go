package bundle

import (
	"cmp"
	"slices"

	"coveferry/internal/jsonc"
)

// fragment is what one section holds: some entries of one part of a bundle.
type fragment struct {
	Tiers     []Tier     `json:"tiers,omitempty"`
	Classes   []Class    `json:"classes,omitempty"`
	Models    []Model    `json:"models,omitempty"`
	Services  []Service  `json:"services,omitempty"`
	Teams     []Team     `json:"teams,omitempty"`
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	Routes    []Route    `json:"routes,omitempty"`
	Routers   []Router   `json:"routers,omitempty"`
	Limits    *Limits    `json:"limits,omitempty"`
}

// fragments are the decoded sections of a bundle by their digests. They are
// kept with a snapshot, so that the next version decodes only what changed.
type fragments map[Digest]*fragment

// Join puts a bundle together from its sections and checks it. Sections that
// the manifest doesn't name are left alone. The error is a
// *MissingSectionError, ErrTampered if a section doesn't fit its digest, or an
// *InvalidError. Teams and endpoints come in the order of their names.
func Join(m *Manifest, sections map[Digest][]byte) (*Bundle, error) {
	parts, err := decodeSections(m, sections, nil)
	if err != nil {
		return nil, err
	}
	return assemble(m, parts)
}

// decodeSections returns the fragments that a manifest names, by decoding
// those that aren't known yet.
func decodeSections(m *Manifest, sections map[Digest][]byte, known fragments) (fragments, error) {
	have := func(d Digest) bool { return known[d] != nil || sections[d] != nil }
	if missing := Missing(have, m); len(missing) > 0 {
		return nil, &MissingSectionError{Digests: missing}
	}
	parts := make(fragments, len(m.Sections))
	var faults jsonc.Problems
	for _, d := range m.Sections {
		if part := known[d]; part != nil {
			parts[d] = part
			continue
		}
		if DigestOf(sections[d]) != d {
			return nil, ErrTampered
		}
		part, found := decodeFragment("section "+d.String(), sections[d])
		parts[d] = part
		faults = append(faults, found...)
	}
	if len(faults) > 0 {
		return nil, &InvalidError{Problems: faults}
	}
	return parts, nil
}

func decodeFragment(name string, text []byte) (*fragment, jsonc.Problems) {
	doc, err := jsonc.Parse(name, text)
	if err != nil {
		return nil, syntaxProblems(name, err)
	}
	var part fragment
	return &part, doc.Decode(&part)
}

// assemble joins fragments in the order of the manifest.
func assemble(m *Manifest, parts fragments) (*Bundle, error) {
	b := &Bundle{Format: m.Format, Version: m.Version, Issued: m.Issued, Expires: m.Expires}
	for _, d := range m.Sections {
		b.add(parts[d])
	}
	slices.SortFunc(b.Teams, func(x, y Team) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Endpoints, func(x, y Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Routes, func(x, y Route) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Routers, func(x, y Router) int { return cmp.Compare(x.Name, y.Name) })
	if errs := Check(b).Errors(); len(errs) > 0 {
		return nil, &InvalidError{Problems: unplaced(errs)}
	}
	return b, nil
}

func (b *Bundle) add(part *fragment) {
	b.Tiers = append(b.Tiers, part.Tiers...)
	b.Classes = append(b.Classes, part.Classes...)
	b.Models = append(b.Models, part.Models...)
	b.Services = append(b.Services, part.Services...)
	b.Teams = append(b.Teams, part.Teams...)
	b.Endpoints = append(b.Endpoints, part.Endpoints...)
	b.Routes = append(b.Routes, part.Routes...)
	b.Routers = append(b.Routers, part.Routers...)
	if part.Limits != nil {
		b.Limits = *part.Limits
	}
}

// unplaced turns findings on a joined bundle, which has no lines, into problems.
func unplaced(found Findings) jsonc.Problems {
	out := make(jsonc.Problems, len(found))
	for i, f := range found {
		out[i] = jsonc.Problem{File: sourceName, Line: 1, Column: 1, Path: f.Path, Message: f.Message}
	}
	return out
}
