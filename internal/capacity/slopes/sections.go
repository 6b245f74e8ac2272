package slopes

import (
	"context"
	"crypto/rand"
	"slices"

	"coveferry/internal/bundle"
	"coveferry/internal/capacity"
)

// changesSampled is the number of endpoints changed in turn to determine the mean
// size of a change, since sections differ in length.
const changesSampled = 16

// sectionsMeasured describes the results of measureSections.
var sectionsMeasured = []seriesSpec{
	{"one changed endpoint: signed manifest and its section", capacity.UnitBytes},
	{"snapshot joined from sections", capacity.UnitBytes},
	{"snapshot after one change, beside the one before", capacity.UnitBytes},
	{"one changed endpoint: verified, joined, checked, indexed", capacity.UnitSeconds},
	{"one changed endpoint on the control channel, compressed", capacity.UnitBytes},
}

func sectionProbes() []probe {
	return []probe{
		byEndpoints.probe("sections", []capacity.SlopeID{
			capacity.ChangeEndpointBytes, capacity.JoinedEndpointMemory, capacity.NextEndpointMemory,
			capacity.ChangeEndpointCPU, capacity.ChangeEndpointWire,
		}, sectionsMeasured, measureSections),
		byTeams.probe("sections", []capacity.SlopeID{
			capacity.ChangeTeamBytes, capacity.JoinedTeamMemory, capacity.NextTeamMemory,
			capacity.ChangeTeamCPU, capacity.ChangeTeamWire,
		}, sectionsMeasured, measureSections),
		byRouters.probe("sections", []capacity.SlopeID{
			capacity.ChangeRouterBytes, capacity.JoinedRouterMemory, capacity.NextRouterMemory,
			capacity.ChangeRouterCPU, capacity.ChangeRouterWire,
		}, sectionsMeasured, measureSections),
	}
}

// sectionedBundle is a signed manifest with the sections of a bundle.
type sectionedBundle struct {
	src, sig []byte
	keys     []bundle.PublicKey
	sections map[bundle.Digest][]byte
}

func (s sectionedBundle) accept(current *bundle.Snapshot) (*bundle.Snapshot, error) {
	return bundle.AcceptSections(issued, current, s.src, s.sig, s.keys, s.sections)
}

// texts returns the manifest, its signature and the sections.
func (s sectionedBundle) texts() [][]byte {
	out := [][]byte{s.src, s.sig}
	for _, text := range s.sections {
		out = append(out, text)
	}
	return out
}

// without returns the bundle without the sections that another bundle has.
func (s sectionedBundle) without(other sectionedBundle) sectionedBundle {
	changed := make(map[bundle.Digest][]byte)
	for d, text := range s.sections {
		if _, have := other.sections[d]; !have {
			changed[d] = text
		}
	}
	s.sections = changed
	return s
}

// versionSigner creates signed versions of one bundle.
type versionSigner struct {
	shape shape
	pub   bundle.PublicKey
	key   bundle.PrivateKey
}

// version returns a version in which the endpoint with index changed has a
// different number of slots.
func (s versionSigner) version(number uint64, changed int) sectionedBundle {
	b := makeBundle(s.shape)
	b.Version = number
	b.Endpoints[changed].Slots += int(number)
	manifest, sections := bundle.Split(b)
	src, sig := bundle.SignManifest(&manifest, s.key)
	return sectionedBundle{src: src, sig: sig, keys: []bundle.PublicKey{s.pub}, sections: sections}
}

// measureSections returns the bytes of a change, the memory of a joined snapshot
// and the additional memory of the next one, the CPU time of a change, and its
// bytes on the control channel.
func measureSections(ctx context.Context, of shape) ([]float64, error) {
	pub, key, err := bundle.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	s := versionSigner{of, pub, key}
	first := s.version(1, 0)
	var current *bundle.Snapshot
	joined, err := memoryOf(func() (any, error) {
		current, err = first.accept(nil)
		return current, err
	})
	if err != nil {
		return nil, err
	}
	change := s.version(2, 0).without(first)
	next, err := memoryOf(func() (any, error) { return change.accept(current) })
	if err != nil {
		return nil, err
	}
	cpu, err := cpuPerCall(func() error {
		_, err := change.accept(current)
		return err
	})
	if err != nil {
		return nil, err
	}
	wire, err := wireBytes(ctx, change.texts()...)
	return []float64{s.meanChangeBytes(first), joined, next, cpu, wire}, err
}

// meanChangeBytes returns the mean size of a change of one endpoint.
func (s versionSigner) meanChangeBytes(first sectionedBundle) float64 {
	total := 0
	for i := range changesSampled {
		at := i * s.shape.endpoints / changesSampled
		total += len(slices.Concat(s.version(2, at).without(first).texts()...))
	}
	return float64(total) / changesSampled
}
