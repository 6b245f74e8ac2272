package capacity

import (
	"fmt"
	"strings"
)

// Table is a part of a report as formatted text cells.
type Table struct {
	// ID is unique within a report.
	ID     string
	Title  string
	Header []string
	Rows   [][]string
}

// Tables formats the whole report.
func (r Report) Tables() []Table {
	tables := []Table{r.derivedTable(), r.settingsTable()}
	for _, role := range Roles() {
		tables = append(tables, r.roleTable(role))
	}
	return append(tables,
		r.totalsTable(), r.dataTable(), r.serviceTable(), r.overTable(),
		r.failureTable(), r.reconnectTable(), r.breakTable(), r.slopesTable(), r.runsTable(),
	)
}

func (r Report) derivedTable() Table {
	t := Table{ID: "derived", Title: "What follows from the figures", Header: []string{"load", "value", "from"}}
	for _, d := range r.Derived {
		t.Rows = append(t.Rows, []string{d.Name, withUnit(d.Value.Value, d.Unit), joinSources(d.Value.Sources)})
	}
	return t
}

func withUnit(v float64, unit string) string {
	switch unit {
	case "B":
		return FormatBytes(v)
	case "s":
		return FormatSeconds(v)
	case "":
		return FormatNumber(v)
	default:
		return strings.TrimSpace(FormatNumber(v) + " " + unit)
	}
}

// joinSources formats sources, grouped by kind.
func joinSources(sources []Source) string {
	var parts []string
	last := ""
	for _, s := range sources {
		kind, name, _ := strings.Cut(string(s), ": ")
		if kind == last {
			parts[len(parts)-1] += ", " + name
			continue
		}
		parts = append(parts, string(s))
		last = kind
	}
	return strings.Join(parts, "; ")
}

func (r Report) settingsTable() Table {
	s := r.Settings
	t := Table{ID: "settings", Title: "Settings of what is designed", Header: []string{"setting", "value"}}
	for _, row := range []struct {
		name  string
		value float64
	}{
		{"subset_per_model", s.SubsetPerModel}, {"readers_per_domain", s.ReadersPerDomain},
		{"partners", s.Partners}, {"heartbeat_seconds", s.HeartbeatSeconds},
		{"exchange_bytes", s.ExchangeBytes}, {"offer_bytes", s.OfferBytes}, {"credit_period_seconds", s.CreditPeriodSeconds},
		{"credit_ttl_seconds", s.CreditTTLSeconds}, {"ping_seconds", s.PingSeconds}, {"slo_series", s.SLOSeries},
		{"report_seconds", s.ReportSeconds},
		{"queue_entries", s.QueueEntries}, {"remember_seconds", s.RememberSeconds}, {"list_bytes_per_second", s.ListBytesPerSecond}, {"status_bytes", s.StatusBytes}, {"rack_vms", s.RackVMs},
	} {
		t.Rows = append(t.Rows, []string{row.name, FormatNumber(row.value)})
	}
	return t
}

// rowHeader is the header of tables of rows.
var rowHeader = []string{
	"what", "number", "each", "memory", "bytes/s", "of a core", "of its allowance", "verdict", "mechanism", "stage", "from",
}

func (r Report) roleTable(role Role) Table {
	t := Table{ID: strings.Fields(string(role))[0], Title: "Control: " + string(role), Header: rowHeader}
	if role == RoleOperator {
		t.ID = "operator"
	}
	for _, row := range r.Rows {
		if row.Role == role && row.Plane == PlaneControl {
			t.Rows = append(t.Rows, row.cells())
		}
	}
	return t
}

func (r Report) dataTable() Table {
	t := Table{ID: "data", Title: "The answers themselves (no allowance is set)", Header: append([]string{"role"}, rowHeader...)}
	for _, row := range r.Rows {
		if row.Plane == PlaneData {
			t.Rows = append(t.Rows, append([]string{string(row.Role)}, row.cells()...))
		}
	}
	return t
}

