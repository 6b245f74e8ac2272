package capacity

import (
	"math"

	"github.com/cockroachdb/errors"
)

// secondsPerDay converts rates per day into rates per second.
const secondsPerDay = 24 * 60 * 60

// model holds the inputs as quantities, and the loads derived from them.
type model struct {
	size     Size
	slopes   Slopes
	missing  map[SlopeID]struct{}
	figures  figures
	settings settings

	allowance AllowanceTable
	loads     loads
}

// figures holds the figures of the size.
type figures struct {
	routers, agents, accelerators          Quantity
	requests, tokens, firstToken, between  Quantity
	tiers, teams, models, regions, domains Quantity
	changes, inForce, replaced, failed     Quantity
	serviceReads, serviceValue             Quantity
}

// settings holds the settings of the mechanisms.
type settings struct {
	subset, readers, partners, heartbeat, exchangeBytes, offerBytes  Quantity
	creditPeriod, creditTTL, reportSeconds                           Quantity
	queue, statusBytes, rackVMs, ping, sloSeries, remember, listPace Quantity
}

// loads holds the loads of one process and of the fleet.
type loads struct {
	processes                              Quantity
	changes                                Quantity // per second
	routerRequests, routerTokens           Quantity // per second
	agentRequests, agentTokens             Quantity // per second
	answerTokens, answerSeconds            Quantity
	streams, routerStreams, agentStreams   Quantity
	replicasPerModel                       Quantity
	subsetEndpoints, subsetRouters         Quantity
	bundle, change, bundleWire, changeWire Quantity // bytes
	apply, applyChange                     Quantity // CPU seconds
	snapshots                              Quantity // alive at once
	readersMesh, readersDesign             Quantity
}

func newModel(in Inputs) *model {
	m := &model{size: in.Size, slopes: in.Slopes, missing: make(map[SlopeID]struct{})}
	m.figures = newFigures(in.Size)
	m.settings = newSettings(in.Settings)
	m.allowance = AllowanceTable{
		Memory:    figure("control memory", in.Size.Control.MemoryBytes),
		Bandwidth: figure("control bandwidth", in.Size.Control.BytesPerSecond),
		CPU:       figure("control core share", in.Size.Control.CoreShare),
	}
	m.loads = m.newLoads()
	return m
}

func newFigures(s Size) figures {
	return figures{
		routers:      figure("routers", s.Routers),
		agents:       figure("agents", s.Agents),
		accelerators: figure("accelerators", s.Accelerators),
		requests:     figure("requests/s", s.RequestsPerSecond),
		tokens:       figure("tokens/s", s.TokensPerSecond),
		firstToken:   figure("first token", s.FirstTokenSeconds),
		between:      figure("between tokens", s.BetweenTokensSeconds),
		tiers:        figure("tiers", s.Tiers),
		teams:        figure("teams", s.Teams),
		models:       figure("models", s.Models),
		regions:      figure("regions", s.Regions),
		domains:      figure("failure domains", s.FailureDomains),
		changes:      figure("changes/day", s.ChangesPerDay),
		inForce:      figure("in force", s.InForceSeconds),
		replaced:     figure("replacements/day", s.ReplacementsByDay),
		failed:       figure("VM failures/day", s.VMFailuresByDay),
		serviceReads: figure("service reads/s", s.Service.ReadsPerSecond),
		serviceValue: figure("service value", s.Service.ValueBytes),
	}
}

func newSettings(s Settings) settings {
	return settings{
		subset:        setting("subset_per_model", s.SubsetPerModel),
		readers:       setting("readers_per_domain", s.ReadersPerDomain),
		partners:      setting("partners", s.Partners),
		heartbeat:     setting("heartbeat_seconds", s.HeartbeatSeconds),
		exchangeBytes: setting("exchange_bytes", s.ExchangeBytes),
		offerBytes:    setting("offer_bytes", s.OfferBytes),
		creditPeriod:  setting("credit_period_seconds", s.CreditPeriodSeconds),
		creditTTL:     setting("credit_ttl_seconds", s.CreditTTLSeconds),
		ping:          setting("ping_seconds", s.PingSeconds),
		sloSeries:     setting("slo_series", s.SLOSeries),
		reportSeconds: setting("report_seconds", s.ReportSeconds),
		queue:         setting("queue_entries", s.QueueEntries),
		statusBytes:   setting("status_bytes", s.StatusBytes),
		listPace:      setting("list_bytes_per_second", s.ListBytesPerSecond),
		remember:      setting("remember_seconds", s.RememberSeconds),
		rackVMs:       setting("rack_vms", s.RackVMs),
	}
}

