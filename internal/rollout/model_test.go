package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	modelNodes   = 9
	modelDomains = 3
	modelStep    = 500 * time.Millisecond
)

// modelNode is one process of the model: a core, and the state that is needed
// to check it.
type modelNode struct {
	core *Core
	up   bool
	// paused processes do nothing while time goes on.
	paused bool
	// partition is the side of a network partition; processes reach only those
	// of the same side.
	partition int
	startedAt time.Time
	// confirmed is set once the process was confirmed in this incarnation.
	confirmed bool
}

// model is a fleet of cores that exchange messages in steps. Versions are
// unsigned numbers here, since verification is Store's job.
type model struct {
	t       *rapid.T
	g       *gomega.WithT
	now     time.Time
	members []Member
	nodes   []*modelNode
	// service is the version that the service returns, newest the one that was
	// published last.
	service, newest uint64
	serviceUp       bool
	reads           int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, g: gomega.NewWithT(t), now: t0, members: fleetOf(modelNodes, modelDomains, 1), service: 1, newest: 1, serviceUp: true}
	for range m.members {
		m.nodes = append(m.nodes, &modelNode{})
	}
	for i := range m.nodes {
		m.start(i)
	}
	return m
}

// start starts a process that has only its bundle file.
func (m *model) start(i int) {
	c := NewCore(m.members[i], Tuning{}, m.now)
	c.SetMembers(m.members)
	c.SetActive(summaryOf(1))
	*m.nodes[i] = modelNode{core: c, up: true, partition: m.nodes[i].partition, startedAt: m.now}
}

func (m *model) isRunning(i int) bool { return m.nodes[i].up && !m.nodes[i].paused }

// applyOffer does what a node does about an offered version.
func (m *model) applyOffer(i int, from ID, offered Summary) {
	c := m.nodes[i].core
	if c.EvaluateOffer(m.now, from, offered).Action != Pull {
		return
	}
	c.BeginTransfer(m.now, offered.Version)
	m.g.Expect(offered.Version).To(gomega.BeNumerically(">", c.ActiveSummary().Version), "the version must not go down")
	c.SetActive(offered)
	c.EndTransfer(m.now, from, offered.Version, true)
}

// step runs what the core of each running process wants.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	for i, n := range m.nodes {
		if !m.isRunning(i) {
			continue
		}
		n.core.Tick(m.now)
		for _, p := range n.core.Partners(m.now) {
			m.exchange(i, p)
		}
		if n.core.ShouldRead(m.now) {
			m.read(i)
		}
		m.check(i)
	}
}

func (m *model) exchange(i int, with Member) {
	j := m.indexOf(with.ID())
	a := m.nodes[i].core
	if !m.isRunning(j) || m.nodes[i].partition != m.nodes[j].partition {
		a.PartnerFailed(m.now, with.ID())
		return
	}
	b, me := m.nodes[j].core, m.members[i].ID()
	b.RecordReports(m.now, me, a.SelfReport(m.now), a.ReportsFor(m.now, with.ID()))
	a.RecordReports(m.now, with.ID(), b.SelfReport(m.now), b.ReportsFor(m.now, me))
	m.applyOffer(i, with.ID(), b.ActiveSummary())
	m.applyOffer(j, me, a.ActiveSummary())
}

func (m *model) indexOf(id ID) int {
	for i := range m.members {
		if m.members[i].ID() == id {
			return i
		}
	}
	panic("no such member: " + string(id))
}

func (m *model) read(i int) {
	m.reads++
	c := m.nodes[i].core
	if !m.serviceUp {
		c.SetServiceUsable(false)
		return
	}
	c.SetServiceUsable(m.service >= c.ActiveSummary().Version)
	m.applyOffer(i, "service", summaryOf(m.service))
}

// check checks the guarantees about readiness.
func (m *model) check(i int) {
	n := m.nodes[i]
	r := n.core.Readiness(m.now)
	waited := m.now.Sub(n.startedAt) >= DefaultTuning().StartWait
	m.g.Expect(!r.Ready || r.Confirmed || waited).To(gomega.BeTrue(), "ready before it was confirmed or StartWait passed")
	m.g.Expect(r.Ready || !waited).To(gomega.BeTrue(), "not ready after StartWait")
	if r.Confirmed && !n.confirmed {
		n.confirmed = true
		m.g.Expect(r.Peers >= 3 && r.Domains >= 2).To(gomega.BeTrue())
	}
}

func (m *model) drawNode(label string) int { return rapid.IntRange(0, modelNodes-1).Draw(m.t, label) }

// recoverAndConverge ends all faults and runs until the fleet has converged.
func (m *model) recoverAndConverge() {
	m.serviceUp, m.service = true, m.newest
	for i, n := range m.nodes {
		n.partition, n.paused = 0, false
		if !n.up {
			m.start(i)
		}
	}
	for range 100 {
		m.step()
	}
}

func TestModelOfTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { m.step() },
			"publish": func(*rapid.T) {
				m.newest++
				m.service = m.newest
			},
			"stale":   func(t *rapid.T) { m.service = uint64(rapid.IntRange(1, int(m.newest)).Draw(t, "version")) },
			"service": func(*rapid.T) { m.serviceUp = !m.serviceUp },
			"stop":    func(*rapid.T) { m.nodes[m.drawNode("stop")].up = false },
			"restart": func(*rapid.T) { m.start(m.drawNode("restart")) },
			"pause":   func(*rapid.T) { n := m.nodes[m.drawNode("pause")]; n.paused = !n.paused },
			"island":  func(t *rapid.T) { m.nodes[m.drawNode("island")].partition = rapid.IntRange(0, 2).Draw(t, "side") },
			"while": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "steps") {
					m.step()
				}
			},
		})
		m.recoverAndConverge()
		for i, n := range m.nodes {
			m.g.Expect(n.core.ActiveSummary().Version).To(gomega.Equal(m.newest), string(m.members[i].ID()))
		}
		m.reads = 0
		readers := make(map[string]int)
		m.step()
		for i, n := range m.nodes {
			if n.core.ShouldRead(m.now) {
				readers[m.members[i].FailureDomain]++
			}
		}
		m.g.Expect(readers).To(gomega.Equal(map[string]int{"d0": 2, "d1": 2, "d2": 2}), fmt.Sprint("after ", m.reads, " reads"))
		m.g.Expect(m.reads).To(gomega.BeNumerically("<=", modelDomains*3))
	})
}
