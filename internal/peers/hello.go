package peers

import (
	"context"
	"sync"
	"time"

	"coveferry/internal/clock"
	"coveferry/internal/control"
	"coveferry/internal/fairshare"
)

// helloInterval is the time between two hellos.
const helloInterval = time.Second

// Run announces this router to others until ctx ends, and applies the failures that others
// report to it.
func (s *Source) Run(ctx context.Context) {
	s.mu.Lock()
	s.startedAt = time.Now()
	s.mu.Unlock()
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { s.applyFailuresPeriodically(ctx) })
	loops.Go(func() { s.exchangeDomainDemand(ctx) })
	for {
		s.announce(ctx)
		if !clock.Sleep(ctx, s.nextHelloDelay(time.Now())) {
			return
		}
	}
}

func (s *Source) nextHelloDelay(now time.Time) time.Duration {
	if s.usesStartHelloInterval(now) {
		return startHelloInterval
	}
	return helloInterval
}

// applyFailuresPeriodically applies the failures that others reported to this router. A router
// that polls a reader gets them with the replies instead.
func (s *Source) applyFailuresPeriodically(ctx context.Context) {
	for clock.Sleep(ctx, s.cfg.PollInterval) {
		now := time.Now()
		s.applyFailures(now, s.failures.sum(nil, now, ""))
	}
}

// helloUpdateWindow is how far back the updates in hellos reach: twice the longest interval of
// hellos between readers of two failure domains, so that one hello may be lost.
const helloUpdateWindow = 3 * time.Second

// smallFleet is the number of known routers below which each hello goes to all seeds.
const smallFleet = 8

// announce sends a hello to one of the seeds, in turn, so that all routers learn of each other
// through them. In a small fleet it goes to all seeds.
func (s *Source) announce(ctx context.Context) {
	for i, seed := range s.cfg.Seeds {
		selected := s.helloCount%len(s.cfg.Seeds) == i || s.members.count(time.Now()) < smallFleet
		if selected && seed != s.cfg.Self.Address {
			s.sendHello(ctx, seed, nil, nil)
		}
	}
	s.helloCount++
}

// sendHello announces this router to another one, and records the members that it returns. work and rest
// are TeamWork and RestTeamWork of the request.
func (s *Source) sendHello(ctx context.Context, seed string, work, rest fairshare.Sums) {
	sent, sentClock := time.Now(), s.cfg.Clock()
	req := helloRequest{
		From: s.cfg.Self, Demand: s.demand.local(), TeamWork: work, RestTeamWork: rest, Domain: s.domainDemand(sent),
		Poison: s.poison.request(helloUpdateWindow), OriginUptime: s.uptime.report(sentClock), Limits: s.limits.request(helloUpdateWindow),
	}
	reply, err := control.Call(ctx, s.client(seed), methodHello, req)
	if err != nil {
		s.cfg.Log.Debug().Err(err).Str("router", seed).Msg("hello to a router failed")
		return
	}
	s.members.recordSeen(reply.From, sent)
	s.demand.record(reply.From, reply.Demand, sent)
	s.poison.applyReply(sentClock, reply.Poison)
	s.limits.applyReply(sentClock, reply.Limits)
	s.uptime.apply(sentClock, reply.OriginUptime)
	s.recordDomainDemand(reply.From, reply.Domain, sent)
	s.members.recordCount(reply.From.VM, reply.Known, sent)
	if !reply.Starting {
		s.members.markEstablishedPeer()
	}
	s.members.recordListed(reply.Members, sent)
}

const (
	// Hellos of a reader to each other failure domain are domainHelloSpacing per domain apart,
	// but no less than minDomainHelloInterval. With 27 domains a reader sends some 20 hellos a
	// second.
	minDomainHelloInterval = 250 * time.Millisecond
	domainHelloSpacing     = 50 * time.Millisecond
)

// domainHelloInterval returns the time between two hellos to each of so many failure domains.
func domainHelloInterval(domains int) time.Duration {
	return max(minDomainHelloInterval, time.Duration(domains)*domainHelloSpacing)
}

// exchangeDomainDemand has readers report the demand of their failure domains to each other.
// Each router dedicates its share of the endpoints to a kind of request by the total demand. If
// each took the demand of its own domain for the total, two domains would dedicate different numbers
// of endpoints (20 and 35 of 180 for seconds in one case), and send long prompts to endpoints that
// the other domain has dedicated.
func (s *Source) exchangeDomainDemand(ctx context.Context) {
	for {
		now := time.Now()
		domains := s.members.domains(now)
		if s.members.isReader(now) {
			s.sendHelloToReaders(ctx, domains)
		}
		if !clock.Sleep(ctx, domainHelloInterval(len(domains))) {
			return
		}
	}
}

// sendHelloToReaders sends a hello to one reader of each other failure domain. While there is work of teams
// to report, it goes to the other readers of the same domain as well: from the first of them to the others, and
// from the others to the first.
func (s *Source) sendHelloToReaders(ctx context.Context, domains []string) {
	now := time.Now()
	own := s.members.readers(now, s.cfg.Self.FailureDomain)
	s.work.setRole(len(own) > 0 && own[0] == s.cfg.Self, len(domains))
	ownWork := s.work.ownRouters(now)
	for _, domain := range domains {
		readers := s.members.readers(time.Now(), domain)
		if domain != s.cfg.Self.FailureDomain && len(readers) > 0 {
			work, rest := s.helloWork(readers[0], ownWork, now)
			s.sendHello(ctx, readers[0].Address, work, rest)
		}
	}
	for i, reader := range own {
		if reader == s.cfg.Self || i > 0 && own[0] != s.cfg.Self {
			continue
		}
		if work, rest := s.helloWork(reader, ownWork, now); len(work)+len(rest) > 0 {
			s.sendHello(ctx, reader.Address, work, rest)
		}
	}
}
