package peers

import (
	"context"
	"sync"
	"time"

	"coveferry/internal/clock"
	"coveferry/internal/control"
)

// helloEvery is the time between two words to other routers.
const helloEvery = time.Second

// Run tells other routers of this one until ctx ends, and has this one judge by
// what those said that ask it.
func (s *Source) Run(ctx context.Context) {
	s.mu.Lock()
	s.began = time.Now()
	s.mu.Unlock()
	var both sync.WaitGroup
	defer both.Wait()
	both.Go(func() { s.judgeFailures(ctx) })
	both.Go(func() { s.tellDomains(ctx) })
	for {
		s.sayHello(ctx)
		if !clock.Sleep(ctx, s.helloPause(time.Now())) {
			return
		}
	}
}

// helloPause is the time until the next word to other routers.
func (s *Source) helloPause(now time.Time) time.Duration {
	if s.greetsOften(now) {
		return helloAtStart
	}
	return helloEvery
}

// judgeFailures takes in what other routers told this one. One that asks a reader
// learns it from the answers.
func (s *Source) judgeFailures(ctx context.Context) {
	for clock.Sleep(ctx, s.cfg.Every) {
		now := time.Now()
		s.takeFailures(now, s.failures.addUp(nil, now, ""))
	}
}

// greetedFor is how long news are told with greetings: twice the longest time between two
// of a reader to one of another failure domain, so that one may be lost.
const greetedFor = 3 * time.Second

// fewRouters are so few that each tells all seeds every time.
const fewRouters = 8

// sayHello tells one of the seeds, each in turn, so that all routers hear of each
// other through them; where routers are few, all seeds.
func (s *Source) sayHello(ctx context.Context) {
	for i, seed := range s.cfg.Seeds {
		turn := s.hello%len(s.cfg.Seeds) == i || s.members.count(time.Now()) < fewRouters
		if turn && seed != s.cfg.Self.Address {
			s.greet(ctx, seed)
		}
	}
	s.hello++
}

// greet tells a router of this one, and hears whom it knows.
func (s *Source) greet(ctx context.Context, seed string) {
	sent, sentClock := time.Now(), s.cfg.Clock()
	req := helloRequest{
		From: s.cfg.Self, Demand: s.demands.ask(), Domain: s.domainDemand(sent),
		Poison: s.poison.ask(greetedFor), Steady: s.steady.word(sentClock), Limits: s.limits.ask(greetedFor),
	}
	reply, err := control.Call(ctx, s.client(seed), methodHello, req)
	if err != nil {
		s.cfg.Log.Debug().Err(err).Str("router", seed).Msg("a router that was greeted doesn't answer")
		return
	}
	s.members.hear(reply.From, sent)
	s.demands.hear(reply.From, reply.Demand, sent)
	s.poison.answered(sentClock, reply.Poison)
	s.limits.answered(sentClock, reply.Limits)
	s.steady.hear(sentClock, reply.Steady)
	s.hearDomain(reply.From, reply.Domain, sent)
	s.members.toldOf(reply.From.VM, reply.Known, sent)
	if !reply.New {
		s.members.hearFromOld()
	}
	for _, m := range reply.Members {
		s.members.hear(m.Member, sent.Add(-time.Duration(m.AgoMillis)*time.Millisecond))
	}
}

const (
	// domainsEvery is the time between two words of a reader to those of other failure
	// domains, and domainsPace what it is for each of them at the least, so that 27
	// domains cost a reader some 20 words a second.
	domainsEvery = 250 * time.Millisecond
	domainsPace  = 50 * time.Millisecond
)

// domainsGap is the time between two words to each of so many failure domains.
func domainsGap(domains int) time.Duration {
	return max(domainsEvery, time.Duration(domains)*domainsPace)
}

// tellDomains has readers tell each other what is asked for in their failure domains.
// Each router takes its share of the endpoints for a kind by the demand of all; with that
// of its own domain taken for all, routers of two domains kept 20 and 35 of 180 endpoints
// apart for seconds, and sent long prompts to what others kept.
func (s *Source) tellDomains(ctx context.Context) {
	for {
		now := time.Now()
		domains := s.members.domains(now)
		if s.members.isReader(now) {
			s.greetReaders(ctx, domains)
		}
		if !clock.Sleep(ctx, domainsGap(len(domains))) {
			return
		}
	}
}

// greetReaders greets a reader of each other failure domain.
func (s *Source) greetReaders(ctx context.Context, domains []string) {
	for _, domain := range domains {
		readers := s.members.readers(time.Now(), domain)
		if domain != s.cfg.Self.FailureDomain && len(readers) > 0 {
			s.greet(ctx, readers[0].Address)
		}
	}
}
