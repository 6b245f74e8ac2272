package rollout_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"coveferry/internal/rollout"
	"coveferry/internal/rollout/lab"
)

func TestVersionReachesAllProcessesWithFewReads(t *testing.T) {
	runFleet(t, defaultFleet(), func(w *fleetTest) {
		w.startConfirmed(1)
		w.Expect(w.readers()).To(gomega.HaveLen(3))
		const changes, readers = 20, 3 * 2
		before := w.calls()
		for v := uint64(2); v < 2+changes; v++ {
			w.publish(v)
			time.Sleep(time.Second)
			w.expectVersion(v)
		}
		// Per change a reader makes one watch call and reads one section.
		w.Expect(w.calls() - before).To(gomega.BeNumerically("<=", 2*readers*(changes+1)))
		for _, domain := range w.readers() {
			w.Expect(domain).To(gomega.HaveLen(2))
		}
	})
}

func TestReadRateIsIndependentOfProcessCount(t *testing.T) {
	quiet := func(nodes int) int {
		calls := 0
		cfg := defaultFleet()
		cfg.Nodes = nodes
		runFleet(t, cfg, func(w *fleetTest) {
			w.startConfirmed(1)
			before := w.calls()
			time.Sleep(90 * time.Second)
			calls = w.calls() - before
		})
		return calls
	}
	gomega.NewWithT(t).Expect(quiet(36)).To(gomega.BeNumerically("~", quiet(12), 6))
}

func TestUnresponsiveReadersAreReplaced(t *testing.T) {
	runFleet(t, lab.Config{Nodes: 8, Domains: 1, Services: 1, InitialVersion: 1}, func(w *fleetTest) {
		w.startConfirmed(1)
		first := w.readers()["domain-0"]
		w.Expect(first).To(gomega.HaveLen(2))
		for _, p := range first {
			p.Stop()
		}
		time.Sleep(15 * time.Second)
		w.Expect(w.readers()["domain-0"]).To(gomega.HaveLen(2))
		w.publish(2)
		time.Sleep(2 * time.Second)
		w.expectVersion(2)
		w.Expect(w.StartAll()).To(gomega.Succeed())
		time.Sleep(15 * time.Second)
		w.Expect(w.readers()["domain-0"]).To(gomega.ConsistOf(first), "the first readers of the ranking read again")
	})
}

func TestSpareReaderReplacesFailingReaders(t *testing.T) {
	runFleet(t, lab.Config{Nodes: 8, Domains: 1, Services: 1, InitialVersion: 1}, func(w *fleetTest) {
		w.startConfirmed(1)
		first := w.readers()["domain-0"]
		for _, p := range first {
			w.net.Cut(p.Peer.Name, "service-0")
		}
		time.Sleep(20 * time.Second)
		w.Expect(w.readers()["domain-0"]).To(gomega.HaveLen(3), "two failing readers and a spare")
		w.publish(2)
		time.Sleep(2 * time.Second)
		w.expectVersion(2)
	})
}

func TestReadsBackOffWhileServiceIsDown(t *testing.T) {
	runFleet(t, defaultFleet(), func(w *fleetTest) {
		w.startConfirmed(1)
		w.Servers[0].SetDown(true)
		time.Sleep(90 * time.Second)
		w.Expect(w.readers()["domain-0"]).To(gomega.HaveLen(3))
		w.publish(2)
		before := w.calls()
		w.Servers[0].SetDown(false)
		time.Sleep(12 * time.Second)
		w.expectVersion(2)
		w.Expect(w.calls() - before).To(gomega.BeNumerically("<=", 9*4))
	})
}

func TestOneReachableServerIsEnough(t *testing.T) {
	cfg := defaultFleet()
	cfg.Services = 3
	runFleet(t, cfg, func(w *fleetTest) {
		w.startConfirmed(1)
		w.Servers[0].SetDown(true)
		w.Expect(w.Servers[1].Pin(rollout.KeyManifest, 1)).To(gomega.Succeed())
		w.publish(2)
		time.Sleep(6 * time.Second)
		w.expectVersion(2)
	})
}

func TestRestartsDoNotDelayVersions(t *testing.T) {
	cfg := defaultFleet()
	cfg.Nodes = 40
	runFleet(t, cfg, func(w *fleetTest) {
		w.startConfirmed(1)
		for v := uint64(2); v < 12; v++ {
			for i := range 4 {
				w.restart(w.Processes[(int(v)*4+i)%len(w.Processes)])
			}
			w.publish(v)
			time.Sleep(2 * time.Second)
			w.expectVersion(v)
		}
	})
}

