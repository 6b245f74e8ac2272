package capacity

// The mechanisms in use today, with their source files.
var (
	mechPool     = Mechanism{"sharded pool of endpoint states", "internal/balance/pool.go"}
	mechChoose   = Mechanism{"choice by load among the candidates", "internal/balance/loadaware.go"}
	mechSnapshot = Mechanism{"immutable snapshot, kept by each request", "internal/bundle/snapshot.go"}
	mechAccept   = Mechanism{"whole bundle, verified and swapped", "internal/bundle/accept.go"}
	mechReport   = Mechanism{"load report on the answer's header and trailer", "internal/wire/wire.go"}
	mechIdentity = Mechanism{"mutual TLS, HTTP/2, one connection a pair", "internal/identity/identity.go"}
	mechPing     = Mechanism{"ping of a silent connection", "internal/server/client.go"}
	mechLimit    = Mechanism{"team limits at each router", "internal/filters/limit/limit.go"}
	mechQueue    = Mechanism{"agent's queue under the policy", "internal/agent/queue.go"}
	mechParse    = Mechanism{"strict decoding and check", "internal/bundle/parse.go"}
)

// The mechanisms of the design. If there is a file, part of the mechanism is
// implemented, but not used by any process yet.
var (
	mechSubset    = Mechanism{"deterministic subsets of endpoints", "internal/subset/subset.go"}
	mechSections  = Mechanism{"signed manifest of sections; changed ones travel", "internal/bundle/manifest.go"}
	mechLinks     = Mechanism{"links between partners on the control channel", "internal/rollout/link.go"}
	mechControl   = Mechanism{"control channel, jsonrpc2 over mutual TLS", "internal/control/client.go"}
	mechHolder    = Mechanism{"credits leased from a limit's home", "internal/credit/holder.go"}
	mechPermits   = Mechanism{"permits leased from a limit's home", "internal/credit/permitholder.go"}
	mechHome      = Mechanism{"home of a limit", "internal/credit/owner.go"}
	mechSLO       = Mechanism{"service levels by class and tier", "internal/slo/recorder.go"}
	mechStream    = Mechanism{Name: "load report between the tokens of an open stream"}
	mechCollector = Mechanism{Name: "garbage collector at its default pace"}
	mechKeys      = Mechanism{"memory of keys at their home", "internal/once/memory.go"}
	mechLists     = Mechanism{"peers asked for the list they hold", "internal/agent/keys.go"}
	mechFetch     = Mechanism{"reports fetched from each router", "internal/slo/fetch.go"}
	mechMembers   = Mechanism{"membership of one router", "internal/membership/core.go"}
	mechFeed      = Mechanism{"platform's list, read and watched", "internal/membership/feed.go"}
	mechNotice    = Mechanism{"notice to the routers heard of", "internal/membership/notice.go"}
	mechReaders   = Mechanism{Name: "few readers a failure domain"}
	mechStatus    = Mechanism{"status asked of each process", "internal/control/client.go"}
)

// reportsPerAnswer is the number of load reports with an answer: one in its
// header and one in its trailer.
const reportsPerAnswer = 2

// rows returns all rows with their verdicts.
func (m *model) rows() []Row {
	var rows []Row
	rows = append(rows, m.routerRows()...)
	rows = append(rows, m.agentRows()...)
	rows = append(rows, m.readerRows()...)
	rows = append(rows, m.operatorRows()...)
	rows = append(rows, m.headroomRows(rows)...)
	rows = append(rows, m.dataRows()...)
	for i := range rows {
		rows[i] = m.allowance.withVerdict(rows[i])
	}
	return rows
}

// stateRow returns a row of state held in memory.
func stateRow(role Role, id RowID, item string, entries, bytes Quantity, stage Stage, mech Mechanism) Row {
	return Row{
		ID: id, Role: role, Plane: PlaneControl, Item: item, Stage: stage, Mechanism: mech,
		Entries: entries, EntryBytes: bytes,
	}
}

