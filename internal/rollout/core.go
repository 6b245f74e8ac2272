package rollout

import (
	"maps"
	"time"
)

// Core decides for one process which partners to keep, whether to read the
// service, which versions to fetch and when the process is ready. Each call
// passes in the time. It isn't safe for concurrent use.
type Core struct {
	tuning     Tuning
	membership *membership
	reports    peerReports
	partners   partners
	transfers  transferState
	startup    startup

	lastReportsSent     map[ID]time.Time // when peer reports were last sent, by peer
	serviceUnusable     bool
	noServiceConfigured bool
	lastTick            time.Time
	runningSince        time.Time // since the start or the last pause
	lastDomainContact   time.Time // last message from a process of the same failure domain
}

// NewCore returns the core of a process without a version and without peers.
func NewCore(self Member, t Tuning, now time.Time) *Core {
	return &Core{
		tuning:          t.withDefaults(),
		membership:      newMembership(self),
		reports:         peerReports{byID: make(map[ID]timedReport)},
		partners:        partners{failed: make(map[ID]failure)},
		transfers:       transferState{ignoredUntil: make(map[ID]time.Time)},
		lastReportsSent: make(map[ID]time.Time),
		startup:         startup{startedAt: now, reports: make(map[ID]startupReport)},
		lastTick:        now, runningSince: now,
	}
}

// SetMembers sets the processes that a bundle lists.
func (c *Core) SetMembers(members []Member) {
	c.membership.update(members)
	listed := func(id ID) bool { _, ok := c.membership.byID[id]; return ok }
	c.reports.retain(listed)
	maps.DeleteFunc(c.lastReportsSent, func(id ID, _ time.Time) bool { return !listed(id) })
	maps.DeleteFunc(c.partners.failed, func(id ID, _ failure) bool { return !listed(id) })
}

// SetActive sets the active version.
func (c *Core) SetActive(s Summary) { c.transfers.active = s }

// ActiveSummary returns the active version.
func (c *Core) ActiveSummary() Summary { return c.transfers.active }

// Tick must be called at least twice a second. A longer gap means that the
// process was paused and its view of its peers is out of date.
func (c *Core) Tick(now time.Time) {
	if now.Sub(c.lastTick) >= c.tuning.PauseThreshold {
		c.runningSince = now
	}
	c.lastTick = now
}

// SelfReport returns the report of this process about itself.
func (c *Core) SelfReport(now time.Time) PeerReport {
	state := StateStarting
	switch r := c.Readiness(now); {
	case r.Confirmed:
		state = StateConfirmed
	case r.Ready:
		state = StateUnconfirmed
	}
	active := c.transfers.active
	return PeerReport{ID: c.membership.self.ID(), Version: active.Version, DigestPrefix: active.DigestPrefix(), State: state, ServiceUnusable: c.serviceUnusable, NoServiceConfigured: c.noServiceConfigured}
}

// RecordReports records a peer's report about itself, under the ID in its
// certificate, and its reports about others.
func (c *Core) RecordReports(now time.Time, peer ID, from PeerReport, others []PeerReport) {
	from.ID, from.AgeMillis = peer, 0
	c.partners.clearFailure(peer)
	m, known := c.membership.byID[peer]
	if !known {
		return
	}
	c.startup.record(m, from)
	if m.FailureDomain != c.membership.self.FailureDomain {
		return
	}
	c.lastDomainContact = now
	c.reports.record(now, from)
	for _, report := range others {
		if other, ok := c.membership.byID[report.ID]; ok && other.FailureDomain == c.membership.self.FailureDomain && report.ID != c.membership.self.ID() {
			c.reports.record(now, report)
		}
	}
}

// PartnerFailed records that a partner didn't answer.
func (c *Core) PartnerFailed(now time.Time, peer ID) { c.partners.recordFailure(now, peer, c.tuning) }

// Partners returns the partners to keep links to now.
func (c *Core) Partners(now time.Time) []Member {
	if c.tuning.AllProcessesRead {
		return nil
	}
	return c.partners.choose(now, c.membership, c.tuning)
}

// ReportsFor returns the peer reports to send along with a message to a peer.
// Peers in other failure domains don't need them and get none. A peer gets them
// at most once in half a heartbeat, as messages can be far more frequent.
func (c *Core) ReportsFor(now time.Time, peer ID) []PeerReport {
	if m, ok := c.membership.byID[peer]; !ok || m.FailureDomain != c.membership.self.FailureDomain {
		return nil
	}
	if now.Sub(c.lastReportsSent[peer]) < c.tuning.Heartbeat/2 {
		return nil
	}
	c.lastReportsSent[peer] = now
	first := c.tuning.Readers + c.tuning.SpareReaders + readerCandidates
	return c.reports.selectFor(now, c.membership.readerRanking, first, peer)
}

// EvaluateOffer decides what to do about a version that a peer says it has.
func (c *Core) EvaluateOffer(now time.Time, from ID, offered Summary) Decision {
	return c.transfers.evaluate(now, from, offered, c.tuning)
}

// BeginTransfer records that a transfer of a version to this process has
// started.
func (c *Core) BeginTransfer(now time.Time, version uint64) { c.transfers.begin(now, version) }

// EndTransfer records that the transfer has ended, and whether the peer proved
// its offer.
func (c *Core) EndTransfer(now time.Time, from ID, version uint64, proved bool) {
	c.transfers.end(now, from, version, proved, c.tuning)
}

// SetServiceUsable records whether the last read of the service gave a usable
// answer.
func (c *Core) SetServiceUsable(ok bool) { c.serviceUnusable = !ok }

// SetNoServiceConfigured records that the settings name no configuration
// service.
func (c *Core) SetNoServiceConfigured() { c.noServiceConfigured = true }

// ShouldRead says whether this process reads the service now.
func (c *Core) ShouldRead(now time.Time) bool {
	if c.noServiceConfigured {
		return false
	}
	if c.tuning.AllProcessesRead || c.transfers.active.Version == 0 {
		return true // without an active version no other process is known
	}
	if !c.viewIsCurrent(now) {
		return false
	}
	useful, alive := 0, 0
	for _, m := range c.membership.readerRanking {
		if m.ID() == c.membership.self.ID() {
			return useful < c.tuning.Readers && alive < c.tuning.Readers+c.tuning.SpareReaders
		}
		known, ok := c.reports.byID[m.ID()]
		if !ok || known.report.NoServiceConfigured || now.Sub(known.reportedAt) > c.tuning.PeerTimeout {
			continue
		}
		alive++
		if !known.report.ServiceUnusable {
			useful++
		}
	}
	return false
}

// viewIsCurrent says whether the process may act on its peer reports. After a
// start or a pause this needs a message from a process of the same failure
// domain, or enough time in which one would have arrived. The time is shorter
// at the start: the process may be alone, and must then have read the service
// before it serves.
func (c *Core) viewIsCurrent(now time.Time) bool {
	grace := c.tuning.PeerTimeout
	if !c.startup.confirmed {
		grace = c.tuning.StartWait / isolatedReadDivisor
	}
	return c.lastDomainContact.After(c.runningSince) || now.Sub(c.runningSince) >= grace || len(c.membership.readerRanking) == 1
}

// isolatedReadDivisor divides StartWait into the time after which a process
// that has started, and received no message, reads the service itself.
const isolatedReadDivisor = 4

// Readiness says whether the process may serve with the active version.
func (c *Core) Readiness(now time.Time) Readiness {
	return c.startup.evaluate(now, c.transfers.active, c.membership, c.tuning)
}
