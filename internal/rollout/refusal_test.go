package rollout_test

import (
	"crypto/rand"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/rollout"
	"coveferry/internal/rollout/lab"
)

func TestOlderVersionIsRefused(t *testing.T) {
	runFleet(t, defaultFleet(), func(w *fleetTest) {
		w.startConfirmed(1)
		w.publish(7)
		time.Sleep(2 * time.Second)
		w.publish(6)
		time.Sleep(5 * time.Second)
		w.expectVersion(7)
		reader := w.readers()["domain-0"][0]
		status := reader.Node().Status(time.Now())
		w.Expect(status.Refused).To(gomega.ContainElement(gomega.And(
			gomega.HaveField("Reason", rollout.ReasonRolledBack),
			gomega.HaveField("Message", gomega.ContainSubstring("version 6 is older than version 7")))))
		b := w.Bundle(6)
		b.Version = 8 // old content under a new version
		w.Expect(w.Servers[0].PublishVersion(w.Sign(b))).To(gomega.Succeed())
		time.Sleep(2 * time.Second)
		w.expectVersion(8)
	})
}

func TestRestartedProcessBecomesReadyWithHighestVersion(t *testing.T) {
	cfg := defaultFleet()
	cfg.InitialVersion = 0
	runFleet(t, cfg, func(w *fleetTest) {
		w.startConfirmed(1)
		w.publish(5)
		time.Sleep(2 * time.Second)
		w.expectVersion(5)
		w.Expect(w.Servers[0].Pin(rollout.KeyManifest, 1)).To(gomega.Succeed())
		for _, p := range w.Processes[:8] {
			w.restart(p)
			time.Sleep(2 * time.Second)
			ready, ok := p.FirstReady()
			w.Expect(ok).To(gomega.BeTrue())
			w.Expect(ready.Confirmed).To(gomega.BeTrue())
			w.Expect(ready.Version).To(gomega.BeEquivalentTo(5))
			w.Expect(ready.Peers).To(gomega.BeNumerically(">=", 3))
			w.Expect(ready.Domains).To(gomega.BeNumerically(">=", 2))
		}
		w.expectVersion(5)
	})
}

func TestIsolatedProcessServesUnconfirmedAfterStartWait(t *testing.T) {
	runFleet(t, defaultFleet(), func(w *fleetTest) {
		w.startConfirmed(1)
		w.publish(5)
		time.Sleep(2 * time.Second)
		w.Expect(w.Servers[0].Pin(rollout.KeyManifest, 1)).To(gomega.Succeed())
		p := w.Processes[3]
		alone := func(q *lab.Process) bool { return q == p }
		w.forEachPairAcross(alone, w.net.Cut)
		w.restart(p)
		began := time.Now()
		time.Sleep(10 * time.Second)
		ready, ok := p.FirstReady()
		w.Expect(ok).To(gomega.BeTrue())
		w.Expect(ready.At.Sub(began)).To(gomega.BeNumerically("~", 5*time.Second, time.Second))
		w.Expect(ready.Confirmed).To(gomega.BeFalse())
		w.Expect(p.Version()).To(gomega.BeEquivalentTo(1), "no peer was reachable")
		w.forEachPairAcross(alone, w.net.Heal)
		time.Sleep(7 * time.Second)
		w.expectVersion(5)
		w.Expect(p.Node().Readiness().Confirmed).To(gomega.BeTrue())
	})
}

func TestUnconfirmedPeersDoNotConfirm(t *testing.T) {
	cfg := defaultFleet()
	cfg.Tuning.AcceptUnconfirmedAfter = 30 * time.Second
	runFleet(t, cfg, func(w *fleetTest) {
		w.startConfirmed(1)
		w.publish(5)
		time.Sleep(2 * time.Second)
		w.Expect(w.Servers[0].Pin(rollout.KeyManifest, 1)).To(gomega.Succeed())
		isolated := func(p *lab.Process) bool {
			return p == w.Processes[0] || p == w.Processes[1] || p == w.Processes[2] || p == w.Processes[4]
		}
		w.forEachPairAcross(isolated, w.net.Cut)
		for _, p := range w.Processes {
			if isolated(p) {
				w.restart(p)
			}
		}
		time.Sleep(20 * time.Second)
		for _, p := range w.Processes {
			if isolated(p) {
				w.Expect(p.Node().Readiness()).To(gomega.And(gomega.HaveField("Ready", true), gomega.HaveField("Confirmed", false)))
			}
		}
		w.forEachPairAcross(isolated, w.net.Heal)
		time.Sleep(8 * time.Second)
		w.expectVersion(5)
	})
}

func TestInvalidBundlesAreRefused(t *testing.T) {
	unknownSigner := func(w *fleetTest) lab.SignedVersion {
		_, key, err := bundle.GenerateKey(rand.Reader)
		w.Expect(err).NotTo(gomega.HaveOccurred())
		return lab.SignWith(w.Bundle(9), key)
	}
	for name, c := range map[string]struct {
		value  func(w *fleetTest) lab.SignedVersion
		reason rollout.Reason
	}{
		"an unknown key": {unknownSigner, rollout.ReasonUnknownKey},
		"another version's signature": {func(w *fleetTest) lab.SignedVersion {
			p := w.Sign(w.Bundle(9))
			a, _ := bundle.DecodeSignedManifest(p.SignedManifest)
			b, _ := bundle.DecodeSignedManifest(w.Sign(w.Bundle(10)).SignedManifest)
			p.SignedManifest = bundle.EncodeSignedManifest([]byte(b.Manifest), []byte(a.Signature))
			return p
		}, rollout.ReasonTampered},
		"a section with other bytes": {func(w *fleetTest) lab.SignedVersion {
			p := w.Sign(w.Bundle(9))
			for d := range p.Sections {
				p.Sections[d] = append([]byte(" "), p.Sections[d]...)
			}
			return p
		}, rollout.ReasonIncomplete},
		"expired": {func(w *fleetTest) lab.SignedVersion {
			b := w.Bundle(9)
			b.Expires = time.Now().Add(-time.Minute)
			b.Issued = b.Expires.Add(-time.Hour)
			return w.Sign(b)
		}, rollout.ReasonExpired},
		"the same version with other content": {func(w *fleetTest) lab.SignedVersion {
			b := w.Bundle(9)
			b.Version = 1
			return w.Sign(b)
		}, rollout.ReasonConflict},
		"no manifest": {func(*fleetTest) lab.SignedVersion { return lab.SignedVersion{SignedManifest: []byte("{}")} }, rollout.ReasonInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, lab.Config{Nodes: 6, Domains: 3, Services: 1, InitialVersion: 1}, func(w *fleetTest) {
				w.startConfirmed(1)
				w.Expect(w.Servers[0].PublishVersion(c.value(w))).To(gomega.Succeed())
				time.Sleep(5 * time.Second)
				w.expectVersion(1)
				w.Expect(hasRefusal(w.readers()["domain-0"][0], c.reason)).To(gomega.BeTrue())
				w.publish(11)
				time.Sleep(15 * time.Second)
				w.expectVersion(11)
			})
		})
	}
}
