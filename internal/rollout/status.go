package rollout

import (
	"slices"
	"time"
)

// StatusRequest asks a process for its status and what it knows of its failure
// domain.
type StatusRequest struct{}

// NeverReported is the age of a process of which no report arrived.
const NeverReported = -1

// ProcessStatus is the last known status of one process.
type ProcessStatus struct {
	ID            ID     `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// Version is 0 and Digest is empty if the process has no version or never
	// reported. Digest is a prefix of the content's digest.
	Version uint64 `json:"version"`
	Digest  string `json:"digest,omitempty"`
	State   State  `json:"state,omitempty"`
	// ServiceUnusable says that the process reads the configuration service and
	// gets no answer or an outdated one.
	ServiceUnusable bool `json:"no_service,omitempty"`
	// AgeMillis is the age of the process's report, or NeverReported.
	AgeMillis int64 `json:"age_ms"`
}

// Contact is a process that can be queried about another failure domain.
type Contact struct {
	ID            ID     `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
}

// Status is the reply to a StatusRequest.
type Status struct {
	Self ProcessStatus `json:"self"`
	// Reader says whether the process reads the configuration service now.
	Reader bool `json:"reader"`
	// Readiness says whether the process may serve and is confirmed.
	Readiness Readiness `json:"readiness"`
	// Refused lists the versions that it refused recently.
	Refused []Refusal `json:"refused,omitempty"`
	// Processes lists the processes of its failure domain, itself first.
	Processes []ProcessStatus `json:"processes"`
	// Contacts lists some processes of each other failure domain.
	Contacts []Contact `json:"contacts,omitempty"`
}

// contactsPerDomain is how many processes of each other failure domain are
// listed.
const contactsPerDomain = 3

// Status returns the status of this process and what it knows of its failure
// domain.
func (n *Node) Status(now time.Time) Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := Status{
		Reader: n.reading, Readiness: n.core.Readiness(now), Refused: n.refused.recent(now),
		Processes: n.core.DomainProcesses(now), Contacts: n.core.Contacts(now),
	}
	out.Self = out.Processes[0]
	return out
}

// DomainProcesses lists this process, then the others of its failure domain by
// ID.
func (c *Core) DomainProcesses(now time.Time) []ProcessStatus {
	domain := c.membership.self.FailureDomain
	out := []ProcessStatus{statusOf(c.SelfReport(now), domain)}
	for _, m := range c.membership.members {
		if m.FailureDomain != domain || m.ID() == c.membership.self.ID() {
			continue
		}
		one, ok := c.reports.withAge(now, m.ID())
		if !ok {
			out = append(out, ProcessStatus{ID: m.ID(), FailureDomain: domain, AgeMillis: NeverReported})
			continue
		}
		out = append(out, statusOf(one, domain))
	}
	return out
}

func statusOf(r PeerReport, domain string) ProcessStatus {
	return ProcessStatus{ID: r.ID, FailureDomain: domain, Version: r.Version, Digest: r.DigestPrefix, State: r.State, ServiceUnusable: r.ServiceUnusable, AgeMillis: r.AgeMillis}
}

// Contacts lists some processes of each other failure domain, those that are
// usable as partners now first.
func (c *Core) Contacts(now time.Time) []Contact {
	ranking := slices.Clone(c.membership.remote)
	slices.SortStableFunc(ranking, func(a, b Member) int {
		return int(boolToFloat(c.partners.usable(now, b)) - boolToFloat(c.partners.usable(now, a)))
	})
	var out []Contact
	count := make(map[string]int)
	for _, m := range ranking {
		if count[m.FailureDomain] < contactsPerDomain {
			count[m.FailureDomain]++
			out = append(out, Contact{ID: m.ID(), FailureDomain: m.FailureDomain, Address: m.Address})
		}
	}
	return out
}
