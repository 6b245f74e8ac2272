package bundle

import (
	"slices"

	"coveferry/internal/jsonc"
)

// MinWeightFetches and MaxWeightFetches bound the weight store's rate in requests per
// second, to catch typing errors.
const (
	MinWeightFetches = 0.001
	MaxWeightFetches = 1_000_000
)

func placementPath(i int) string { return jsonc.KeyPath(jsonc.IndexPath("endpoints", i), "placement") }

func checkPlacements(b *Bundle, f *Findings) {
	for i := range b.Endpoints {
		p, path := &b.Endpoints[i].Placement, placementPath(i)
		if p.IsZero() {
			continue
		}
		if len(p.Models) == 0 {
			f.errorf(jsonc.KeyPath(path, "models"), "a placement names at least one model")
		}
		checkAdapters(jsonc.KeyPath(path, "adapters"), p, f)
		if p.Version != "" && !modelName.matches(p.Version) {
			f.errorf(jsonc.KeyPath(path, "version"), "%q is not a valid version; %s", p.Version, modelName.help)
		}
		checkPlainName(path, "role", p.Role, f)
	}
}

func checkAdapters(path string, p *Placement, f *Findings) {
	for i, name := range p.Adapters {
		switch {
		case !modelName.matches(name):
			f.errorf(jsonc.IndexPath(path, i), "%q is not a valid name; %s", name, modelName.help)
		case slices.Contains(p.Adapters[:i], name) || slices.Contains(p.Models, name):
			f.errorf(jsonc.IndexPath(path, i), "%q is named twice", name)
		}
	}
}

func checkPlacementLimits(b *Bundle, f *Findings) {
	l := &b.Limits
	placed := slices.ContainsFunc(b.Endpoints, func(e Endpoint) bool { return !e.Placement.IsZero() })
	rate := l.WeightFetchesPerSecond
	switch {
	case rate != 0 && (rate < MinWeightFetches || rate > MaxWeightFetches):
		f.errorf("limits.weight_fetches_per_second", "%g is outside %g to %d", rate, MinWeightFetches, MaxWeightFetches)
	case placed && rate == 0:
		f.errorf("limits.weight_fetches_per_second", "must be set, since endpoints have a placement")
	}
	if l.MinReadyReplicas < 0 || l.MinReadyReplicas > MaxSlots {
		f.errorf("limits.min_ready_replicas", "%d is outside 0 to %d", l.MinReadyReplicas, MaxSlots)
	}
}

// checkPlacedModels checks that placed models are defined, and that an endpoint with
// a placement serves only models and adapters that its placement contains.
func checkPlacedModels(b *Bundle, f *Findings) {
	known := setOf(namesOf(b.Models, func(m *Model) string { return m.Name }))
	for i := range b.Endpoints {
		e := &b.Endpoints[i]
		path := jsonc.KeyPath(placementPath(i), "models")
		for j, name := range e.Placement.Models {
			if !known.has(name) {
				f.errorf(jsonc.IndexPath(path, j), "%q is not in models", name)
			} else if slices.Contains(e.Placement.Models[:j], name) {
				f.errorf(jsonc.IndexPath(path, j), "%q is named twice", name)
			}
		}
		checkServedIsPlaced(i, e, f)
	}
}

func checkServedIsPlaced(i int, e *Endpoint, f *Findings) {
	if e.Placement.IsZero() {
		return
	}
	for j, name := range e.Models {
		if !slices.Contains(e.Placement.Models, name) && !slices.Contains(e.Placement.Adapters, name) {
			path := jsonc.IndexPath(jsonc.KeyPath(jsonc.IndexPath("endpoints", i), "models"), j)
			f.errorf(path, "%q is served but not in the endpoint's placement", name)
		}
	}
}
