package bundle

import (
	"bytes"
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// largeBundle returns a bundle with the given numbers of endpoints and teams. The
// design size is 3700 endpoints and 290 teams.
func largeBundle(endpoints, teams int) *Bundle {
	b := validBundle()
	b.Teams, b.Endpoints = nil, nil
	for i := range teams {
		b.Teams = append(b.Teams, Team{
			Name: fmt.Sprintf("team-%d", i), KeyHashes: []string{HashKey(fmt.Sprint(i))},
			Grants: []Grant{{"chat", "gold"}, {"batch", "bronze"}}, Limits: TeamLimits{RequestsPerSecond: 10, Concurrency: 50},
		})
	}
	for i := range endpoints {
		b.Endpoints = append(b.Endpoints, Endpoint{
			Name: fmt.Sprintf("engine-%d", i), Address: fmt.Sprintf("10.%d.%d.%d:7410", i%27, i/27/250, 1+i/27%250), ControlAddress: fmt.Sprintf("10.%d.%d.%d:7430", i%27, i/27/250, 1+i/27%250), VM: fmt.Sprintf("vm-%d", i),
			FailureDomain: fmt.Sprintf("domain-%d", i%27), Region: fmt.Sprintf("region-%d", i%7), Models: []string{"m"}, Services: []string{"svc"}, Slots: 64,
		})
	}
	return b
}

// transferSize returns the number of bytes of a manifest and some of its sections.
func transferSize(m *Manifest, sections map[Digest][]byte, fetched []Digest) int {
	total := len(encode(m))
	for _, d := range fetched {
		total += len(sections[d])
	}
	return total
}

// transferred returns what a node that has the sections of old fetches for new.
func transferred(old, new *Bundle) (bytes, sections int) {
	_, have := Split(old)
	m, all := Split(new)
	fetched := MissingSections(func(d Digest) bool { return have[d] != nil }, &m)
	return transferSize(&m, all, fetched), len(fetched)
}

// controlBytesPerSecond is the bandwidth budget of a node's control traffic.
const controlBytesPerSecond = 17_000

var _ = Describe("sections", func() {
	var (
		now      = validBundle().Issued.Add(time.Hour)
		keys     []PublicKey
		m        Manifest
		sections map[Digest][]byte
		src, sig []byte

		privateKey PrivateKey
	)
	BeforeEach(func() {
		pub, key := keyPair(1)
		keys, privateKey = []PublicKey{pub}, key
		m, sections = Split(validBundle())
		src, sig = SignManifest(&m, key)
	})

	It("are accepted like a whole bundle", func() {
		snap, err := AcceptSections(now, nil, src, sig, keys, sections)
		Expect(err).NotTo(HaveOccurred())
		Expect(Diff(snap.Bundle(), validBundle())).To(BeEmpty())
		Expect(AcceptSections(now, snap, src, sig, keys, sections)).To(BeIdenticalTo(snap))
	})

	It("are not fetched again if they are unchanged", func() {
		current, err := AcceptSections(now, nil, src, sig, keys, sections)
		Expect(err).NotTo(HaveOccurred())
		b := validBundle()
		b.Version++
		b.Endpoints[0].Slots++
		newer, all := Split(b)
		newSrc, newSig := SignManifest(&newer, privateKey)
		missing := MissingSections(current.HasSection, &newer)
		Expect(missing).To(HaveLen(1))
		next, err := AcceptSections(now, current, newSrc, newSig, keys, map[Digest][]byte{missing[0]: all[missing[0]]})
		Expect(err).NotTo(HaveOccurred())
		Expect(Diff(next.Bundle(), b)).To(BeEmpty())
		Expect(current.Bundle().Endpoints[0].Slots).To(Equal(4), "the snapshot that is in use must not change")
		Expect(MissingSections((*Snapshot)(nil).HasSection, &newer)).To(Equal(newer.Sections))
		Expect(MissingSections(next.HasSection, &newer)).To(BeEmpty())
	})

	It("are rejected for the same reasons as a whole bundle", func() {
		_, err := AcceptManifest(validBundle().Expires, nil, src, sig, keys)
		Expect(err).To(MatchError(ErrExpired))
		newer := validBundle()
		newer.Version = 8
		_, err = AcceptManifest(now, NewSnapshot(newer), src, sig, keys)
		Expect(err).To(MatchError(ErrRolledBack))
		other := validBundle()
		other.Limits.QueueEntries++
		_, err = AcceptSections(now, NewSnapshot(other), src, sig, keys, sections)
		Expect(err).To(MatchError(ErrConflict))
		_, err = AcceptManifest(now, nil, bytes.Replace(src, []byte(`"version":7`), []byte(`"version":9`), 1), sig, keys)
		Expect(err).To(MatchError(ErrTampered))
	})

	It("reject a signature that was made for a whole bundle, and vice versa", func() {
		whole := encodedBundle(func(*Bundle) {})
		bundleSig, err := Sign("b", whole, privateKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = AcceptManifest(now, nil, whole, bundleSig, keys)
		Expect(err).To(MatchError(ErrTampered))
		Expect(Verify(keys, src, sig)).To(MatchError(ErrTampered))
		_, err = AcceptManifest(now, nil, src, signWithComment(privateKey, src, "coveferry manifest version=8"), keys)
		Expect(err).To(MatchError(ErrTampered))
	})

	It("are rejected if any section is tampered with or missing", func() {
		last := m.Sections[len(m.Sections)-1]
		genuine := sections[last]
		sections[last] = append([]byte(" "), genuine...)
		_, err := AcceptSections(now, nil, src, sig, keys, sections)
		Expect(err).To(MatchError(ErrTampered))
		delete(sections, last)
		_, err = AcceptSections(now, nil, src, sig, keys, sections)
		Expect(err).To(Equal(&MissingSectionError{Digests: []Digest{last}}))
	})

	It("are checked after joining", func() {
		b := validBundle()
		b.Teams[0].Grants[0].Tier = "silver"
		bad, badParts := Split(b)
		_, err := Join(&bad, badParts)
		Expect(err).To(MatchError(ErrInvalid))
		Expect(err).To(MatchError(ContainSubstring(`teams[0].grants[0].tier: "silver" is not in tiers`)))
		unknown := []byte(`{"tears": []}`)
		m.Sections = append(m.Sections, DigestOf(unknown))
		sections[DigestOf(unknown)] = unknown
		_, err = Join(&m, sections)
		Expect(err).To(MatchError(ContainSubstring("tears: unknown key")))
	})

	It("transfer few bytes for one changed endpoint at the design size", func() {
		old, changed, grown := largeBundle(3700, 290), largeBundle(3700, 290), largeBundle(3701, 290)
		changed.Version++
		changed.Endpoints[1234].Slots++
		_, n := transferred(old, changed)
		Expect(n).To(Equal(1))
		_, n = transferred(old, grown)
		Expect(n).To(BeNumerically("<=", 2))

		By("for a change in any section")
		manifest, sections := Split(old)
		for d := range sections {
			Expect(transferSize(&manifest, sections, []Digest{d})).To(BeNumerically("<", controlBytesPerSecond))
		}
	})
})

func TestJoinRestoresSplitBundle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		b := drawBundle(t)
		m, sections := Split(b)
		joined, err := Join(&m, sections)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(Diff(b, joined)).To(BeEmpty())
		again, sameParts := Split(joined)
		g.Expect(again).To(Equal(m))
		g.Expect(maps.EqualFunc(sections, sameParts, bytes.Equal)).To(BeTrue())
	})
}

