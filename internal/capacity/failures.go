package capacity

// FailureRow is the effect of one event at peak load under one plan. Figures
// cover the whole fleet unless stated otherwise.
type FailureRow struct {
	Event string `json:"event"`
	Plan  Plan   `json:"plan"`
	// LostRouters and LostAgents are the failed processes, without those cut
	// off by a partition.
	LostRouters Quantity `json:"lost_routers"`
	LostAgents  Quantity `json:"lost_agents"`
	// CapacityKept is the fraction of the accelerators that still serve.
	CapacityKept Quantity `json:"kept"`
	// BrokenStreams is an upper bound of the broken streams.
	BrokenStreams Quantity `json:"broken"`
	// Repeats is the time in which the fleet normally receives as many requests
	// as there are broken streams to repeat, in seconds.
	Repeats Quantity `json:"repeats"`
	// Refused is the rate of requests that exceed the remaining capacity, per
	// second, if there was no spare capacity.
	Refused Quantity `json:"refused"`
	// Handshakes is the number of connections that are opened again.
	Handshakes Quantity `json:"handshakes"`
	// MaxHandshakes is the largest number of handshakes at one process, and
	// MaxHandshakeCPU the CPU seconds that these take at that process.
	MaxHandshakes   Quantity `json:"worst"`
	MaxHandshakeCPU Quantity `json:"worst_cpu"`
	// Recovery is the time that MaxHandshakeCPU takes if only the control
	// plane's CPU allowance is used, in seconds.
	Recovery Quantity `json:"recovery"`
	// ReadSeconds is the time for which the reads of returning processes use
	// the configuration service's whole rate.
	ReadSeconds Quantity `json:"read_seconds"`
	// Tier describes which tiers' requests are refused.
	Tier string `json:"tier"`
}

// Values of FailureRow.Tier.
const (
	tierLowest = "the lowest first; the next once it has none left"
	tierNone   = "none, if each side's demand stays with it"
)

// topology is the connections between routers and agents under a plan.
type topology struct {
	plan Plan
	// endpoints is the number of agents per router, routers that of routers per
	// agent.
	endpoints, routers Quantity
	// reads is the number of calls to the configuration service by a starting
	// process.
	reads Quantity
}

func (m *model) topologies() []topology {
	l, f := m.loads, m.figures
	// A starting process with partners asks them instead of the service.
	return []topology{
		{PlanToday, f.agents, f.routers, Quantity{Value: 1}},
		{PlanDesign, l.subsetEndpoints, l.subsetRouters, Quantity{}},
	}
}

func (m *model) failures() []FailureRow {
	one := Quantity{Value: 1}
	rack := m.settings.rackVMs
	routerShare := m.figures.routers.Per(m.loads.processes)
	agentShare := m.figures.agents.Per(m.loads.processes)
	perDomain := m.figures.domains
	var out []FailureRow
	for _, topo := range m.topologies() {
		out = append(out,
			m.lossRow("an agent's VM", topo, Quantity{}, one),
			m.lossRow("a router's VM", topo, one, Quantity{}),
			m.ordinaryDayRow(topo),
			m.lossRow("a rack", topo, rack.Times(routerShare), rack.Times(agentShare)),
			m.lossRow("a failure domain", topo, m.figures.routers.Per(perDomain), m.figures.agents.Per(perDomain)),
			m.partitionRow(topo),
		)
	}
	return out
}

// lossRow returns the effect of losing processes that all return at once.
func (m *model) lossRow(event string, topo topology, routers, agents Quantity) FailureRow {
	l, f := m.loads, m.figures
	lostFraction := agents.Per(f.agents)
	row := FailureRow{Event: event, Plan: topo.plan, LostRouters: routers, LostAgents: agents, Tier: tierLowest}
	row.CapacityKept = lostFraction.Scale(-1).Offset(1)
	row.BrokenStreams = agents.Times(l.agentStreams).Plus(routers.Times(l.routerStreams))
	row.Refused = lostFraction.Times(f.requests)
	row.Handshakes = agents.Times(topo.routers).Plus(routers.Times(topo.endpoints))
	row.MaxHandshakes = m.maxHandshakes(topo, routers, agents)
	row.ReadSeconds = routers.Plus(agents).Times(topo.reads).Per(f.serviceReads)
	return m.withRecovery(row)
}

// maxHandshakes returns the largest number of handshakes at one process: at a
// returning router if there is one, otherwise at a returning agent.
func (m *model) maxHandshakes(topo topology, routers, agents Quantity) Quantity {
	if routers.Value > 0 {
		return topo.endpoints
	}
	if agents.Value > 0 {
		return topo.routers
	}
	return unknown()
}

// withRecovery adds the figures derived from handshakes and broken streams.
func (m *model) withRecovery(row FailureRow) FailureRow {
	row.MaxHandshakeCPU = row.MaxHandshakes.Times(m.slope(HandshakeCPU))
	row.Recovery = row.MaxHandshakeCPU.Per(m.allowance.CPU)
	row.Repeats = row.BrokenStreams.Per(m.figures.requests)
	return row
}

// ordinaryDayRow sums up the failures and replacements of an ordinary day. They
// are spread over all processes; each loss is short and isolated.
func (m *model) ordinaryDayRow(topo topology) FailureRow {
	f := m.figures
	events := f.failed.Plus(f.replaced)
	routers := events.Times(f.routers).Per(m.loads.processes)
	agents := events.Times(f.agents).Per(m.loads.processes)
	row := m.lossRow("an ordinary day, summed up", topo, routers, agents)
	// Only failures break streams; planned replacements don't.
	failures := f.failed.Per(events)
	row.BrokenStreams = row.BrokenStreams.Times(failures)
	row.Repeats = row.Repeats.Times(failures)
	row.CapacityKept = f.agents.Offset(-1).Per(f.agents)
	row.Refused = f.requests.Per(f.agents)
	return row
}

// partitionRow returns the effect of a temporary partition between one region and
// all others. No process fails; streams across the partition break, and its
// connections are opened again.
func (m *model) partitionRow(topo topology) FailureRow {
	f := m.figures
	inside := f.regions.apply(func(v float64) float64 { return 1 / v })
	outside := inside.Scale(-1).Offset(1)
	crossing := inside.Times(outside).Scale(2)
	row := FailureRow{Event: "a region cut off", Plan: topo.plan, CapacityKept: Quantity{Value: 1}, Tier: tierNone}
	row.BrokenStreams = m.loads.streams.Times(crossing)
	row.Handshakes = f.routers.Times(topo.endpoints).Times(crossing)
	row.MaxHandshakes = topo.endpoints.Times(outside)
	row.ReadSeconds = f.regions.apply(func(float64) float64 { return 0 })
	return m.withRecovery(row)
}