func TestIsolatedProcessCatchesUp(t *testing.T) {
	runFleet(t, defaultFleet(), func(w *fleetTest) {
		w.startConfirmed(1)
		isolated := w.Processes[5]
		alone := func(p *lab.Process) bool { return p == isolated }
		w.forEachPairAcross(alone, w.net.Cut)
		w.net.Cut(isolated.Peer.Name, "service-0")
		w.publish(2)
		time.Sleep(20 * time.Second)
		w.Expect(isolated.Version()).To(gomega.BeEquivalentTo(1))
		w.publish(3)
		w.forEachPairAcross(alone, w.net.Heal)
		time.Sleep(7 * time.Second) // a failed partner is retried at least every 5 s
		w.expectVersion(3)
	})
}

func TestPartitionsConvergeAfterHealing(t *testing.T) {
	cfg := defaultFleet()
	cfg.Services = 2
	runFleet(t, cfg, func(w *fleetTest) {
		w.startConfirmed(1)
		left := func(p *lab.Process) bool { return p.FailureDomain == "domain-0" }
		w.forEachPairAcross(left, w.net.Cut)
		for _, p := range w.Processes {
			if left(p) {
				w.net.Cut(p.Peer.Name, "service-1")
			} else {
				w.net.Cut(p.Peer.Name, "service-0")
			}
		}
		w.publishAt(0, 5)
		w.publishAt(1, 6)
		time.Sleep(20 * time.Second)
		for _, p := range w.Processes {
			want := uint64(6)
			if left(p) {
				want = 5
			}
			w.Expect(p.Version()).To(gomega.Equal(want), p.Peer.Name)
		}
		w.forEachPairAcross(left, w.net.Heal)
		time.Sleep(8 * time.Second)
		w.expectVersion(6)
	})
}

// runPair runs a fleet of two processes. The tests cut the second one off from
// the service, so that it gets versions only from the first.
func runPair(t *testing.T, run func(w *fleetTest, first, second *lab.Process)) {
	t.Helper()
	runFleet(t, lab.Config{Nodes: 2, Domains: 1, Services: 1, InitialVersion: 1}, func(w *fleetTest) {
		run(w, w.Processes[0], w.Processes[1])
	})
}

func TestVersionIsOfferedToPartner(t *testing.T) {
	runPair(t, func(w *fleetTest, first, second *lab.Process) {
		w.startConfirmed(1)
		w.net.Cut(second.Peer.Name, "service-0")
		w.net.CutOneWay(second.Peer.Name, first.Peer.Name)
		time.Sleep(5 * time.Second)
		w.publish(2)
		time.Sleep(time.Second)
		w.expectVersion(2)
	})
}

func TestVersionIsPulledFromPartner(t *testing.T) {
	runPair(t, func(w *fleetTest, first, second *lab.Process) {
		w.startConfirmed(1)
		w.net.Cut(second.Peer.Name, "service-0")
		w.net.CutOneWay(first.Peer.Name, second.Peer.Name)
		time.Sleep(5 * time.Second)
		w.publish(2)
		time.Sleep(time.Second)
		w.expectVersion(2)
	})
}

func TestUnknownDeltaBaseFallsBackToFullManifest(t *testing.T) {
	runPair(t, func(w *fleetTest, first, second *lab.Process) {
		first.NoFile = true // it gets the manifest of version 1, the second the file
		w.net.Cut(second.Peer.Name, "service-0")
		w.startConfirmed(1)
		w.net.CutOneWay(first.Peer.Name, second.Peer.Name)
		w.publish(2)
		time.Sleep(time.Second)
		w.expectVersion(2)
		w.net.Heal(first.Peer.Name, second.Peer.Name)
		w.net.CutOneWay(second.Peer.Name, first.Peer.Name)
		time.Sleep(10 * time.Second)
		w.publish(3)
		time.Sleep(time.Second)
		w.expectVersion(3)
	})
}

func TestServersAreTriedInTurn(t *testing.T) {
	runFleet(t, lab.Config{Nodes: 2, Domains: 1, Services: 3, InitialVersion: 1}, func(w *fleetTest) {
		w.startConfirmed(1)
		for up := range w.Servers {
			for i, s := range w.Servers {
				s.SetDown(i != up)
			}
			version := uint64(2 + up)
			w.publish(version)
			time.Sleep(30 * time.Second)
			w.expectVersion(version)
		}
	})
}