// BenchmarkOneChangedEndpoint compares the bytes that a node fetches and its CPU time
// for one changed endpoint, as a whole bundle and in sections.
func BenchmarkOneChangedEndpoint(b *testing.B) {
	RegisterTestingT(b)
	pub, key := keyPair(1)
	keys := []PublicKey{pub}
	old, changed := largeBundle(3700, 290), largeBundle(3700, 290)
	changed.Version++
	changed.Endpoints[1234].Slots++
	now, current := changed.Issued, NewSnapshot(old)

	b.Run("whole", func(b *testing.B) {
		src := encode(changed)
		sig, err := Sign("b", src, key)
		Expect(err).NotTo(HaveOccurred())
		for b.Loop() {
			_, err := Accept(now, current, src, sig, keys)
			Expect(err).NotTo(HaveOccurred())
		}
		b.ReportMetric(float64(len(src)), "bytes-moved")
	})
	b.Run("sections", func(b *testing.B) {
		before, sections := Split(old)
		src, sig := SignManifest(&before, key)
		current, err := AcceptSections(now, nil, src, sig, keys, sections)
		Expect(err).NotTo(HaveOccurred())
		m, sections := Split(changed)
		src, sig = SignManifest(&m, key)
		for b.Loop() {
			_, err := AcceptSections(now, current, src, sig, keys, sections)
			Expect(err).NotTo(HaveOccurred())
		}
		size, n := transferred(old, changed)
		b.ReportMetric(float64(size), "bytes-moved")
		b.ReportMetric(float64(n), "sections-moved")
	})
	b.Run("split", func(b *testing.B) {
		for b.Loop() {
			Split(changed)
		}
	})
}

// FuzzDecodeSignedManifest checks that a decoded value is unchanged by encoding and
// decoding.
func FuzzDecodeSignedManifest(f *testing.F) {
	f.Add(EncodeSignedManifest([]byte(`{"version":1}`), []byte("untrusted comment: c\n")))
	f.Add([]byte(`{"manifest": "m"}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		g := NewWithT(t)
		s, err := DecodeSignedManifest(value)
		if err != nil {
			g.Expect(s).To(BeZero())
			return
		}
		again, err := DecodeSignedManifest(EncodeSignedManifest([]byte(s.Manifest), []byte(s.Signature)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(s))
	})
}