// workRow returns a row of messages or other recurring work.
func workRow(role Role, id RowID, item string, rate, bytes, cpu Quantity, stage Stage, mech Mechanism) Row {
	return Row{
		ID: id, Role: role, Plane: PlaneControl, Item: item, Stage: stage, Mechanism: mech,
		PerSecond: rate, MessageBytes: bytes, CPUEach: cpu,
	}
}

// withNote adds the assumptions of an estimate.
func (r Row) withNote(note string) Row {
	r.Note = note
	return r
}

// headroomRows returns the memory that the garbage collector needs above the
// live heap, for each role with state and each plan.
func (m *model) headroomRows(rows []Row) []Row {
	factor := m.slope(GCHeadroom).Offset(-1)
	var out []Row
	for _, role := range []Role{RoleRouter, RoleAgent} {
		today := liveMemory(rows, role, PlanToday)
		design := liveMemory(rows, role, PlanDesign)
		out = append(out,
			stateRow(role, RowID(role)+".gc.today", "collector's headroom for the live bytes, today", today, factor, StageReplaced, mechCollector),
			stateRow(role, RowID(role)+".gc.design", "collector's headroom for the live bytes, as designed", design, factor, StageDesigned, mechCollector))
	}
	return out
}

// liveMemory returns the memory of a role's state under a plan, without the
// headroom of the garbage collector.
func liveMemory(rows []Row, role Role, plan Plan) Quantity {
	var total Quantity
	for _, r := range rows {
		if r.Role == role && r.Plane == PlaneControl && r.inPlan(plan) && r.Mechanism != mechCollector {
			total = total.Plus(r.Memory())
		}
	}
	return total
}

// copiesPerChange is the mean number of copies of a change that a process sends
// and receives: each process receives one copy, so on average it also sends one.
const copiesPerChange = 2

// commonRows returns the rows that routers and agents have in common: the
// configuration, and changes of the membership.
func (m *model) commonRows(role Role, prefix RowID) []Row {
	l := m.loads
	one := Quantity{Value: 1}
	changeCPU := l.applyChange.Plus(m.callCPU(l.change).Scale(copiesPerChange))
	return append([]Row{
		stateRow(role, prefix+".snapshot.whole", "snapshots alive at once, of whole bundles", l.snapshots,
			m.byContent(SnapshotEndpointMemory, SnapshotTeamMemory, SnapshotRouterMemory), StageReplaced, mechSnapshot),
		stateRow(role, prefix+".snapshot.joined", "snapshot joined from sections", one,
			m.byContent(JoinedEndpointMemory, JoinedTeamMemory, JoinedRouterMemory), StageDesigned, mechSections),
		stateRow(role, prefix+".snapshot.next", "older snapshots alive beside it", l.snapshots.Offset(-1),
			m.byContent(NextEndpointMemory, NextTeamMemory, NextRouterMemory), StageDesigned, mechSections),
		stateRow(role, prefix+".copy", "signed sections, kept to pass on", one, l.bundle, StageDesigned, mechSections).
			withNote("bytes of the whole bundle"),
		workRow(role, prefix+".bundle.whole", "whole bundle at each change, as a value of the service", l.changes, l.bundle, l.apply, StageReplaced, mechAccept).
			withNote("accepting is built; no process fetches it yet"),
		workRow(role, prefix+".bundle.change", "change of one endpoint, received once and passed on once", l.changes,
			l.changeWire.Scale(copiesPerChange), changeCPU, StageDesigned, mechSections).
			withNote("the mean; a process passes it on to each partner that lacks it"),
	}, m.partnerRows(role, prefix)...)
}

