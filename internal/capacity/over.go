package capacity

// OverRow is a usage over its allowance, with a remedy and the remedy's cost.
type OverRow struct {
	Name   string `json:"name"`
	Plan   Plan   `json:"plan"`
	Share  Share  `json:"share"`
	Remedy string `json:"mend"`
	Cost   string `json:"cost"`
	// After is the share with the remedy, if the model includes it; otherwise it
	// is unknown.
	After Share `json:"after"`
}

// remedy is a change that would bring a row within its allowance.
type remedy struct {
	action string
	cost   string
	// replacement is the row or service row that replaces it.
	replacement RowID
}

var remedies = map[RowID]remedy{
	"router.pool.mesh":       subsetRemedy("router.pool.subset"),
	"router.conns.mesh":      subsetRemedy("router.conns.subset"),
	"router.choose.mesh":     subsetRemedy("router.choose.subset"),
	"agent.conns.mesh":       subsetRemedy("agent.conns.subset"),
	"router.bundle.whole":    sectionRemedy("router.bundle.change"),
	"agent.bundle.whole":     sectionRemedy("agent.bundle.change"),
	"router.bundle.change":   changeRemedy,
	"agent.bundle.change":    changeRemedy,
	"router.snapshot.whole":  sectionRemedy("router.snapshot.joined"),
	"agent.snapshot.whole":   sectionRemedy("agent.snapshot.joined"),
	"router.snapshot.joined": sharedRemedy,
	"agent.snapshot.joined":  sharedRemedy,
	"router.snapshot.next":   sharedRemedy,
	"agent.snapshot.next":    sharedRemedy,
	"reader.watch": {
		action: "fewer readers, each for a longer time",
		cost:   "a change waits longer where the reader of a failure domain falls silent",
	},
	"router.copy":      copyRemedy,
	"agent.copy":       copyRemedy,
	"router.gc.today":  collectorRemedy,
	"router.gc.design": collectorRemedy,
	"agent.gc.today":   collectorRemedy,
	"agent.gc.design":  collectorRemedy,
	"agent.keys.conns": {
		action: "connections to peers closed once they agree, and no more than a few open at once",
		cost:   "a list takes longer to be agreed on, and keys wait for it",
	},
	"router.credits.ask":     creditRemedy,
	"router.credits.conns":   creditRemedy,
	"router.credits.permits": creditRemedy,
	"router.credits.grant":   creditRemedy,
	"router.pings.mesh":      subsetRemedy("router.pings.subset"),
	"agent.pings.mesh":       subsetRemedy("agent.pings.subset"),
	"router.subset.model": {
		action: "only the failure domain of the changed endpoint matched anew, the others kept",
		cost:   "the matching of each failure domain is held in memory",
	},
	"router.stream-report": {
		action: "a longer period, or a compact encoding of the report",
		cost:   "the router's view of load is older; a codec that people can't read",
	},
	"router.report": {
		action: "a compact encoding of the report, and none in the header of a short answer",
		cost:   "a codec that people can't read",
	},
	"service.reads.all":   readersRemedy("service.reads.few"),
	"service.burst.all":   readersRemedy("service.burst.few"),
	"service.force.all":   readersRemedy("service.force.links"),
	"service.value.whole": sectionRemedy("service.value.section"),
	"service.force.links": {action: "more partners and smaller sections", cost: "more exchanges and a longer manifest"},
}

var (
	changeRemedy = remedy{
		action: "manifests sent as a difference from the one before",
		cost:   "processor time to pack and unpack them, to be measured",
	}
	sharedRemedy = remedy{
		action: "snapshots that share what did not change, index included",
		cost:   "an index of several levels; one more step in each look-up",
	}
	creditRemedy = remedy{
		action: "credits and permits only for limits that are nearly reached, a longer period, and all limits for one home in one message",
		cost:   "a team that jumps from little use to its limit is held back or let through for a period; the bound on over-admission grows",
	}
	copyRemedy = remedy{
		action: "sections kept compressed, or only by the readers",
		cost:   "processor time to expand them; the others can't help a partner that starts",
	}
	collectorRemedy = remedy{
		action: "a memory limit and a lower pace for the collector",
		cost:   "more processor time for collections, to be measured",
	}
)

func subsetRemedy(next RowID) remedy {
	return remedy{
		action:      mechSubset.Name,
		cost:        "fewer endpoints to choose from, and a spread of load among endpoints to be measured",
		replacement: next,
	}
}

func sectionRemedy(next RowID) remedy {
	return remedy{
		action:      mechSections.Name,
		cost:        "a manifest at each change; sections that are checked together before they are in force",
		replacement: next,
	}
}

func readersRemedy(next RowID) remedy {
	return remedy{
		action:      mechReaders.Name + ", " + mechLinks.Name,
		cost:        "a change takes several steps between peers; readers that fall silent must be replaced",
		replacement: next,
	}
}

// over returns the rows, service rows and totals over their allowance.
func (m *model) over(rows []Row, totals []Total, service []ServiceRow) []OverRow {
	after := sharesByID(rows, service)
	var out []OverRow
	for _, r := range rows {
		if r.Verdict == VerdictOver {
			out = append(out, overRow(r.ID, string(r.Role)+": "+r.Item, planOf(r.Stage), r.Worst, after))
		}
	}
	for _, s := range service {
		if s.Verdict == VerdictOver {
			out = append(out, overRow(s.ID, s.Item, s.Plan, s.Share, after))
		}
	}
	return append(out, overTotals(totals)...)
}

func overRow(id RowID, name string, plan Plan, share Share, after map[RowID]Share) OverRow {
	r := remedies[id]
	return OverRow{Name: name, Plan: plan, Share: share, Remedy: r.action, Cost: r.cost, After: shareByID(after, r.replacement)}
}

// overTotals returns the totals over their allowance. Their remedy is that of
// their rows.
func overTotals(totals []Total) []OverRow {
	var out []OverRow
	for _, t := range totals {
		if t.Verdict != VerdictOver {
			continue
		}
		row := OverRow{
			Name: "total: " + string(t.Role), Plan: t.Plan, Share: t.Share, After: Share{Ratio: unknown()},
			Remedy: "what mends its largest rows", Cost: "as theirs",
		}
		switch t.Plan {
		case PlanToday:
			row.After = shareUnderPlan(totals, t, PlanDesign)
		case PlanDesign:
			row.After = shareUnderPlan(totals, t, PlanNoCredits)
		}
		out = append(out, row)
	}
	return out
}

// shareUnderPlan returns the share of the same total under another plan.
func shareUnderPlan(totals []Total, of Total, plan Plan) Share {
	for _, t := range totals {
		if t.Role == of.Role && t.Resource == of.Resource && t.Plan == plan {
			return t.Share
		}
	}
	return Share{Ratio: unknown()}
}

func planOf(s Stage) Plan {
	switch s {
	case StageReplaced:
		return PlanToday
	case StageDesigned, StageOff:
		return PlanDesign
	default:
		return PlanBoth
	}
}

func sharesByID(rows []Row, service []ServiceRow) map[RowID]Share {
	out := make(map[RowID]Share, len(rows)+len(service))
	for _, r := range rows {
		out[r.ID] = r.Worst
	}
	for _, s := range service {
		out[s.ID] = s.Share
	}
	return out
}

func shareByID(shares map[RowID]Share, id RowID) Share {
	if s, ok := shares[id]; ok {
		return s
	}
	return Share{Ratio: unknown()}
}
