package capacity

import "math"

// limitKinds is the number of kinds of team limits enforced by credits: requests
// and tokens. Concurrency is enforced by permits.
const limitKinds = 2

// pingRows returns the rows of the pings of connections without open streams.
func (m *model) pingRows(role Role, prefix RowID, mesh, subset, streams Quantity) []Row {
	rate := func(conns Quantity) Quantity {
		idle := conns.Times(streams.Per(conns).apply(idleProbability))
		return idle.Per(m.settings.ping)
	}
	bytes, cpu := m.slope(PingBytes), m.slope(PingCPU)
	note := "streams spread evenly; without traffic every connection is silent"
	return []Row{
		workRow(role, prefix+".pings.mesh", "pings of silent connections, full mesh", rate(mesh), bytes, cpu, StageReplaced, mechPing).withNote(note),
		workRow(role, prefix+".pings.subset", "pings of silent connections, subset", rate(subset), bytes, cpu, StageOff, mechSubset).withNote(note),
	}
}

// idleProbability is the probability that a connection has no stream, given the
// mean number of streams on a connection.
func idleProbability(mean float64) float64 { return math.Exp(-mean) }

// activeProbability is the probability that a team with the given mean number of
// requests in an interval has at least one.
func activeProbability(mean float64) float64 { return -math.Expm1(-mean) }

// measuredReplicas is the number of endpoints at which SubsetCPU was measured.
const measuredReplicas = 336

// subsetRows returns the rows of computing a router's subsets. A change of the
// endpoints affects one model; a router that joins or leaves affects all.
func (m *model) subsetRows() []Row {
	f, l := m.figures, m.loads
	one := m.lineAt(SubsetCPU, f.routers).Times(l.replicasPerModel).Scale(1.0 / measuredReplicas)
	events := f.replaced.Plus(f.failed).Scale(1.0 / secondsPerDay)
	agents := events.Times(f.agents).Per(l.processes)
	routers := events.Times(f.routers).Per(l.processes)
	none := Quantity{}
	return []Row{
		workRow(RoleRouter, "router.subset.model", "subset of one model worked out anew", l.changes.Plus(agents), none, one, StageOff, mechSubset).
			withNote("at each change of configuration, and each agent that comes or goes"),
		workRow(RoleRouter, "router.subset.all", "subsets of all models worked out anew", routers, none, one.Times(f.models), StageOff, mechSubset).
			withNote("at each router that comes or goes"),
	}
}

// creditRowPrefix is the prefix of the IDs of the rows of credits and permits.
const creditRowPrefix = "router.credits."

// creditRows returns the rows of credits for team limits. A router sends asks
// (requests for credits) for the teams that it serves, and is itself the home of
// its share of all limits. A holder sends an ask each period while it has demand
// or credits.
func (m *model) creditRows() []Row {
	f, l, s := m.figures, m.loads, m.settings
	alive := s.creditTTL.Plus(s.creditPeriod)
	active := l.routerRequests.Times(alive).Per(f.teams).apply(activeProbability)
	limits := f.teams.Times(active).Scale(limitKinds)
	homes := f.teams.Scale(limitKinds).Per(f.routers)
	holders := f.routers.Times(active)
	rate := limits.Per(s.creditPeriod)
	payload := m.slope(CreditBytes)
	bytes := m.callBytes(payload)
	call := m.callCPU(payload)
	permits := m.heldPermits()
	// Limits with the same home share one connection.
	conns := f.routers.Times(limits.Per(f.routers).apply(activeProbability)).Plus(homes.Times(holders))
	note := "teams equally likely in each request"
	return []Row{
		stateRow(RoleRouter, "router.credits.held", "limits with credits or demand", limits, m.slope(CreditHolderMemory), StageDesigned, mechHolder).withNote(note),
		stateRow(RoleRouter, "router.credits.homes", "limits of which it is the home", homes, m.lineAt(CreditHomeMemory, holders), StageDesigned, mechHome).withNote(note),
		stateRow(RoleRouter, "router.credits.conns", "connections to and from homes", conns, m.slope(ControlConnMemory), StageDesigned, mechControl).
			withNote("one to each home of a limit with credits, one from each holder; a pool of control keeps 32"),
		workRow(RoleRouter, "router.credits.ask", "asks for credits, sent", rate, bytes, call.Plus(m.slope(CreditHolderCPU)), StageDesigned, mechHolder).withNote(note),
		workRow(RoleRouter, "router.credits.grant", "asks for credits, answered as a home", rate, bytes, call.Plus(m.lineAt(CreditHomeCPU, holders)), StageDesigned, mechHome).
			withNote("the mean over all routers; one that is the home of more has more"),
		workRow(RoleRouter, "router.credits.permits", "asks for permits of concurrency, sent and answered", permits.Scale(2).Per(s.creditPeriod),
			bytes, call.Plus(m.slope(CreditHolderCPU)), StageDesigned, mechPermits).
			withNote("bytes and processor time taken as those of credits"),
	}
}

