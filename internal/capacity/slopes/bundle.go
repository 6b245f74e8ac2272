package slopes

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/capacity"
	"coveferry/internal/units"
)

// The shape of the measured bundles. Numbers that don't vary in a series are
// those of the requirements, or small.
const (
	bundleTiers     = 7
	bundleModels    = 11
	bundleClasses   = 6
	bundleDomains   = 27
	bundleRegions   = 7
	keysPerTeam     = 2
	grantsPerTeam   = 3
	slotsOfEndpoint = 64
	fixedEndpoints  = 64
	fixedTeams      = 16
	fixedRouters    = 16
)

// issued is a fixed date within the validity of the bundles.
var issued = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// shape holds the numbers of endpoints, teams and routers of a bundle.
type shape struct{ endpoints, teams, routers int }

// bundleSeries is a series of bundles in which one of the numbers varies.
type bundleSeries struct {
	noun  string
	sizes []int
	shape func(n int) shape
}

var (
	byEndpoints = bundleSeries{"endpoint", []int{500, 1000, 2000, 4000}, func(n int) shape { return shape{n, fixedTeams, fixedRouters} }}
	byTeams     = bundleSeries{"team", []int{50, 100, 200, 400}, func(n int) shape { return shape{fixedEndpoints, n, fixedRouters} }}
	byRouters   = bundleSeries{"router", []int{125, 250, 500, 1000}, func(n int) shape { return shape{fixedEndpoints, fixedTeams, n} }}
)

// seriesSpec describes one of the values measured for each shape.
type seriesSpec struct {
	title string
	unit  string
}

// probe returns a probe with the given slopes; ids and specs have the same order.
func (v bundleSeries) probe(name string, ids []capacity.SlopeID, specs []seriesSpec, measure func(context.Context, shape) ([]float64, error)) probe {
	p := probe{
		name:    name + "-" + v.noun + "s",
		sizes:   v.sizes,
		measure: func(ctx context.Context, n int) ([]float64, error) { return measure(ctx, v.shape(n)) },
	}
	for i, id := range ids {
		p.series = append(p.series, capacity.Slope{ID: id, Title: specs[i].title, Unit: specs[i].unit, Per: v.noun})
	}
	return p
}

// bundleMeasured describes the results of measureBundle.
var bundleMeasured = []seriesSpec{
	{"bundle, encoded without spaces", capacity.UnitBytes},
	{"snapshot of a bundle", capacity.UnitBytes},
	{"bundle verified, decoded, checked, indexed", capacity.UnitSeconds},
	{"bundle on the control channel, compressed", capacity.UnitBytes},
}

func bundleProbes() []probe {
	return []probe{
		byEndpoints.probe("bundle", []capacity.SlopeID{
			capacity.BundleEndpointBytes, capacity.SnapshotEndpointMemory, capacity.ApplyEndpointCPU, capacity.BundleEndpointWire,
		}, bundleMeasured, measureBundle),
		byTeams.probe("bundle", []capacity.SlopeID{
			capacity.BundleTeamBytes, capacity.SnapshotTeamMemory, capacity.ApplyTeamCPU, capacity.BundleTeamWire,
		}, bundleMeasured, measureBundle),
		byRouters.probe("bundle", []capacity.SlopeID{
			capacity.BundleRouterBytes, capacity.SnapshotRouterMemory, capacity.ApplyRouterCPU, capacity.BundleRouterWire,
		}, bundleMeasured, measureBundle),
	}
}

// signedBundle is an encoded bundle with its signature.
type signedBundle struct {
	src, sig []byte
	keys     []bundle.PublicKey
}

// accept verifies and indexes the bundle, as a process does on receipt.
func (s signedBundle) accept() (*bundle.Snapshot, error) {
	return bundle.Accept(issued, nil, s.src, s.sig, s.keys)
}

// measureBundle returns the size of a bundle, the memory of its snapshot, the CPU
// time of accepting it, and its bytes on the control channel.
func measureBundle(ctx context.Context, of shape) ([]float64, error) {
	s, err := signBundle(makeBundle(of))
	if err != nil {
		return nil, err
	}
	memory, err := memoryOf(func() (any, error) { return s.accept() })
	if err != nil {
		return nil, err
	}
	apply, err := cpuPerCall(func() error {
		_, err := s.accept()
		return err
	})
	if err != nil {
		return nil, err
	}
	wire, err := wireBytes(ctx, s.src, s.sig)
	return []float64{float64(len(s.src)), memory, apply, wire}, err
}

