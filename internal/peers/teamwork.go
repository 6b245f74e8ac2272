package peers

import (
	"maps"
	"slices"
	"sync"
	"time"

	"coveferry/internal/fairshare"
	"coveferry/internal/route"
)

// teamWorkInterval is how long a sum of the work of teams is used. A reader answers some 130 polls a
// second, and adding up the reports for each would take a tenth of a core.
const teamWorkInterval = 100 * time.Millisecond

const (
	// teamWorkPolls is the number of polls after which the work of teams is sent again: its half-life is a
	// second, and the message is larger than all others of a poll.
	teamWorkPolls = 2
	// Bounds of the bytes of the work of teams in polls, replies and hellos. 24 teams at 3 ranks fit.
	maxPollWorkBytes  = 1024
	maxReplyWorkBytes = 2048
	maxHelloWorkBytes = 1024
)

// sendTimes limits how often the work of teams is sent to a router.
type sendTimes map[string]time.Time

// due reports whether the work is to be sent to a router, and if so records that it is. It is due half a poll
// early, since polls aren't exactly an interval apart.
func (t *sendTimes) due(to string, now time.Time, pollInterval time.Duration) bool {
	if now.Sub((*t)[to]) < teamWorkPolls*pollInterval-pollInterval/2 {
		return false
	}
	if *t == nil {
		*t = make(sendTimes)
	}
	maps.DeleteFunc(*t, func(_ string, at time.Time) bool { return now.Sub(at) > demandTTL })
	(*t)[to] = now
	return true
}

// receivedWork is the work of teams at one or several routers as another router reported it.
type receivedWork struct {
	work fairshare.Sums
	at   time.Time
}

// teamWorkTable holds the work of teams at other routers. Each router reports its own work to the reader
// that it polls and nowhere else. A reader adds up the work of itself and the routers that poll it. The
// first reader of a failure domain adds the sums of the domain's other readers, exchanges the total
// with the first readers of other domains, which know no others, and reports the rest of the fleet to the
// other readers of its domain. So each router counts once, whatever the number of readers, and no sum
// returns to where it came from. It is safe for concurrent use.
type teamWorkTable struct {
	mu  sync.Mutex
	own func(now time.Time) fairshare.Sums // nil until ShareTeamWork is called
	// latestOwn is the result of own as of ownAt.
	latestOwn fairshare.Sums
	ownAt     time.Time
	// polled holds the reports of routers that poll this one, sameDomain those of the other readers of its
	// domain, and otherDomains those of the first readers of other domains.
	polled, sameDomain, otherDomains map[string]receivedWork
	// rest is the work at the routers that the other readers cover, as the domain's first reader reported
	// it, and first reports that this router is that reader.
	rest  receivedWork
	first bool
	// readerTTL is how long a report of another reader counts.
	readerTTL time.Duration
	// reply is the work at all other routers as a reader last reported it.
	reply receivedWork
	// pollsSent, repliesSent and hellosSent are when work was last sent, by router.
	pollsSent, repliesSent, hellosSent sendTimes
	// total is the sum of the reports as of totalAt, and byRouter the reports in it.
	total    fairshare.Total
	byRouter map[string]fairshare.Sums
	totalAt  time.Time
}

// ShareTeamWork sets the function whose result this router reports as the work of teams.
func (s *Source) ShareTeamWork(own func(now time.Time) fairshare.Sums) {
	s.work.mu.Lock()
	defer s.work.mu.Unlock()
	s.work.own = own
}

// PeerTeamWork returns the work of teams at all other routers, based on their recent reports, and how
// many other routers are known. If this router sees at most half of the fleet, it may be partitioned, so
// those that are no longer seen count too. The work is not scaled to routers that report nothing: a
// team may reach only some of the routers.
func (s *Source) PeerTeamWork() (work fairshare.Sums, known int) {
	now := time.Now()
	known = s.members.count(now)
	if total := s.PeerCount(); 2*(known+1) <= total+1 {
		known = total
	}
	s.work.mu.Lock()
	defer s.work.mu.Unlock()
	if now.Sub(s.work.reply.at) < demandTTL && !s.work.receivesReports(now) {
		return s.work.reply.work, known
	}
	return s.work.others(now, ""), known
}

// receivesReports reports whether other routers report to this one as to a reader. w.mu is held.
func (w *teamWorkTable) receivesReports(now time.Time) bool {
	w.expire(now)
	return len(w.polled)+len(w.sameDomain)+len(w.otherDomains) > 0
}

// ownWork returns the work of teams at this router.
func (w *teamWorkTable) ownWork(now time.Time) fairshare.Sums {
	w.mu.Lock()
	own, latest := w.own, w.latestOwn
	due := now.Sub(w.ownAt) >= teamWorkInterval
	w.mu.Unlock()
	if own == nil || !due {
		return latest
	}
	latest = own(now) // may call PeerTeamWork
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latestOwn, w.ownAt = latest, now
	return latest
}

// recordPollWork records the work that a router reported with its poll. A poll without work leaves the
// previous report, which expires.
func (s *Source) recordPollWork(vm string, work fairshare.Sums, now time.Time) {
	s.work.record(&s.work.polled, vm, work.Checked(1, s.hasService), now)
}

// maxRouters returns the number of routers that a report can cover.
func (s *Source) maxRouters(now time.Time) int { return s.members.count(now) + 1 }

// hasService reports whether this router has a service. One without a configuration accepts all.
func (s *Source) hasService(service string) bool {
	c := s.config()
	return c == nil || len(c.Services) == 0 || slices.ContainsFunc(c.Services, func(o route.Service) bool { return o.Name == service })
}