// cells returns the columns of rowHeader.
func (r Row) cells() []string {
	return []string{
		r.description(), r.number(), r.each(), r.formatNonZero(r.Memory(), FormatBytes), r.formatNonZero(r.Bandwidth(), FormatBytes),
		r.formatNonZero(r.CPU(), FormatPercent), r.shareCell(), string(r.Verdict), r.Mechanism.description(), string(r.Stage),
		joinSources(r.sources()),
	}
}

func (r Row) description() string {
	if r.Note == "" {
		return r.Item
	}
	return r.Item + " (" + r.Note + ")"
}

// isState reports whether the row describes state rather than messages or work.
func (r Row) isState() bool { return len(r.PerSecond.Sources) == 0 }

func (r Row) number() string {
	if r.isState() {
		return FormatNumber(r.Entries.Value)
	}
	return perSecond(r.PerSecond)
}

func perSecond(q Quantity) string {
	if !q.Known() {
		return unknownText
	}
	return FormatNumber(q.Value) + "/s"
}

func (r Row) each() string {
	if r.isState() {
		return FormatBytes(r.EntryBytes.Value)
	}
	var parts []string
	if r.MessageBytes.Value != 0 {
		parts = append(parts, FormatBytes(r.MessageBytes.Value))
	}
	if r.CPUEach.Value != 0 {
		parts = append(parts, FormatSeconds(r.CPUEach.Value))
	}
	return strings.Join(parts, ", ")
}

// formatNonZero formats a quantity; empty if it is 0.
func (r Row) formatNonZero(q Quantity, format func(float64) string) string {
	if q.Value == 0 {
		return ""
	}
	return format(q.Value)
}

func (r Row) shareCell() string {
	if r.Verdict == VerdictNone {
		return ""
	}
	return formatShare(r.Worst)
}

func formatShare(s Share) string {
	if s.Resource == "" || !s.Ratio.Known() {
		return formatTimes(s)
	}
	return formatTimes(s) + " " + string(s.Resource)
}

func (m Mechanism) description() string {
	if m.File == "" {
		return m.Name
	}
	return fmt.Sprintf("%s, `%s`", m.Name, m.File)
}

func (r Report) totalsTable() Table {
	t := Table{ID: "totals", Title: "Control in all, a node", Header: []string{"role", "plan", "resource", "amount", "allowance", "share", "verdict"}}
	for _, row := range r.Totals {
		format := resourceFormat(row.Resource)
		t.Rows = append(t.Rows, []string{
			string(row.Role), string(row.Plan), string(row.Resource), format(row.Amount.Value),
			format(row.Allowance.Value), formatTimes(row.Share), string(row.Verdict),
		})
	}
	return t
}

func resourceFormat(res Resource) func(float64) string {
	switch res {
	case ResourceMemory:
		return FormatBytes
	case ResourceBandwidth:
		return func(v float64) string { return FormatBytes(v) + "/s" }
	default:
		return FormatPercent
	}
}

func (r Report) serviceTable() Table {
	t := Table{ID: "service", Title: "Configuration service, and a change's way", Header: []string{"what", "plan", "value", "limit", "share", "verdict", "note", "from"}}
	for _, row := range r.Service {
		t.Rows = append(t.Rows, []string{
			row.Item, string(row.Plan), withUnit(row.Value.Value, row.Unit), withUnit(row.Limit.Value, row.Unit),
			formatTimes(row.Share), string(row.Verdict), row.Note, joinSources(row.Value.Sources),
		})
	}
	return t
}

func (r Report) overTable() Table {
	t := Table{ID: "over", Title: "Over its allowance", Header: []string{"what", "plan", "share", "what would mend it", "its cost", "share then"}}
	for _, row := range r.Over {
		after := formatTimes(row.After)
		if !row.After.Ratio.Known() {
			after = "not worked out"
		}
		t.Rows = append(t.Rows, []string{row.Name, string(row.Plan), formatShare(row.Share), row.Remedy, row.Cost, after})
	}
	return t
}

