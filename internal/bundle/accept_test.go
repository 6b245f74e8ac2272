package bundle

import (
	"bytes"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// constantReader is a source of randomness that yields the same keys on every run.
type constantReader byte

func (s constantReader) Read(p []byte) (int, error) {
	copy(p, bytes.Repeat([]byte{byte(s)}, len(p)))
	return len(p), nil
}

func keyPair(s constantReader) (PublicKey, PrivateKey) {
	pub, key, err := GenerateKey(s)
	Expect(err).NotTo(HaveOccurred())
	return pub, key
}

func encodedBundle(change func(*Bundle)) []byte {
	b := validBundle()
	change(b)
	return encode(b)
}

var _ = Describe("Accept", func() {
	var (
		now      = validBundle().Issued.Add(time.Hour)
		pub, key = PublicKey{}, PrivateKey{}
		keys     []PublicKey
	)
	BeforeEach(func() {
		pub, key = keyPair(1)
		keys = []PublicKey{pub}
	})

	offer := func(now time.Time, current *Snapshot, change func(*Bundle)) (*Snapshot, error) {
		src := encodedBundle(change)
		sig, err := Sign("b", src, key)
		Expect(err).NotTo(HaveOccurred())
		return Accept(now, current, src, sig, keys)
	}

	DescribeTable("decides by version and content",
		func(offered uint64, slots int, reason error, replaced bool) {
			current := NewSnapshot(validBundle())
			got, err := offer(now, current, func(b *Bundle) { b.Version, b.Endpoints[0].Slots = offered, slots })
			if reason != nil {
				Expect(err).To(MatchError(reason))
				Expect(got).To(BeNil())
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Version()).To(Equal(offered))
			Expect(got != current).To(Equal(replaced))
		},
		Entry("higher", uint64(8), 5, nil, true),
		Entry("far higher, same content", uint64(99), 4, nil, true),
		Entry("same version and content", uint64(7), 4, nil, false),
		Entry("same version, other content", uint64(7), 5, ErrConflict, false),
		Entry("lower", uint64(6), 4, ErrRolledBack, false),
	)

	It("returns both versions of a rollback", func() {
		_, err := offer(now, NewSnapshot(validBundle()), func(b *Bundle) { b.Version = 3 })
		Expect(err).To(Equal(&RolledBackError{Offered: 3, Accepted: 7}))
	})

	It("rejects an expired bundle as new, but keeps one in force", func() {
		expiry := validBundle().Expires
		_, err := offer(expiry, nil, func(*Bundle) {})
		Expect(err).To(MatchError(ErrExpired))
		_, err = offer(expiry, NewSnapshot(validBundle()), func(b *Bundle) { b.Version++ })
		Expect(err).To(MatchError(ErrExpired))
		current := NewSnapshot(validBundle())
		Expect(offer(expiry, current, func(*Bundle) {})).To(BeIdenticalTo(current))
		Expect(offer(expiry.Add(-1), nil, func(*Bundle) {})).NotTo(BeNil())
	})

	It("rejects every tampered byte", func() {
		src := encodedBundle(func(*Bundle) {})
		sig, err := Sign("b", src, key)
		Expect(err).NotTo(HaveOccurred())
		for i := range src {
			bad := bytes.Clone(src)
			bad[i] ^= 1
			got, err := Accept(now, nil, bad, sig, keys)
			Expect(got).To(BeNil())
			Expect(err).To(MatchError(ErrTampered))
		}
	})

	It("rejects a changed version in the trusted comment", func() {
		src := encodedBundle(func(*Bundle) {})
		sig, err := Sign("b", src, key)
		Expect(err).NotTo(HaveOccurred())
		_, err = Accept(now, nil, src, bytes.Replace(sig, []byte("version=7"), []byte("version=8"), 1), keys)
		Expect(err).To(MatchError(ErrTampered))
	})

	It("rejects a valid signature whose trusted comment does not match the content", func() {
		src := encodedBundle(func(*Bundle) {})
		for _, comment := range []string{"coveferry bundle version=8", "coveferry manifest version=7", "file:b"} {
			_, err := Accept(now, nil, src, signWithComment(key, src, comment), keys)
			Expect(err).To(MatchError(ErrTampered), comment)
		}
	})

	It("trusts any of several keys and no other", func() {
		other, otherKey := keyPair(2)
		src := encodedBundle(func(*Bundle) {})
		sig, err := Sign("b", src, otherKey)
		Expect(err).NotTo(HaveOccurred())
		Expect(Verify([]PublicKey{pub, other}, src, sig)).To(Succeed())
		Expect(Verify(keys, src, sig)).To(Equal(&UnknownKeyError{KeyID: other.ID()}))
		Expect(Verify(keys, src, []byte("x"))).To(MatchError(ErrBadSignature))
	})

	It("rejects signed content with errors, as Sign does", func() {
		src := encodedBundle(func(b *Bundle) { b.Endpoints[0].Slots = 0 })
		_, err := Sign("b", src, key)
		Expect(err).To(MatchError(ErrInvalid))
		_, err = Accept(now, nil, src, signWithComment(key, src, trustedComment(bundlePurpose, validBundle().Version, validBundle().Expires)), keys)
		Expect(err).To(MatchError(ErrInvalid))
	})
})

var _ = Describe("Diff", func() {
	It("lists what was added, removed and changed", func() {
		b := validBundle()
		b.Version = 8
		b.Tiers[0], b.Tiers[1] = b.Tiers[1], b.Tiers[0]
		b.Models = append(b.Models, Model{Name: "n/1"})
		b.Services = nil
		b.Teams[1].Limits.Concurrency = 4
		b.Endpoints[0], b.Endpoints[1] = b.Endpoints[1], b.Endpoints[0] // no change
		raw := func(s string) json.RawMessage { return json.RawMessage(s) }
		Expect(Diff(validBundle(), b)).To(HaveExactElements(
			Change{KindBundle, "", Changed, "version", raw("7"), raw("8")},
			Change{KindTier, "", Changed, "tiers", raw(`["gold","bronze"]`), raw(`["bronze","gold"]`)},
			Change{KindModel, "n/1", Added, `models["n/1"]`, nil, raw(`{"name":"n/1"}`)},
			Change{KindService, "svc", Removed, `services["svc"]`, raw(`{"name":"svc"}`), nil},
			Change{KindTeam, "b", Changed, `teams["b"].limits.concurrency`, raw("3"), raw("4")},
		))
	})
})

var _ = Describe("Explain", func() {
	It("shows tier, endpoints and limits", func() {
		e, err := Explain(validBundle(), "b", "", "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Routed).To(BeTrue())
		Expect(e.Class).To(Equal("chat"))
		Expect(e.TierRank).To(Equal(1))
		Expect(e.Domains).To(HaveExactElements(DomainSummary{"x", []string{"e1"}, 4}, DomainSummary{"y", []string{"e2"}, 8}))
		Expect(e.String()).To(And(ContainSubstring("bronze (rank 2 of 2"), ContainSubstring("3 at once")))
	})

	It("shows why a request is rejected", func() {
		e, err := Explain(validBundle(), "b", "batch", "svc")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Routed).To(BeFalse())
		Expect(e.String()).To(ContainSubstring(`team "b" has no grant for class "batch"`))
		b := validBundle()
		b.Endpoints[0].Models, b.Endpoints[1].Models = nil, nil
		e, err = Explain(b, "b", "", "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.String()).To(ContainSubstring(`is refused: no endpoint serves "m"`))
	})

	It("lists the defined names if a name is not found", func() {
		_, err := Explain(validBundle(), "c", "chat", "m")
		Expect(err).To(Equal(&NotFoundError{Kind: KindTeam, Name: "c", Known: []string{"a", "b"}}))
		_, err = Explain(validBundle(), "b", "chat", "x")
		Expect(err).To(MatchError(ErrNotFound))
	})
})
