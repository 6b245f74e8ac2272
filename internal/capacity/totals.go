package capacity

import (
	"math"
	"slices"
)

// Total is the usage of one resource by a role's control plane under one plan.
type Total struct {
	Role      Role     `json:"role"`
	Plan      Plan     `json:"plan"`
	Resource  Resource `json:"resource"`
	Amount    Quantity `json:"amount"`
	Allowance Quantity `json:"allowance"`
	Share     Share    `json:"share"`
	Verdict   Verdict  `json:"verdict"`
}

// totals sums up the control rows of each role that has an allowance. A reader is
// also a router or an agent; its total includes the agent's rows.
func (m *model) totals(rows []Row) []Total {
	var out []Total
	for _, role := range []Role{RoleRouter, RoleAgent, RoleReader} {
		for _, plan := range Plans() {
			if role == RoleReader && plan == PlanToday {
				continue // no process reads the service today
			}
			for _, res := range Resources() {
				out = append(out, m.total(rows, role, plan, res))
			}
		}
	}
	for _, res := range Resources() {
		out = append(out, m.total(rows, RoleRouter, PlanNoCredits, res))
	}
	return out
}

func (m *model) total(rows []Row, role Role, plan Plan, res Resource) Total {
	roles := []Role{role}
	if role == RoleReader {
		roles = append(roles, RoleAgent)
	}
	t := Total{Role: role, Plan: plan, Resource: res, Allowance: m.allowance.Of(res)}
	for _, r := range rows {
		if slices.Contains(roles, r.Role) && r.Plane == PlaneControl && r.inPlan(plan) {
			t.Amount = t.Amount.Plus(r.Amount(res))
		}
	}
	if plan == PlanNoCredits && res == ResourceMemory {
		t.Amount = liveMemory(rows, role, plan).Times(m.slope(GCHeadroom))
	}
	t.Share = Share{res, t.Amount.Per(t.Allowance)}
	t.Verdict = t.Share.Verdict()
	return t
}

// ServiceRow compares a load of the configuration service, or the propagation of
// a change to every process, with its limit.
type ServiceRow struct {
	ID      RowID    `json:"id"`
	Plan    Plan     `json:"plan"`
	Item    string   `json:"item"`
	Value   Quantity `json:"value"`
	Limit   Quantity `json:"limit"`
	Unit    string   `json:"unit"`
	Share   Share    `json:"share"`
	Verdict Verdict  `json:"verdict"`
	Note    string   `json:"note,omitempty"`
}

// The calls of a reader for one change: the watch, which returns the value and is
// renewed, and with sections one additional read.
const (
	readsPerChangeWhole    = 1
	readsPerChangeSections = 2
)

func (m *model) service() []ServiceRow {
	l, f := m.loads, m.figures
	wholeReads := l.readersMesh.Scale(readsPerChangeWhole)
	sectionReads := l.readersDesign.Scale(readsPerChangeSections)
	rows := []ServiceRow{
		{ID: "service.reads.all", Plan: PlanToday, Item: "calls at the mean rate of changes, every process watching",
			Value: wholeReads.Times(l.changes), Limit: f.serviceReads, Unit: "calls/s", Note: "no process reads the service yet; this is what each doing so would take"},
		{ID: "service.burst.all", Plan: PlanToday, Item: "calls at one change a second, every process watching",
			Value: wholeReads, Limit: f.serviceReads, Unit: "calls/s", Note: "changes come in bursts; the letter gives only the sum of a day"},
		{ID: "service.value.whole", Plan: PlanToday, Item: "whole bundle as one value",
			Value: l.bundle, Limit: f.serviceValue, Unit: "B"},
		{ID: "service.force.all", Plan: PlanToday, Item: "time until every process has read one change",
			Value: wholeReads.Per(f.serviceReads), Limit: f.inForce, Unit: "s", Note: "the service's rate alone; network and retries come on top"},
		{ID: "service.reads.few", Plan: PlanDesign, Item: "calls at the mean rate of changes, few readers",
			Value: sectionReads.Times(l.changes), Limit: f.serviceReads, Unit: "calls/s"},
		{ID: "service.burst.few", Plan: PlanDesign, Item: "calls at one change a second, few readers",
			Value: sectionReads, Limit: f.serviceReads, Unit: "calls/s"},
		{ID: "service.value.section", Plan: PlanDesign, Item: "manifest with one changed section",
			Value: l.change, Limit: f.serviceValue, Unit: "B"},
		{ID: "service.force.links", Plan: PlanDesign, Item: "processor time on the way to the last process",
			Value: m.propagationSeconds(), Limit: f.inForce, Unit: "s", Note: "no network time: the letter gives no round-trip times at this size"},
	}
	for i := range rows {
		rows[i].Share = Share{Ratio: rows[i].Value.Per(rows[i].Limit)}
		rows[i].Verdict = rows[i].Share.Verdict()
	}
	return rows
}

// propagationSeconds returns the CPU time on the path of one change from the
// readers to the last process. At each hop a process applies the change and
// forwards it on all its links except the one that it arrived on.
func (m *model) propagationSeconds() Quantity {
	onward := m.settings.partners.Scale(2).Offset(-1)
	offer := m.callCPU(m.settings.offerBytes)
	step := m.loads.applyChange.Plus(onward.Times(offer.Plus(m.callCPU(m.loads.change))))
	steps := m.loads.processes.Per(m.loads.readersDesign).apply(math.Log).Per(onward.apply(math.Log))
	return steps.apply(math.Ceil).Offset(1).Times(step)
}
