package rollout

import "time"

// Readiness says whether a process may serve with its active version.
type Readiness struct {
	Ready bool
	// Confirmed says that enough peers reported, and none proved a higher
	// version than the active one.
	Confirmed bool
	// Peers and Domains count the peers whose reports were trusted so far, and
	// their failure domains; WantPeers and WantDomains are the numbers needed.
	Peers, Domains         int
	WantPeers, WantDomains int
}

// startupReport is a peer's report about itself before this process was
// confirmed.
type startupReport struct {
	domain  string
	state   State
	version uint64
}

// startup tracks a process from its start until it is confirmed.
type startup struct {
	startedAt          time.Time
	confirmed          bool
	confirmedReadiness Readiness // at the time of the confirmation
	reports            map[ID]startupReport
}

func (s *startup) record(m Member, report PeerReport) {
	if s.confirmed {
		return
	}
	s.reports[m.ID()] = startupReport{domain: m.FailureDomain, state: report.State, version: report.Version}
}

// evaluate counts the peers whose reports can be trusted. A peer that reports a
// version higher than the active one doesn't count, but doesn't block the
// process either, as its claim may be false.
func (s *startup) evaluate(now time.Time, active Summary, ms *membership, t Tuning) Readiness {
	if s.confirmed {
		out := s.confirmedReadiness
		out.Ready = active.Version > 0
		return out
	}
	processes, domains := ms.countOthers()
	out := Readiness{
		WantPeers:   min(t.ConfirmPeers, processes),
		WantDomains: min(t.ConfirmDomains, domains),
	}
	out.Peers, out.Domains = s.countTrusted(now, active, t)
	if processes > 0 && out.Peers >= out.WantPeers && out.Domains >= out.WantDomains && active.Version > 0 {
		out.Ready, out.Confirmed = true, true
		s.confirmed, s.confirmedReadiness, s.reports = true, out, nil
		return out
	}
	waited := !now.Before(s.startedAt.Add(t.StartWait))
	out.Ready = active.Version > 0 && waited
	return out
}

func (s *startup) countTrusted(now time.Time, active Summary, t Tuning) (peers, domains int) {
	acceptUnconfirmed := !now.Before(s.startedAt.Add(t.StartWait + t.AcceptUnconfirmedAfter))
	seen := make(map[string]bool)
	for _, rep := range s.reports {
		trusted := rep.state == StateConfirmed || rep.state == StateUnconfirmed && acceptUnconfirmed
		if trusted && rep.version <= active.Version {
			peers++
			seen[rep.domain] = true
		}
	}
	return peers, len(seen)
}