func (r Report) failureTable() Table {
	t := Table{ID: "failures", Title: "Failure days at the peak: what is lost", Header: []string{
		"event", "routers lost", "agents lost", "capacity kept", "streams broken, most", "as a time of all requests", "refused, none spare", "of which tier",
	}}
	for _, row := range r.Failures {
		if row.Plan != PlanToday {
			continue
		}
		t.Rows = append(t.Rows, []string{
			row.Event, FormatNumber(row.LostRouters.Value), FormatNumber(row.LostAgents.Value), FormatPercent(row.CapacityKept.Value),
			FormatNumber(row.BrokenStreams.Value), FormatSeconds(row.Repeats.Value), perSecond(row.Refused), row.Tier,
		})
	}
	return t
}

func (r Report) reconnectTable() Table {
	t := Table{ID: "reconnects", Title: "Failure days: connections made anew when it returns", Header: []string{
		"event", "plan", "handshakes, fleet", "most at one process", "seconds of a core there", "recovery at the control allowance", "service's whole rate taken for",
	}}
	for _, row := range r.Failures {
		t.Rows = append(t.Rows, []string{
			row.Event, string(row.Plan), FormatNumber(row.Handshakes.Value), FormatNumber(row.MaxHandshakes.Value),
			FormatSeconds(row.MaxHandshakeCPU.Value), FormatSeconds(row.Recovery.Value), FormatSeconds(row.ReadSeconds.Value),
		})
	}
	return t
}

func (r Report) breakTable() Table {
	t := Table{ID: "breaks", Title: "What breaks first as the fleet grows", Header: []string{"what", "plan", "breaks at", "share now", "at twice", "at ten times"}}
	for _, row := range r.Breaks {
		t.Rows = append(t.Rows, []string{
			row.Name, string(row.Plan), row.breaksAt(), formatShare(row.Now), formatTimes(row.AtTwice), formatTimes(row.AtTen),
		})
	}
	return t
}

func (r BreakRow) breaksAt() string {
	switch at := r.At.Value; {
	case at <= minFactor*roundingSlack:
		return "over at any size"
	case at < 1:
		return fmt.Sprintf("over already, from %s× the size", FormatNumber(at))
	default:
		return FormatNumber(at) + "× the size"
	}
}

func (r Report) slopesTable() Table {
	t := Table{ID: "slopes", Title: "Slopes as measured", Header: []string{"slope", "what", "value", "per", "spread", "at size 0", "sizes", "residual", "in place of the real code", "run"}}
	for i, run := range r.Slopes.Runs {
		for _, s := range run.Slopes {
			t.Rows = append(t.Rows, s.cells(i+1))
		}
	}
	return t
}

func (s Slope) cells(run int) []string {
	sizes := make([]string, len(s.Sizes))
	for i, n := range s.Sizes {
		sizes[i] = FormatCount(n)
	}
	spread := fmt.Sprintf("%s to %s in %d", FormatSlope(s, s.Spread.Min), FormatSlope(s, s.Spread.Max), s.Spread.Runs)
	return []string{
		string(s.ID), s.Title, FormatSlope(s, s.Value), s.Per, spread, FormatSlope(s, s.Intercept),
		strings.Join(sizes, " "), FormatPercent(s.Residual), s.Substitute, fmt.Sprint(run),
	}
}

func (r Report) runsTable() Table {
	t := Table{ID: "runs", Title: "Where and when the slopes were measured", Header: []string{"run", "date", "cores", "memory", "Go", "platform", "command"}}
	for i, run := range r.Slopes.Runs {
		t.Rows = append(t.Rows, []string{
			fmt.Sprint(i + 1), run.Date, fmt.Sprint(run.Machine.Cores), FormatBytes(float64(run.Machine.MemoryBytes)),
			run.Machine.Go, run.Machine.Platform, "`" + run.Command + "`",
		})
	}
	return t
}
