package rollout_test

import (
	"cmp"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/rollout"
	"coveferry/internal/rollout/lab"
)

// fleetTest is a fleet on an in-memory network, in the fake time of a synctest
// bubble.
type fleetTest struct {
	*gomega.WithT
	*lab.Fleet
	t   *testing.T
	net *lab.Memory
}

// runFleet runs a test on a fleet and then checks that no process ever went
// back to a lower version.
func runFleet(t *testing.T, cfg lab.Config, run func(w *fleetTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &fleetTest{WithT: gomega.NewWithT(t), t: t, net: lab.NewMemory()}
		cfg.Network = w.net
		// The whole fleet starts at once in each test, so no peer is confirmed
		// then.
		cfg.Tuning.AcceptUnconfirmedAfter = cmp.Or(cfg.Tuning.AcceptUnconfirmedAfter, time.Second)
		cfg.Log = zerolog.Nop()
		if os.Getenv("ROLLOUT_LOG") != "" {
			cfg.Log = zerolog.New(os.Stderr).With().Timestamp().Logger()
		}
		f, err := lab.New(cfg)
		w.Expect(err).NotTo(gomega.HaveOccurred())
		w.Fleet = f
		defer f.Close()
		run(w)
		w.expectMonotonicVersions()
	})
}

// expectMonotonicVersions checks that the versions at each process rose within
// each incarnation.
func (w *fleetTest) expectMonotonicVersions() {
	w.t.Helper()
	for _, p := range w.Processes {
		last := lab.Applied{}
		for _, a := range p.AppliedVersions() {
			w.Expect(a.Incarnation > last.Incarnation || a.Version > last.Version).To(gomega.BeTrue(), "%s: %v after %v", p.Peer, a, last)
			last = a
		}
	}
}

func (w *fleetTest) publish(version uint64) {
	w.t.Helper()
	w.Expect(w.Publish(version)).To(gomega.Succeed())
}

// publishAt publishes a version at one server only.
func (w *fleetTest) publishAt(server int, version uint64) {
	w.t.Helper()
	w.Expect(w.Servers[server].PublishVersion(w.Sign(w.Bundle(version)))).To(gomega.Succeed())
}

// startConfirmed starts all processes with a version and waits until they are
// confirmed.
func (w *fleetTest) startConfirmed(version uint64) {
	w.t.Helper()
	w.publish(version)
	w.Expect(w.StartAll()).To(gomega.Succeed())
	time.Sleep(8 * time.Second)
	for range 60 {
		time.Sleep(time.Second)
		if w.allConfirmed() {
			break
		}
	}
	w.Expect(w.allConfirmed()).To(gomega.BeTrue())
	w.expectVersion(version)
}

// allConfirmed says whether all processes are confirmed.
func (w *fleetTest) allConfirmed() bool {
	for _, p := range w.Processes {
		if !p.Node().Readiness().Confirmed {
			return false
		}
	}
	return true
}

func (w *fleetTest) expectVersion(version uint64) {
	w.t.Helper()
	for _, p := range w.Processes {
		if p.Running() {
			w.Expect(p.Version()).To(gomega.Equal(version), p.Peer.Name)
		}
	}
}

// restart stops a process and starts it again without its state.
func (w *fleetTest) restart(p *lab.Process) {
	w.t.Helper()
	p.Stop()
	w.Expect(p.Start()).To(gomega.Succeed())
}

// forEachPairAcross calls act, such as Cut or Heal, for each pair of a process
// on the given side and one on the other side.
func (w *fleetTest) forEachPairAcross(side func(p *lab.Process) bool, act func(a, b string)) {
	for _, a := range w.Processes {
		for _, b := range w.Processes {
			if side(a) && !side(b) {
				act(a.Peer.Name, b.Peer.Name)
			}
		}
	}
}

// readers lists the processes that read the service now, by failure domain.
func (w *fleetTest) readers() map[string][]*lab.Process {
	out := make(map[string][]*lab.Process)
	for _, p := range w.Processes {
		if p.Running() && p.Node().Reading() {
			out[p.FailureDomain] = append(out[p.FailureDomain], p)
		}
	}
	return out
}

func (w *fleetTest) calls() int {
	n := 0
	for _, s := range w.Servers {
		n += s.Stats().Calls
	}
	return n
}

// hasRefusal says whether a process refused a version for the given reason.
func hasRefusal(p *lab.Process, reason rollout.Reason) bool {
	for _, r := range p.Node().Status(time.Now()).Refused {
		if r.Reason == reason {
			return true
		}
	}
	return false
}

func defaultFleet() lab.Config {
	return lab.Config{Nodes: 24, Domains: 3, Services: 1, InitialVersion: 1}
}