// partnerRows returns the rows of the links that carry changes of the
// configuration and of the membership. A process has the links that it opened and, on average, as many that
// partners opened to it.
func (m *model) partnerRows(role Role, prefix RowID) []Row {
	s := m.settings
	links := s.partners.Scale(2)
	events := m.figures.replaced.Plus(m.figures.failed).Scale(1.0 / secondsPerDay)
	return []Row{
		stateRow(role, prefix+".partners.conns", "connections to partners", links, m.slope(ControlConnMemory), StageDesigned, mechControl),
		workRow(role, prefix+".partners.exchange", "exchanges with partners", links.Per(s.heartbeat), m.callBytes(s.exchangeBytes),
			m.callCPU(s.exchangeBytes), StageDesigned, mechLinks),
		workRow(role, prefix+".partners.offer", "offers of a new version", m.loads.changes.Times(links), m.callBytes(s.offerBytes),
			m.callCPU(s.offerBytes), StageDesigned, mechLinks).
			withNote("one on each link, at most"),
		workRow(role, prefix+".members", "processes that come and go", events.Times(links), m.callBytes(s.statusBytes),
			m.callCPU(s.statusBytes), StageDesigned, mechLinks).
			withNote("one message on each link for each failure and replacement"),
	}
}

func (m *model) routerRows() []Row {
	l, f := m.loads, m.figures
	r := RoleRouter
	answers := l.routerRequests.Scale(reportsPerAnswer)
	streamReports := minQuantity(l.routerStreams, l.subsetEndpoints).Per(m.settings.reportSeconds)
	rows := []Row{
		stateRow(r, "router.pool.mesh", "endpoint states, every endpoint", f.agents, m.slope(PoolEntryMemory), StageReplaced, mechPool),
		stateRow(r, "router.pool.subset", "endpoint states, a subset", l.subsetEndpoints, m.slope(PoolEntryMemory), StageOff, mechSubset),
		stateRow(r, "router.conns.mesh", "connections to every agent", f.agents, m.slope(ConnRouterTLS), StageReplaced, mechIdentity),
		stateRow(r, "router.conns.subset", "connections to a subset of agents", l.subsetEndpoints, m.slope(ConnRouterTLS), StageOff, mechSubset).
			withNote("without requests that have an idempotency key: those go to the key's home, whatever the subset"),
		workRow(r, "router.report", "load reports received", answers, m.slope(ReportBytes), m.slope(ReportDecodeCPU), StageBuilt, mechReport),
		workRow(r, "router.stream-report", "load reports on open streams", streamReports, m.slope(ReportBytes), m.slope(ReportDecodeCPU), StageDesigned, mechStream).
			withNote("one from each endpoint of the subset with an open stream"),
		workRow(r, "router.choose.mesh", "choice of an endpoint, all of a model", l.routerRequests, Quantity{}, m.lineAt(ChooseCPU, l.replicasPerModel), StageReplaced, mechChoose),
		workRow(r, "router.choose.subset", "choice of an endpoint, a subset", l.routerRequests, Quantity{}, m.lineAt(ChooseCPU, m.settings.subset), StageOff, mechSubset),
		stateRow(r, "router.limits", "use of teams' limits at this router", f.teams, m.slope(LimitMemory), StageBuilt, mechLimit),
		stateRow(r, "router.slo", "recorder of service levels, full", m.settings.sloSeries, m.slope(SLOMemory), StageBuilt, mechSLO),
	}
	rows = append(rows, m.pingRows(r, "router", f.agents, l.subsetEndpoints, l.routerStreams)...)
	rows = append(rows, m.subsetRows()...)
	rows = append(rows, m.memberRows()...)
	rows = append(rows, m.creditRows()...)
	return append(rows, m.commonRows(r, "router")...)
}

