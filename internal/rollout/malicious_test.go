package rollout_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/bundle"
	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/rollout"
	"coveferry/internal/rollout/lab"
)

// maliciousPeer holds the false answers of a process that has a valid
// certificate.
type maliciousPeer struct {
	claim  rollout.Summary
	update rollout.Update
}

var (
	peerExchange = control.NewMethod[rollout.Exchange, rollout.ExchangeReply]("bundle.exchange", identity.Roles()...)
	peerOffer    = control.NewMethod[rollout.Offer, rollout.OfferReply]("bundle.offer", identity.Roles()...)
	peerDeliver  = control.NewMethod[rollout.Update, rollout.DeliverReply]("bundle.deliver", identity.Roles()...)
	peerFetch    = control.NewMethod[rollout.FetchRequest, rollout.Update]("bundle.fetch", identity.Roles()...)
	peerSections = control.NewMethod[rollout.SectionsRequest, rollout.SectionsReply]("bundle.sections", identity.Roles()...)
)

// impersonate stops a process and serves false answers in its place.
func (w *fleetTest) impersonate(p *lab.Process, answers maliciousPeer) (stop func()) {
	p.Stop()
	l, err := w.net.Listen(p.Peer.Name, p.Address)
	w.Expect(err).NotTo(gomega.HaveOccurred())
	srv := control.NewServer(control.ServerConfig{Listener: l, Identity: p.Identity(), Roles: identity.Roles()})
	control.Register(srv, peerExchange, func(context.Context, identity.Peer, rollout.Exchange) (rollout.ExchangeReply, error) {
		return rollout.ExchangeReply{Held: answers.claim, From: rollout.PeerReport{ID: p.ID(), Version: answers.claim.Version, State: rollout.StateConfirmed}}, nil
	})
	control.Register(srv, peerFetch, func(context.Context, identity.Peer, rollout.FetchRequest) (rollout.Update, error) {
		return answers.update, nil
	})
	control.Register(srv, peerSections, func(context.Context, identity.Peer, rollout.SectionsRequest) (rollout.SectionsReply, error) {
		return rollout.SectionsReply{Sections: []string{"{}"}}, nil
	})
	var done sync.WaitGroup
	done.Go(func() { _ = srv.Run() })
	return func() {
		w.Expect(srv.Stop()).To(gomega.Succeed())
		done.Wait()
	}
}

// deliverToAll delivers an unsolicited update to every other running process.
func (w *fleetTest) deliverToAll(p *lab.Process, u rollout.Update) {
	pool := control.NewPool(control.ClientConfig{Identity: p.Identity(), Dial: w.net.Dialer(p.Peer.Name)}, len(w.Processes))
	defer pool.Close()
	for _, q := range w.Processes {
		if !q.Running() {
			continue
		}
		client := pool.Client(control.Target{Address: q.Address, Peer: q.Peer})
		_, err := control.Call(w.t.Context(), client, peerOffer, rollout.Offer{Summary: u.Summary})
		w.Expect(err).NotTo(gomega.HaveOccurred())
		reply, err := control.Call(w.t.Context(), client, peerDeliver, u)
		w.Expect(err).NotTo(gomega.HaveOccurred())
		w.Expect(reply.Held.Version).To(gomega.BeEquivalentTo(q.Version()))
	}
}

// updateOf returns a version in the form in which peers send it.
func updateOf(p lab.SignedVersion, version uint64) rollout.Update {
	s, _ := bundle.DecodeSignedManifest(p.SignedManifest)
	u := rollout.Update{
		Summary:  rollout.Summary{Version: version, Digest: bundle.DigestOf(p.SignedManifest)},
		Manifest: &rollout.ManifestText{Text: s.Manifest, Signature: s.Signature},
	}
	for _, text := range p.Sections {
		u.Sections = append(u.Sections, string(text))
	}
	return u
}

func TestFalseOffersDoNotChangeOrDelayVersions(t *testing.T) {
	for name, falseUpdate := range map[string]func(w *fleetTest) rollout.Update{
		"an old version as a new one": func(w *fleetTest) rollout.Update { return updateOf(w.Sign(w.Bundle(1)), 1000) },
		"altered sections": func(w *fleetTest) rollout.Update {
			u := updateOf(w.Sign(w.Bundle(1000)), 1000)
			for i := range u.Sections {
				u.Sections[i] += " "
			}
			return u
		},
		"altered version number": func(w *fleetTest) rollout.Update {
			b := w.Bundle(4)
			b.Version = 1000
			u, genuine := updateOf(w.Sign(b), 1000), updateOf(w.Sign(w.Bundle(4)), 4)
			u.Manifest.Signature = genuine.Manifest.Signature
			return u
		},
		"empty update": func(*fleetTest) rollout.Update {
			return rollout.Update{Summary: rollout.Summary{Version: 1000, Digest: bundle.Digest{1}}}
		},
		"delta against an unknown base": func(*fleetTest) rollout.Update {
			return rollout.Update{
				Summary:  rollout.Summary{Version: 1000, Digest: bundle.Digest{1}},
				Manifest: &rollout.ManifestText{Delta: []byte("x"), Base: bundle.Digest{2}},
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, lab.Config{Nodes: 12, Domains: 3, Services: 1, InitialVersion: 1}, func(w *fleetTest) {
				w.startConfirmed(1)
				u := falseUpdate(w)
				for _, p := range w.Processes[:2] {
					defer w.impersonate(p, maliciousPeer{claim: u.Summary, update: u})()
				}
				if u.Manifest != nil {
					w.deliverToAll(w.Processes[0], u)
				}
				time.Sleep(20 * time.Second)
				w.expectVersion(1)
				for v := uint64(2); v < 5; v++ {
					w.publish(v)
					time.Sleep(3 * time.Second)
					w.expectVersion(v)
				}
				w.restart(w.Processes[5])
				time.Sleep(6 * time.Second)
				ready, _ := w.Processes[5].FirstReady()
				w.Expect(ready.Version).To(gomega.BeEquivalentTo(4))
			})
		})
	}
}
