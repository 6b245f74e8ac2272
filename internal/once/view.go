package once

import "coveferry/internal/bundle"

// Target prefixes, so that a model and a service may have the same name.
const (
	modelPrefix   = "model:"
	servicePrefix = "service:"
)

// ModelTarget returns the target name of a model.
func ModelTarget(model string) string { return modelPrefix + model }

// ServiceTarget returns the target name of a plain service.
func ServiceTarget(service string) string { return servicePrefix + service }

// ViewOf returns the lists of all targets of a bundle.
func ViewOf(b *bundle.Bundle) View {
	members := make(map[string][]Member)
	for i := range b.Endpoints {
		e := &b.Endpoints[i]
		for _, m := range e.Models {
			members[ModelTarget(m)] = append(members[ModelTarget(m)], memberOf(e))
		}
		for _, s := range e.Services {
			members[ServiceTarget(s)] = append(members[ServiceTarget(s)], memberOf(e))
		}
	}
	view := View{Version: b.Version, Issued: b.Issued, Lists: make(map[string]*List, len(members))}
	for target, list := range members {
		view.Lists[target] = NewList(list)
	}
	return view
}

func memberOf(e *bundle.Endpoint) Member {
	return Member{Name: e.Name, VM: e.VM, Address: e.Address}
}

// ListOf returns the list of one target's endpoints.
func ListOf(endpoints []*bundle.Endpoint) *List {
	members := make([]Member, len(endpoints))
	for i, e := range endpoints {
		members[i] = memberOf(e)
	}
	return NewList(members)
}