// heldPermits returns the number of concurrency limits that a router holds
// permits of: those of teams with a running or recently ended request.
func (m *model) heldPermits() Quantity {
	l, s := m.loads, m.settings
	alive := sum(l.answerSeconds, s.creditTTL, s.creditPeriod)
	return m.figures.teams.Times(l.routerRequests.Times(alive).Per(m.figures.teams).apply(activeProbability))
}

// memberRows returns the rows of a router's membership: it reads the platform's
// list at a bounded rate, watches some other routers that read it too, and
// receives notices of leaving agents.
func (m *model) memberRows() []Row {
	f, l, s := m.figures, m.loads, m.settings
	list := m.lineAt(VMListBytes, l.processes)
	watches := s.partners.Scale(2).Per(s.heartbeat)
	leaving := f.replaced.Scale(1.0 / secondsPerDay).Times(f.agents).Per(l.processes)
	bytes := m.slope(HandshakeBytes).Plus(m.callBytes(s.statusBytes))
	cpu := m.slope(HandshakeCPU).Plus(m.callCPU(s.statusBytes))
	const notYet = "routers do so in a fleet of one process, the daemon doesn't yet"
	return []Row{
		stateRow(RoleRouter, "router.members", "membership of every endpoint", f.agents, m.slope(MemberMemory), StageDesigned, mechMembers).withNote(notYet),
		workRow(RoleRouter, "router.members.list", "readings of the platform's list, a VM for each process", s.listPace.Per(list), list,
			m.lineAt(VMListCPU, l.processes), StageDesigned, mechFeed).withNote("processor time with the platform's own; " + notYet),
		workRow(RoleRouter, "router.members.watch", "watches of other routers' lists", watches, m.callBytes(s.statusBytes),
			m.callCPU(s.statusBytes), StageDesigned, mechFeed).withNote("as many links, and as often, as partners; " + notYet),
		workRow(RoleRouter, "router.members.notice", "notices of agents that leave, each on a new connection", leaving, bytes, cpu, StageDesigned, mechNotice).
			withNote("from every agent, as without subsets; " + notYet),
	}
}

// keyRows returns the rows of an agent's memory of idempotency keys, assuming
// that every request has one, and of the queries by which the agents of a model
// agree on its list.
func (m *model) keyRows() []Row {
	f, l := m.figures, m.loads
	keys := l.agentRequests.Times(m.settings.remember)
	events := f.replaced.Plus(f.failed).Scale(1.0 / secondsPerDay).Times(f.agents).Per(l.processes)
	peers := l.replicasPerModel.Offset(-1)
	questions := events.Per(f.models).Times(peers).Scale(2)
	conn := m.slope(ConnRouterTLS).Plus(m.slope(ConnAgentTLS))
	bytes := m.slope(HandshakeBytes).Plus(m.callBytes(m.settings.statusBytes))
	cpu := m.slope(HandshakeCPU).Plus(m.callCPU(m.settings.statusBytes))
	return []Row{
		stateRow(RoleAgent, "agent.keys", "idempotency keys remembered", keys, m.slope(KeyMemory), StageBuilt, mechKeys).
			withNote("at most: if every request has one"),
		workRow(RoleAgent, "agent.keys.use", "keys taken, begun and ended", l.agentRequests, Quantity{}, m.slope(KeyCPU), StageBuilt, mechKeys).
			withNote("at most: if every request has one"),
		workRow(RoleAgent, "agent.keys.lists", "questions to the agents of the model, asked and answered", questions, bytes, cpu, StageDesigned, mechLists).
			withNote("all agents of a model once, for each of them that comes or goes, each on a new connection; the questions taken as calls on the control channel"),
		stateRow(RoleAgent, "agent.keys.conns", "connections to and from the agents of the model", peers, conn, StageDesigned, mechLists).
			withNote("for two minutes after each change of the model's list; agents ask in a fleet of one process, the daemon doesn't yet"),
	}
}