// recordHelloWork records the work that another reader reported.
func (s *Source) recordHelloWork(req *helloRequest, now time.Time) {
	w := &s.work
	if len(req.TeamWork)+len(req.RestTeamWork) == 0 {
		return
	}
	work, rest := req.TeamWork.Checked(s.maxRouters(now), s.hasService), req.RestTeamWork.Checked(s.maxRouters(now), s.hasService)
	if req.From.FailureDomain != s.cfg.Self.FailureDomain {
		w.record(&w.otherDomains, req.From.VM, work, now)
		return
	}
	w.record(&w.sameDomain, req.From.VM, work, now)
	if len(rest) > 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.rest = receivedWork{work: rest, at: now}
	}
}

func (w *teamWorkTable) record(reports *map[string]receivedWork, vm string, work fairshare.Sums, now time.Time) {
	if len(work) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if *reports == nil {
		*reports = make(map[string]receivedWork)
	}
	(*reports)[vm] = receivedWork{work: work, at: now}
}

// recordReplyWork records the work at all other routers as a reader reported it.
func (s *Source) recordReplyWork(work fairshare.Sums, now time.Time) {
	if len(work) == 0 {
		return
	}
	work = work.Checked(s.maxRouters(now), s.hasService)
	s.work.mu.Lock()
	defer s.work.mu.Unlock()
	s.work.reply = receivedWork{work: work, at: now}
}

// others returns the work at all other routers but one. w.mu is held.
func (w *teamWorkTable) others(now time.Time, except string) fairshare.Sums {
	if now.Sub(w.totalAt) >= teamWorkInterval {
		w.expire(now)
		w.total, w.totalAt, w.byRouter = fairshare.Total{}, now, make(map[string]fairshare.Sums)
		maps.Copy(w.byRouter, worksOf(w.polled))
		if !w.first && now.Sub(w.rest.at) <= demandTTL {
			w.total.Add(w.rest.work)
		} else {
			// A reader polls another one while its own calls to the origin fail. Its report as a reader counts.
			maps.Copy(w.byRouter, worksOf(w.sameDomain))
			maps.Copy(w.byRouter, worksOf(w.otherDomains))
		}
		for _, work := range w.byRouter {
			w.total.Add(work)
		}
	}
	return w.total.Without(w.byRouter[except])
}

func worksOf(reports map[string]receivedWork) map[string]fairshare.Sums {
	works := make(map[string]fairshare.Sums, len(reports))
	for vm, r := range reports {
		works[vm] = r.work
	}
	return works
}

// pollWork returns the work that this router reports with a poll; nil if it did so with the last one.
func (s *Source) pollWork(to Member, now time.Time) fairshare.Sums {
	own := s.work.ownWork(now)
	s.work.mu.Lock()
	defer s.work.mu.Unlock()
	if len(own) == 0 || !s.work.pollsSent.due(to.VM, now, s.cfg.PollInterval) {
		return nil
	}
	return own.Trim(maxPollWorkBytes)
}

// replyWork returns the work at all routers but the requester for the reply to its poll; nil if the last reply
// had it.
func (s *Source) replyWork(to Member, now time.Time) fairshare.Sums {
	work := s.work.allBut(to.VM, now)
	s.work.mu.Lock()
	defer s.work.mu.Unlock()
	if len(work) == 0 || !s.work.repliesSent.due(to.VM, now, s.cfg.PollInterval) {
		return nil
	}
	return work.TrimTotal(maxReplyWorkBytes)
}

// allBut returns the work at all routers but one.
func (w *teamWorkTable) allBut(vm string, now time.Time) fairshare.Sums {
	own := w.ownWork(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.others(now, vm).Add(own)
}

// ownRouters returns the work of this router and of those that poll it. The first reader of a domain adds
// that of the domain's other readers.
func (w *teamWorkTable) ownRouters(now time.Time) fairshare.Sums {
	own := w.ownWork(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(now)
	works := worksOf(w.polled)
	for vm := range w.otherDomains {
		delete(works, vm)
	}
	if w.first {
		maps.Copy(works, worksOf(w.sameDomain))
	}
	var total fairshare.Total
	total.Add(own)
	for _, work := range works {
		total.Add(work)
	}
	return total.Without(nil)
}

// helloWork returns what this router reports to a reader: the work of its own routers, and the rest of the
// fleet.
func (s *Source) helloWork(to Member, own fairshare.Sums, now time.Time) (work, rest fairshare.Sums) {
	s.work.mu.Lock()
	first := s.work.first
	due := len(own) > 0 && s.work.hellosSent.due(to.VM, now, s.cfg.PollInterval)
	s.work.mu.Unlock()
	if !due {
		return nil, nil
	}
	switch sameDomain := to.FailureDomain == s.cfg.Self.FailureDomain; {
	case first && sameDomain:
		return nil, s.work.allBut(to.VM, now).Trim(maxHelloWorkBytes)
	case first || sameDomain:
		return own.Trim(maxHelloWorkBytes), nil
	}
	return nil, nil
}

// expire drops old reports. w.mu is held.
func (w *teamWorkTable) expire(now time.Time) {
	old := func(ttl time.Duration) func(string, receivedWork) bool {
		return func(_ string, r receivedWork) bool { return now.Sub(r.at) > ttl }
	}
	maps.DeleteFunc(w.polled, old(demandTTL))
	maps.DeleteFunc(w.sameDomain, old(demandTTL))
	maps.DeleteFunc(w.otherDomains, old(max(demandTTL, w.readerTTL)))
}

// setRole sets whether this router is the first reader of its failure domain, and the number of domains, by
// which reports of other readers arrive less often.
func (w *teamWorkTable) setRole(first bool, domains int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.first, w.readerTTL = first, maxMissedDomainReports*domainHelloInterval(domains)
}
