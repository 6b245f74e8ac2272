package bundle

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"aead.dev/minisign"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"coveferry/internal/units"
)

// The seed is fixed, so that every run draws the same bundles and has the same
// result; pass -rapid.seed for others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func signWithComment(key PrivateKey, src []byte, comment string) []byte {
	return minisign.SignWithComments(key, src, comment, "")
}

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return out
}

func drawSubset(t *rapid.T, from []string, atLeast int) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom(from), atLeast, len(from), rapid.ID[string]).Draw(t, "some")
}

// drawBundle draws a bundle without errors.
func drawBundle(t *rapid.T) *Bundle {
	count := func(upTo int) int { return rapid.IntRange(1, upTo).Draw(t, "n") }
	b := validBundle()
	b.Version = uint64(count(3))
	tiers, classes, models := names("t", count(8)), names("c", count(4)), names("m", count(4))
	b.Tiers, b.Classes, b.Models, b.Services, b.Teams, b.Endpoints = nil, nil, nil, nil, nil, nil
	for _, n := range rapid.Permutation(tiers).Draw(t, "tiers") {
		b.Tiers = append(b.Tiers, Tier{Name: n})
	}
	for _, n := range classes {
		first := units.Duration(time.Duration(count(9)) * time.Second)
		b.Classes = append(b.Classes, Class{Name: n, FirstToken: first, Deadline: first})
	}
	for _, n := range models {
		b.Models = append(b.Models, Model{Name: n})
		b.Services = append(b.Services, Service{Name: "s" + n, Idempotent: rapid.Bool().Draw(t, "i")})
	}
	for _, n := range names("team", count(5)) {
		team := Team{Name: n, KeyHashes: []string{HashKey(n)}, Limits: TeamLimits{Concurrency: count(2) - 1}}
		for _, c := range drawSubset(t, classes, 1) {
			team.Grants = append(team.Grants, Grant{c, rapid.SampledFrom(tiers).Draw(t, "tier")})
		}
		b.Teams = append(b.Teams, team)
	}
	for i, n := range names("e", count(6)) {
		e := Endpoint{Name: n, VM: n, Region: "r", Slots: count(3), Address: fmt.Sprintf("10.0.0.%d:1", i+1)}
		e.FailureDomain = rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "domain")
		e.Models, e.Services = drawSubset(t, models, 1), drawSubset(t, names("sm", len(models)), 0)
		b.Endpoints = append(b.Endpoints, e)
	}
	b.Routers = nil
	for i, n := range names("r", count(4)-1) {
		r := Router{Name: n, ControlAddress: fmt.Sprintf("10.0.1.%d:1", i+1), FailureDomain: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "domain"), Region: "r"}
		b.Routers = append(b.Routers, r)
	}
	return b
}

// scanEndpoints is the linear search with which a snapshot's indexes must agree.
func scanEndpoints(b *Bundle, serves func(*Endpoint) bool) []*Endpoint {
	var out []*Endpoint
	for i := range b.Endpoints {
		if serves(&b.Endpoints[i]) {
			out = append(out, &b.Endpoints[i])
		}
	}
	return out
}

func TestSnapshotAgreesWithScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		b := drawBundle(t)
		s := NewSnapshot(b)
		for _, m := range names("m", 5) {
			want := scanEndpoints(b, func(e *Endpoint) bool { return slices.Contains(e.Models, m) })
			g.Expect(s.EndpointsForModel(m)).To(gomega.HaveExactElements(want), m)
			want = scanEndpoints(b, func(e *Endpoint) bool { return slices.Contains(e.Services, "s"+m) })
			g.Expect(s.EndpointsForService("s"+m)).To(gomega.HaveExactElements(want), m)
		}
		for rank, tier := range b.Tiers {
			got, ok := s.TierRank(tier.Name)
			g.Expect(ok && got == rank).To(gomega.BeTrue())
		}
		for _, n := range names("team", 6) {
			team, ok := s.TeamByKey(n)
			g.Expect(ok).To(gomega.Equal(n < fmt.Sprintf("team%d", len(b.Teams))))
			g.Expect(!ok || team.Name == n).To(gomega.BeTrue())
		}
		for _, svc := range b.Services {
			got, ok := s.Service(svc.Name)
			g.Expect(ok && *got == svc).To(gomega.BeTrue())
		}
	})
}

func TestDiffIsEmptyOnlyForEqualBundles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		a, b := drawBundle(t), drawBundle(t)
		again, err := Parse("b", encode(a))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(Diff(a, again)).To(gomega.BeEmpty())
		// Only tiers are drawn in varying order, so equal bundles have equal encodings.
		g.Expect(len(Diff(a, b)) == 0).To(gomega.Equal(string(encode(a)) == string(encode(b))))
		g.Expect(Diff(b, a)).To(gomega.HaveLen(len(Diff(a, b))))
	})
}

// FuzzParse checks that a bundle that Parse accepts has no errors and is unchanged by
// encoding and parsing.
func FuzzParse(f *testing.F) {
	gomega.RegisterTestingT(f)
	f.Add(readExample("registry.jsonc"))
	f.Add(readExample("fleet.jsonc"))
	f.Add([]byte(encode(validBundle())))
	f.Add([]byte(`{"format": 1, "teams": [{}], /* a comment */ }`))
	f.Fuzz(func(t *testing.T, src []byte) {
		b, err := Parse("f", src)
		if err != nil {
			return
		}
		g := gomega.NewWithT(t)
		g.Expect(Check(b).Errors()).To(gomega.BeEmpty())
		again, err := Parse("f", encode(b))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(Diff(b, again)).To(gomega.BeEmpty())
	})
}