func (m *model) newLoads() loads {
	f, s := m.figures, m.settings
	var l loads
	l.processes = f.routers.Plus(f.agents)
	l.changes = f.changes.Scale(1.0 / secondsPerDay)
	l.routerRequests = f.requests.Per(f.routers)
	l.routerTokens = f.tokens.Per(f.routers)
	l.agentRequests = f.requests.Per(f.agents)
	l.agentTokens = f.tokens.Per(f.agents)
	l.answerTokens = f.tokens.Per(f.requests)
	l.answerSeconds = f.firstToken.Plus(l.answerTokens.Times(f.between))
	l.streams = f.requests.Times(l.answerSeconds)
	l.routerStreams = l.streams.Per(f.routers)
	l.agentStreams = l.streams.Per(f.agents)
	l.replicasPerModel = f.agents.Per(f.models)
	l.subsetEndpoints = minQuantity(s.subset.Times(f.models), f.agents)
	l.subsetRouters = l.subsetEndpoints.Times(f.routers).Per(f.agents)
	l.bundle = m.byContent(BundleEndpointBytes, BundleTeamBytes, BundleRouterBytes)
	l.bundleWire = m.byContent(BundleEndpointWire, BundleTeamWire, BundleRouterWire)
	l.apply = m.byContent(ApplyEndpointCPU, ApplyTeamCPU, ApplyRouterCPU)
	l.change = m.byChange(ChangeEndpointBytes, ChangeTeamBytes, ChangeRouterBytes)
	l.changeWire = m.byChange(ChangeEndpointWire, ChangeTeamWire, ChangeRouterWire)
	l.applyChange = m.byChange(ChangeEndpointCPU, ChangeTeamCPU, ChangeRouterCPU)
	l.snapshots = l.changes.Times(l.answerSeconds).Offset(1)
	l.readersMesh = l.processes
	l.readersDesign = f.domains.Times(s.readers)
	return l
}

// byContent returns the cost of a bundle: the sum over its endpoints, teams and
// routers.
func (m *model) byContent(endpoint, team, router SlopeID) Quantity {
	f := m.figures
	return sum(
		f.agents.Times(m.slope(endpoint)),
		f.teams.Times(m.slope(team)),
		f.routers.Times(m.slope(router)),
	)
}

// byChange is byContent plus the intercept of the endpoint slope, the cost of the
// changed section itself.
func (m *model) byChange(endpoint, team, router SlopeID) Quantity {
	first := m.lineAt(endpoint, Quantity{})
	return m.byContent(endpoint, team, router).Plus(first)
}

// slope returns the value of a slope.
func (m *model) slope(id SlopeID) Quantity {
	s, ok := m.slopes.Find(id)
	if !ok {
		m.missing[id] = struct{}{}
		s.Value = math.NaN()
	}
	return Quantity{Value: s.Value, Sources: []Source{slopeSource(id)}}
}

// lineAt returns the value of the fitted line at x. A negative intercept, a sign
// of a nonlinear cost, and a negative slope, a sign of a constant one, count as
// zero, so that no cost is underestimated.
func (m *model) lineAt(id SlopeID, x Quantity) Quantity {
	s, _ := m.slopes.Find(id)
	slope := m.slope(id).apply(func(v float64) float64 { return math.Max(v, 0) })
	return slope.Times(x).Offset(max(s.Intercept, 0))
}

// compressionThreshold is the payload in bytes from which the control channel
// compresses.
const compressionThreshold = 512

// callBytes returns the bytes of a call with a payload on the control channel.
func (m *model) callBytes(payload Quantity) Quantity {
	if payload.Value < compressionThreshold {
		return m.lineAt(SmallRPCBytes, payload)
	}
	return m.lineAt(RPCBytes, payload)
}

// callCPU returns the CPU time of a call on one side.
func (m *model) callCPU(payload Quantity) Quantity {
	if payload.Value < compressionThreshold {
		return m.lineAt(SmallRPCCPU, payload)
	}
	return m.lineAt(RPCCPU, payload)
}

func slopeSource(id SlopeID) Source { return Source("slope: " + string(id)) }

// err returns the joined MissingSlopeErrors of all missing slopes.
func (m *model) err() error {
	var err error
	for id := range m.missing {
		err = errors.CombineErrors(err, &MissingSlopeError{ID: id})
	}
	return err
}

// minQuantity returns the smaller of two quantities.
func minQuantity(q, r Quantity) Quantity { return q.combine(r, math.Min(q.Value, r.Value)) }

// DerivedRow is a load derived from the inputs.
type DerivedRow struct {
	Name  string   `json:"name"`
	Value Quantity `json:"value"`
	Unit  string   `json:"unit"`
}

func (m *model) derived() []DerivedRow {
	l := m.loads
	return []DerivedRow{
		{"processes (routers and agents)", l.processes, ""},
		{"requests a second at a router", l.routerRequests, ""},
		{"tokens a second at a router", l.routerTokens, ""},
		{"requests a second at an agent", l.agentRequests, ""},
		{"tokens a second at an agent", l.agentTokens, ""},
		{"accelerators behind an agent", m.figures.accelerators.Per(m.figures.agents), ""},
		{"tokens in an answer", l.answerTokens, ""},
		{"time of an answer at both targets", l.answerSeconds, "s"},
		{"open streams, most, whole fleet", l.streams, ""},
		{"open streams, most, at a router", l.routerStreams, ""},
		{"open streams, most, at an agent", l.agentStreams, ""},
		{"changes of configuration a second", l.changes, ""},
		{"time between changes", l.changes.apply(func(v float64) float64 { return 1 / v }), "s"},
		{"pairs of router and agent in a full mesh", m.figures.routers.Times(m.figures.agents), ""},
		{"endpoints in a router's subset", l.subsetEndpoints, ""},
		{"routers that use an agent, with subsets", l.subsetRouters, ""},
		{"bytes of a whole bundle", l.bundle, "B"},
		{"the same, compressed on the control channel", l.bundleWire, "B"},
		{"bytes of a change of one endpoint", l.change, "B"},
		{"the same, compressed on the control channel", l.changeWire, "B"},
		{"time between answers of one endpoint at a router, full mesh", m.figures.agents.Per(l.routerRequests), "s"},
		{"time between answers of one endpoint at a router, with subsets", l.subsetEndpoints.Per(l.routerRequests), "s"},
	}
}
