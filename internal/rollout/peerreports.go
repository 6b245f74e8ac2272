package rollout

import (
	"slices"
	"time"

	"coveferry/internal/age"
)

const (
	// otherReportsPerMessage is how many reports of processes ranked below the
	// reader candidates go along with a message, in rotation. The reports of
	// the readers, spare readers and reader candidates always do.
	otherReportsPerMessage = 8
	// readerCandidates is how many processes after the readers and spare
	// readers are always reported, so that every process knows the next
	// readers.
	readerCandidates = 2
)

// timedReport is a report and when the process made it, by the local clock.
type timedReport struct {
	report     PeerReport
	reportedAt time.Time
}

// peerReports holds the latest reports of the processes of one failure domain.
type peerReports struct {
	byID   map[ID]timedReport
	cursor int // position of the rotation
}

// record stores a report unless a newer one is known. A forwarded report only
// grows older, so forwarding can't make an unresponsive process look alive.
func (p *peerReports) record(now time.Time, report PeerReport) {
	at, dated := age.FromMillis(report.AgeMillis).Before(now)
	if old, ok := p.byID[report.ID]; !dated || ok && !at.After(old.reportedAt) {
		return
	}
	report.AgeMillis = 0
	p.byID[report.ID] = timedReport{report: report, reportedAt: at}
}

// retain removes processes that are no longer listed.
func (p *peerReports) retain(listed func(ID) bool) {
	for id := range p.byID {
		if !listed(id) {
			delete(p.byID, id)
		}
	}
}

// withAge returns a report with its age at the given time.
func (p *peerReports) withAge(now time.Time, id ID) (PeerReport, bool) {
	one, ok := p.byID[id]
	if !ok {
		return PeerReport{}, false
	}
	out := one.report
	out.AgeMillis = age.MillisSince(one.reportedAt, now)
	return out, true
}

// selectFor returns the reports to send along with a message to a process of
// the same failure domain: those of the first processes of the ranking, and
// some of the others in rotation.
func (p *peerReports) selectFor(now time.Time, ranking []Member, first int, except ID) []PeerReport {
	first = min(first, len(ranking))
	picked := slices.Clone(ranking[:first])
	rest := ranking[first:]
	for range min(otherReportsPerMessage, len(rest)) {
		p.cursor = (p.cursor + 1) % len(rest)
		picked = append(picked, rest[p.cursor])
	}
	var out []PeerReport
	for _, m := range picked {
		if one, ok := p.withAge(now, m.ID()); ok && m.ID() != except {
			out = append(out, one)
		}
	}
	return out
}
