package bundle

import (
	"cmp"
	"slices"

	"coveferry/internal/jsonc"
)

// sectionContent is the decoded content of a section: some entries of one of the
// bundle's fields.
type sectionContent struct {
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

// sectionContents are the decoded sections of a bundle by digest. They are kept with
// a snapshot, so that for the next version only changed sections are decoded.
type sectionContents map[Digest]*sectionContent

// Join builds a bundle from its sections and checks it. Sections that are not in the
// manifest are ignored. The error is a *MissingSectionError, ErrTampered if a section
// doesn't match its digest, or an *InvalidError. Teams, endpoints, routes and routers
// are sorted by name.
func Join(m *Manifest, sections map[Digest][]byte) (*Bundle, error) {
	contents, err := decodeSections(m, sections, nil)
	if err != nil {
		return nil, err
	}
	return assemble(m, contents)
}

// decodeSections returns the contents of a manifest's sections. It decodes only those
// that aren't known yet.
func decodeSections(m *Manifest, sections map[Digest][]byte, known sectionContents) (sectionContents, error) {
	have := func(d Digest) bool { return known[d] != nil || sections[d] != nil }
	if missing := MissingSections(have, m); len(missing) > 0 {
		return nil, &MissingSectionError{Digests: missing}
	}
	contents := make(sectionContents, len(m.Sections))
	var problems jsonc.Problems
	for _, d := range m.Sections {
		if content := known[d]; content != nil {
			contents[d] = content
			continue
		}
		if DigestOf(sections[d]) != d {
			return nil, ErrTampered
		}
		content, sectionProblems := decodeSection("section "+d.String(), sections[d])
		contents[d] = content
		problems = append(problems, sectionProblems...)
	}
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return contents, nil
}

func decodeSection(name string, text []byte) (*sectionContent, jsonc.Problems) {
	doc, err := jsonc.Parse(name, text)
	if err != nil {
		return nil, syntaxProblems(name, err)
	}
	var content sectionContent
	return &content, doc.Decode(&content)
}

// assemble joins the contents in the order of the manifest.
func assemble(m *Manifest, contents sectionContents) (*Bundle, error) {
	b := &Bundle{Format: m.Format, Version: m.Version, Issued: m.Issued, Expires: m.Expires}
	for _, d := range m.Sections {
		b.add(contents[d])
	}
	slices.SortFunc(b.Teams, func(x, y Team) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Endpoints, func(x, y Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Routes, func(x, y Route) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Routers, func(x, y Router) int { return cmp.Compare(x.Name, y.Name) })
	if errs := Check(b).Errors(); len(errs) > 0 {
		return nil, &InvalidError{Problems: problemsWithoutPosition(errs)}
	}
	return b, nil
}

func (b *Bundle) add(content *sectionContent) {
	b.Tiers = append(b.Tiers, content.Tiers...)
	b.Classes = append(b.Classes, content.Classes...)
	b.Models = append(b.Models, content.Models...)
	b.Services = append(b.Services, content.Services...)
	b.Teams = append(b.Teams, content.Teams...)
	b.Endpoints = append(b.Endpoints, content.Endpoints...)
	b.Routes = append(b.Routes, content.Routes...)
	b.Routers = append(b.Routers, content.Routers...)
	if content.Limits != nil {
		b.Limits = *content.Limits
	}
}

// problemsWithoutPosition converts findings on a joined bundle, which has no line
// numbers, into problems.
func problemsWithoutPosition(found Findings) jsonc.Problems {
	out := make(jsonc.Problems, len(found))
	for i, f := range found {
		out[i] = jsonc.Problem{File: sourceName, Line: 1, Column: 1, Path: f.Path, Message: f.Message}
	}
	return out
}