func (m *model) agentRows() []Row {
	l, f := m.loads, m.figures
	a := RoleAgent
	answers := l.agentRequests.Scale(reportsPerAnswer)
	streamReports := minQuantity(l.agentStreams, l.subsetRouters).Per(m.settings.reportSeconds)
	rows := []Row{
		stateRow(a, "agent.conns.mesh", "connections from every router", f.routers, m.slope(ConnAgentTLS), StageReplaced, mechIdentity),
		stateRow(a, "agent.conns.subset", "connections from the routers that use it", l.subsetRouters, m.slope(ConnAgentTLS), StageOff, mechSubset),
		stateRow(a, "agent.queue", "waiting requests, queue full, without bodies", m.settings.queue, m.slope(SchedJobMemory), StageBuilt, mechQueue),
		workRow(a, "agent.report", "load reports sent", answers, m.slope(ReportBytes), m.slope(ReportEncodeCPU), StageBuilt, mechReport),
		workRow(a, "agent.stream-report", "load reports on open streams", streamReports, m.slope(ReportBytes), m.slope(ReportEncodeCPU), StageDesigned, mechStream).
			withNote("one to each router that uses the endpoint and has an open stream"),
		workRow(a, "agent.sched", "scheduling decisions, queue full", l.agentRequests, Quantity{}, m.lineAt(SchedCPU, m.settings.queue), StageBuilt, mechQueue),
	}
	rows = append(rows, m.keyRows()...)
	rows = append(rows, m.pingRows(a, "agent", f.routers, l.subsetRouters, l.agentStreams)...)
	return append(rows, m.commonRows(a, "agent")...)
}

func (m *model) readerRows() []Row {
	l := m.loads
	r := RoleReader
	return []Row{
		workRow(r, "reader.watch", "watch of the configuration service, above what each process does", l.changes, l.change.Plus(m.slope(WatchBytes)),
			m.slope(WatchCPU), StageDesigned, mechReaders).
			withNote("the watch returns the manifest, and one more read the section"),
	}
}

func (m *model) operatorRows() []Row {
	l := m.loads
	o := RoleOperator
	return []Row{
		stateRow(o, "operator.bundle", "bundle while it is signed, checked or explained", Quantity{Value: 1}, m.byContent(SnapshotEndpointMemory, SnapshotTeamMemory, SnapshotRouterMemory).Plus(l.bundle), StageBuilt, mechParse),
		workRow(o, "operator.sign", "signing or checking a bundle, one a change", l.changes, l.bundle, l.apply, StageBuilt, mechParse),
		workRow(o, "operator.status", "status of every process, asked within a second", l.processes, m.callBytes(m.settings.statusBytes),
			m.callCPU(m.settings.statusBytes), StageDesigned, mechStatus).
			withNote("a round takes one call to each process"),
		workRow(o, "operator.slo", "reports of service levels of every router, asked within a second", m.figures.routers,
			m.settings.sloSeries.Times(m.slope(SLOBytes)), Quantity{}, StageBuilt, mechFetch).
			withNote("at most: every series that a router records; decoding isn't measured"),
	}
}

// relayLoad is a role's load of relaying answers, and the slopes of its cost.
type relayLoad struct {
	role                      Role
	streams, tokens, requests Quantity
	memory, token, request    SlopeID
	mechanism                 Mechanism
}

// dataRows returns the rows of the data plane.
func (m *model) dataRows() []Row {
	l := m.loads
	var rows []Row
	for _, r := range []relayLoad{
		{
			RoleRouter, l.routerStreams, l.routerTokens, l.routerRequests, RouterStreamMemory, RouterTokenCPU, RouterRequestCPU,
			Mechanism{"pipe of filters, the last of which relays", "internal/filters/relay/relay.go"},
		},
		{
			RoleAgent, l.agentStreams, l.agentTokens, l.agentRequests, AgentStreamMemory, AgentTokenCPU, AgentRequestCPU,
			Mechanism{"attempt, queued and relayed", "internal/agent/attempt.go"},
		},
	} {
		rows = append(rows, m.relayRows(r)...)
	}
	return rows
}

func (m *model) relayRows(r relayLoad) []Row {
	prefix := RowID(r.role)
	rows := []Row{
		stateRow(r.role, prefix+".streams", "open streams", r.streams, m.slope(r.memory), StageBuilt, r.mechanism),
		workRow(r.role, prefix+".tokens", "tokens relayed, in and out", r.tokens, m.slope(TokenBytes).Scale(2), m.slope(r.token), StageBuilt, r.mechanism),
		workRow(r.role, prefix+".requests", "requests opened", r.requests, Quantity{}, m.slope(r.request), StageBuilt, r.mechanism),
	}
	for i := range rows {
		rows[i].Plane = PlaneData
	}
	return rows
}
