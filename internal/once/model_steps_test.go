package once

import "fmt"

// adoptLatest sets the latest list at all running processes.
func (m *simulation) adoptLatest() {
	last := len(m.lists) - 1
	m.routers[m.randomInt(len(m.routers))] = last
	for _, h := range m.hosts {
		if !h.dead && !h.paused && !h.partitioned {
			h.version = last
			h.registry.SetView(m.clock(h), m.lists[last].view)
		}
	}
}

// recover ends all faults and waits until every list can be claimed.
func (m *simulation) recover() {
	for _, h := range m.hosts {
		h.paused = false
		h.partitioned = false
		if h.dead {
			m.start(h, len(m.lists)-1)
		}
	}
	m.adoptLatest()
	m.wait(simSettle + 3*simSkew)
}

// pauseHostAcrossListChange pauses a host while the others change to a new list, then resumes
// it.
func (m *simulation) pauseHostAcrossListChange() {
	h := m.randomHost()
	h.paused = true
	m.changeList()
	m.adoptLatest()
	m.wait(simSettle + m.randomDuration(0, simSettle))
	h.paused = false
	m.request()
}

// partitionHostAcrossListChange partitions a host while the others change to a new list, and
// waits a short time.
func (m *simulation) partitionHostAcrossListChange() {
	h := m.randomHost()
	h.partitioned = true
	m.changeList()
	m.adoptLatest()
	m.wait(m.randomDuration(0, simSettle))
	m.request()
}

// requestAcrossListChange sends a key before and shortly after a change of the list.
func (m *simulation) requestAcrossListChange() {
	m.request()
	m.changeList()
	m.adoptLatest()
	m.adoptLatest()
	m.wait(m.randomDuration(0, 2*simSkew))
	m.request()
}

// request sends a request with the same key through each router and runs them as far as
// possible.
func (m *simulation) request() {
	m.send()
	repeated := *m.messages[len(m.messages)-1].attempt
	for router := range m.routers {
		m.lastID++
		repeated.Request = fmt.Sprint("r", m.lastID)
		m.route(repeated, router)
		m.handle(m.messages[len(m.messages)-1])
		for range 2 * len(m.hosts) {
			m.run()
		}
	}
}

func (m *simulation) step() {
	steps := []func(){ // a random one is executed
		m.changeList, m.adopt, m.adopt, m.adoptRouter, m.restart, m.restart, m.pause, m.pause, m.pause, m.kill,
		func() { h := m.randomHost(); h.partitioned = !h.partitioned },
		m.send, m.send, m.deliver, m.deliver, m.request, m.request, m.request, m.request, m.run, m.run, m.run, m.adoptLatest, m.recover, m.pauseHostAcrossListChange, m.partitionHostAcrossListChange, m.requestAcrossListChange,
		func() { m.wait(m.randomDuration(0, simPause)) },
		func() { m.wait(m.randomDuration(0, simPause)) },
		func() { m.wait(m.randomDuration(0, simPause)) },
		func() { m.wait(m.randomDuration(0, simSettle)) },
		func() { m.wait(m.randomDuration(0, 2*simSettle)) },
	}
	steps[m.randomInt(len(steps))]()
}
