package lab

import (
	"fmt"
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/identity"
	"coveferry/internal/rollout"
	"coveferry/internal/units"
)

const validity = 365 * 24 * time.Hour

// newTemplate returns a bundle that lists the processes of the fleet.
func (f *Fleet) newTemplate() bundle.Bundle {
	issued := time.Now().UTC().Truncate(time.Second)
	b := bundle.Bundle{
		Format: bundle.Format, Issued: issued, Expires: issued.Add(validity),
		Tiers:   []bundle.Tier{{Name: "gold"}},
		Classes: []bundle.Class{{Name: "queries", FirstToken: units.Duration(time.Second), Deadline: units.Duration(time.Minute)}},
		Models:  []bundle.Model{{Name: "m"}},
		Teams:   []bundle.Team{{Name: "t", KeyHashes: []string{bundle.HashKey("k")}, Grants: []bundle.Grant{{Class: "queries", Tier: "gold"}}}},
		Limits:  bundle.Limits{RequestBytes: 1 << 20, QueueEntries: 256, QueueBytes: 32 << 20},
	}
	for i, p := range f.Processes {
		if p.Peer.Role == identity.RoleRouter {
			b.Routers = append(b.Routers, bundle.Router{Name: p.Peer.Name, ControlAddress: p.Address, FailureDomain: p.FailureDomain, Region: p.Region})
			continue
		}
		b.Endpoints = append(b.Endpoints, bundle.Endpoint{
			Name: p.Peer.Name, Address: fmt.Sprintf("10.1.%d.%d:7410", i/250, i%250+1), ControlAddress: p.Address,
			VM: "vm-" + p.Peer.Name, FailureDomain: p.FailureDomain, Region: p.Region, Models: []string{"m"}, Slots: 1,
		})
	}
	return b
}

// Bundle returns the content of a version, in which one endpoint differs from
// the previous version.
func (f *Fleet) Bundle(version uint64) bundle.Bundle {
	b := f.template
	b.Version = version
	b.Endpoints = append([]bundle.Endpoint(nil), b.Endpoints...)
	for i := range b.Endpoints {
		b.Endpoints[i].Slots = 1 + countChanges(i, int(version), len(b.Endpoints))
	}
	return b
}

// countChanges counts the versions up to the given one that changed an
// endpoint; endpoints change round-robin.
func countChanges(endpoint, version, endpoints int) int {
	if version < endpoint {
		return 0
	}
	return (version-endpoint)/endpoints + 1
}

// SignedVersion is a version in the form in which it is published.
type SignedVersion struct {
	Version        uint64
	SignedManifest []byte
	Sections       map[bundle.Digest][]byte
}

// Sign signs a bundle for publishing.
func (f *Fleet) Sign(b bundle.Bundle) SignedVersion { return SignWith(b, f.Key) }

// SignWith signs a bundle with the given key.
func SignWith(b bundle.Bundle, key bundle.PrivateKey) SignedVersion {
	m, sections := bundle.Split(&b)
	src, sig := bundle.SignManifest(&m, key)
	return SignedVersion{Version: b.Version, SignedManifest: bundle.EncodeSignedManifest(src, sig), Sections: sections}
}

// Publish publishes a version at all servers.
func (f *Fleet) Publish(version uint64) error {
	p := f.Sign(f.Bundle(version))
	for _, s := range f.Servers {
		if err := s.PublishVersion(p); err != nil {
			return err
		}
	}
	return nil
}

// PublishVersion publishes a version at this server: its new sections, then the
// manifest.
func (s *Server) PublishVersion(p SignedVersion) error {
	for d, text := range p.Sections {
		if s.published[d] {
			continue
		}
		s.published[d] = true
		if _, err := s.Publish(rollout.KeySection(d), text); err != nil {
			return err
		}
	}
	_, err := s.Publish(rollout.KeyManifest, p.SignedManifest)
	return err
}

// signedFile returns a version as a signed bundle file.
func (f *Fleet) signedFile(version uint64) rollout.BundleFile {
	b := f.Bundle(version)
	src := bundle.Encode(&b)
	sig, err := bundle.Sign("lab", src, f.Key)
	if err != nil {
		panic(err) // the generated bundle is valid
	}
	return rollout.BundleFile{Source: string(src), Signature: string(sig)}
}