func signBundle(b *bundle.Bundle) (signedBundle, error) {
	pub, key, err := bundle.GenerateKey(rand.Reader)
	if err != nil {
		return signedBundle{}, err
	}
	src, err := json.Marshal(b)
	if err != nil {
		return signedBundle{}, errors.Wrap(err, "encode a bundle")
	}
	sig, err := bundle.Sign("bundle", src, key)
	return signedBundle{src: src, sig: sig, keys: []bundle.PublicKey{pub}}, err
}

// makeBundle returns a valid bundle with names of typical length.
func makeBundle(of shape) *bundle.Bundle {
	b := &bundle.Bundle{
		Format:  bundle.Format,
		Version: 1,
		Issued:  issued,
		Expires: issued.AddDate(1, 0, 0),
		Limits:  bundle.Limits{RequestBytes: 1 << 20, QueueEntries: 1000, QueueBytes: 64 << 20},
	}
	for i := range bundleTiers {
		b.Tiers = append(b.Tiers, bundle.Tier{Name: fmt.Sprintf("tier-%d", i)})
	}
	for i := range bundleModels {
		b.Models = append(b.Models, bundle.Model{Name: modelName(i)})
	}
	for i := range bundleClasses {
		b.Classes = append(b.Classes, makeClass(i))
	}
	for i := range of.teams {
		b.Teams = append(b.Teams, makeTeam(i))
	}
	for i := range of.endpoints {
		b.Endpoints = append(b.Endpoints, makeEndpoint(i))
	}
	for i := range of.routers {
		b.Routers = append(b.Routers, makeRouter(i))
	}
	return b
}

func modelName(i int) string { return fmt.Sprintf("model-%02d", i%bundleModels) }

func className(i int) string { return fmt.Sprintf("class-%d", i%bundleClasses) }

func makeClass(i int) bundle.Class {
	return bundle.Class{
		Name:          className(i),
		FirstToken:    units.Duration(760 * time.Millisecond),
		BetweenTokens: units.Duration(77 * time.Millisecond),
		Deadline:      units.Duration(2 * time.Minute),
	}
}

func makeTeam(i int) bundle.Team {
	t := bundle.Team{
		Name:   fmt.Sprintf("team-%04d", i),
		Limits: bundle.TeamLimits{RequestsPerSecond: 250, TokensPerSecond: 60000, Concurrency: 4000},
	}
	for k := range keysPerTeam {
		t.KeyHashes = append(t.KeyHashes, bundle.HashKey(fmt.Sprintf("%s-key-%d", t.Name, k)))
	}
	for k := range grantsPerTeam {
		t.Grants = append(t.Grants, bundle.Grant{Class: className(i + k), Tier: fmt.Sprintf("tier-%d", (i+k)%bundleTiers)})
	}
	return t
}

func makeEndpoint(i int) bundle.Endpoint {
	domain := i % bundleDomains
	return bundle.Endpoint{
		Name:           fmt.Sprintf("endpoint-%05d", i),
		Address:        fmt.Sprintf("10.%d.%d.%d:7410", domain, i/250, i%250+1),
		ControlAddress: fmt.Sprintf("10.%d.%d.%d:7430", domain, i/250, i%250+1),
		VM:             fmt.Sprintf("vm-%05d", i),
		FailureDomain:  fmt.Sprintf("domain-%02d", domain),
		Region:         fmt.Sprintf("region-%d", domain%bundleRegions),
		Models:         []string{modelName(i)},
		Slots:          slotsOfEndpoint,
	}
}

func makeRouter(i int) bundle.Router {
	domain := i % bundleDomains
	return bundle.Router{
		Name:           fmt.Sprintf("router-%04d", i),
		ControlAddress: fmt.Sprintf("10.%d.%d.%d:7430", bundleDomains+domain, i/250, i%250+1),
		FailureDomain:  fmt.Sprintf("domain-%02d", domain),
		Region:         fmt.Sprintf("region-%d", domain%bundleRegions),
	}
}
