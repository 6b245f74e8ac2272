package rollout_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/rollout"
	"coveferry/internal/rollout/lab"
)

// fleetStatus queries the fleet status through the given routers, with a
// certificate of the given role.
func (w *fleetTest) fleetStatus(role identity.Role, routers ...string) (*rollout.FleetStatus, error) {
	id, err := w.Operator()
	if role != identity.RoleOperator {
		id, err = w.Processes[0].Identity(), nil
	}
	w.Expect(err).NotTo(gomega.HaveOccurred())
	pool := control.NewPool(control.ClientConfig{Identity: id, Dial: w.net.Dialer("operator")}, 0)
	defer pool.Close()
	return rollout.NewStatusClient(pool).Query(w.t.Context(), routers)
}

func TestFleetStatusFromOneRouterShowsLaggingProcesses(t *testing.T) {
	runFleet(t, defaultFleet(), func(w *fleetTest) {
		w.startConfirmed(1)
		isolated, stopped, router := w.Processes[5], w.Processes[7], w.Processes[0]
		w.forEachPairAcross(func(p *lab.Process) bool { return p == isolated }, w.net.Cut)
		w.net.Cut(isolated.Peer.Name, "service-0")
		stopped.Stop()
		w.publish(2)
		time.Sleep(15 * time.Second)
		s, err := w.fleetStatus(identity.RoleOperator, router.Address)
		w.Expect(err).NotTo(gomega.HaveOccurred())
		w.Expect(s.Highest).To(gomega.BeEquivalentTo(2))
		w.Expect(s.Processes).To(gomega.HaveLen(24))
		w.Expect(s.Asked).To(gomega.HaveLen(3), "one of each failure domain")
		var lagging []rollout.ID
		for _, p := range s.Lagging() {
			lagging = append(lagging, p.ID)
			w.Expect(p.AgeMillis).To(gomega.BeNumerically(">", 10_000), "its report is old")
		}
		w.Expect(lagging).To(gomega.ConsistOf(isolated.ID(), stopped.ID()))
		_, err = w.fleetStatus(identity.RoleOperator, isolated.Address+"0")
		w.Expect(err).To(gomega.MatchError(control.ErrUnreachable))
	})
}

func TestKeyRotation(t *testing.T) {
	g := gomega.NewWithT(t)
	oldPub, oldKey, _ := bundle.GenerateKey(nil)
	newPub, newKey, _ := bundle.GenerateKey(nil)
	now := time.Now()
	fleet, err := lab.New(lab.Config{Network: lab.NewMemory(), Nodes: 3, Domains: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	accept := func(s *rollout.Store, version uint64, key bundle.PrivateKey) error {
		p := lab.SignWith(fleet.Bundle(version), key)
		signed, _ := bundle.DecodeSignedManifest(p.SignedManifest)
		verified, err := s.Verify(now, signed)
		if err != nil {
			return err
		}
		var sections [][]byte
		for _, text := range p.Sections {
			sections = append(sections, text)
		}
		return s.Accept(now, verified, sections)
	}
	before := rollout.NewStore([]bundle.PublicKey{oldPub}, func(*rollout.ActiveVersion) {})
	during := rollout.NewStore([]bundle.PublicKey{oldPub, newPub}, func(*rollout.ActiveVersion) {})
	after := rollout.NewStore([]bundle.PublicKey{newPub}, func(*rollout.ActiveVersion) {})
	g.Expect(accept(before, 1, oldKey)).To(gomega.Succeed())
	g.Expect(accept(during, 1, oldKey)).To(gomega.Succeed())
	g.Expect(accept(during, 2, newKey)).To(gomega.Succeed())
	g.Expect(accept(during, 3, oldKey)).To(gomega.Succeed(), "both keys are trusted during the rotation")
	g.Expect(accept(after, 4, oldKey)).To(gomega.MatchError(bundle.ErrUnknownKey))
	g.Expect(accept(before, 4, newKey)).To(gomega.MatchError(bundle.ErrUnknownKey))
	g.Expect(before.Summary().Version).To(gomega.BeEquivalentTo(1), "a refused version changes nothing")
}

func TestVersionIsActivatedAtomically(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet, err := lab.New(lab.Config{Network: lab.NewMemory(), Nodes: 40, Domains: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	activations := 0
	s := rollout.NewStore([]bundle.PublicKey{fleet.Public()}, func(*rollout.ActiveVersion) { activations++ })
	p := fleet.Sign(fleet.Bundle(1))
	signed, _ := bundle.DecodeSignedManifest(p.SignedManifest)
	verified, err := s.Verify(time.Now(), signed)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(verified.Missing).To(gomega.HaveLen(len(p.Sections)))
	var given [][]byte
	for _, d := range verified.Missing {
		g.Expect(s.Accept(time.Now(), verified, given)).To(gomega.MatchError(bundle.ErrMissingSection))
		g.Expect(s.Active()).To(gomega.BeNil())
		given = append(given, p.Sections[d])
	}
	g.Expect(s.Accept(time.Now(), verified, given)).To(gomega.Succeed())
	g.Expect(s.Accept(time.Now(), verified, nil)).To(gomega.Succeed(), "accepting a version twice succeeds")
	g.Expect(activations).To(gomega.Equal(1))

	later := fleet.Sign(fleet.Bundle(2))
	next, _ := bundle.DecodeSignedManifest(later.SignedManifest)
	verified, err = s.Verify(time.Now(), next)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(verified.Missing).To(gomega.HaveLen(1), "only the changed section is missing")
}

func TestUpdatesContainOnlyChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet, err := lab.New(lab.Config{Network: lab.NewMemory(), Nodes: 200, Domains: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := rollout.NewStore([]bundle.PublicKey{fleet.Public()}, func(*rollout.ActiveVersion) {})
	published := func(version uint64) (bundle.SignedManifest, [][]byte) {
		p := fleet.Sign(fleet.Bundle(version))
		signed, _ := bundle.DecodeSignedManifest(p.SignedManifest)
		return signed, slices.Collect(maps.Values(p.Sections))
	}
	accept := func(version uint64) rollout.Summary {
		signed, sections := published(version)
		verified, err := s.Verify(time.Now(), signed)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s.Accept(time.Now(), verified, sections)).To(gomega.Succeed())
		return s.Summary()
	}
	first := accept(1)
	_, all := published(1)
	full, _ := s.UpdateSince(rollout.Summary{})
	g.Expect(full.Sections).To(gomega.HaveLen(len(all)))
	second := accept(2)
	for range 2 { // the second update comes from the cache
		update, _ := s.UpdateSince(first)
		g.Expect(update.Summary).To(gomega.Equal(second))
		g.Expect(update.Manifest.Text).To(gomega.BeEmpty())
		g.Expect(len(update.Manifest.Delta)).To(gomega.BeNumerically("<", 250), "two digests and the version")
		g.Expect(update.Sections).To(gomega.HaveLen(1))
		signed, err := s.Unpack(update.Manifest)
		want, _ := published(2)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(signed).To(gomega.Equal(want))
	}
	third := accept(3)
	update, _ := s.UpdateSince(first)
	g.Expect(update.Summary).To(gomega.Equal(third), "not the cached update")
	for version := uint64(4); version < 12; version++ {
		accept(version)
	}
	update, _ = s.UpdateSince(first)
	g.Expect(update.Manifest.Delta).To(gomega.BeNil(), "the first manifest left the history")
	g.Expect(update.Sections).To(gomega.BeEmpty())
}
