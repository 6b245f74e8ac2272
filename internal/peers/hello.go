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
	var both sync.WaitGroup
	defer both.Wait()
	both.Go(func() { s.judgeFailures(ctx) })
	for {
		s.sayHello(ctx)
		if !clock.Sleep(ctx, helloEvery) {
			return
		}
	}
}

// judgeFailures takes in what other routers told this one. One that asks a reader
// learns it from the answers.
func (s *Source) judgeFailures(ctx context.Context) {
	for clock.Sleep(ctx, s.cfg.Every) {
		now := time.Now()
		s.takeFailures(now, s.failures.addUp(nil, now, ""))
	}
}

// fewRouters are so few that each tells all seeds every time.
const fewRouters = 8

// sayHello tells one of the seeds, each in turn, so that all routers hear of each
// other through them; where routers are few, all seeds.
func (s *Source) sayHello(ctx context.Context) {
	for i, seed := range s.cfg.Seeds {
		turn := s.hello%len(s.cfg.Seeds) == i || len(s.members.lately(time.Now())) < fewRouters
		if turn && seed != s.cfg.Self.Address {
			s.greet(ctx, seed)
		}
	}
	s.hello++
}

func (s *Source) greet(ctx context.Context, seed string) {
	sent := time.Now()
	reply, err := control.Call(ctx, s.client(seed), methodHello, helloRequest{From: s.cfg.Self, Demand: s.demands.ask()})
	if err != nil {
		s.cfg.Log.Debug().Err(err).Str("seed", seed).Msg("a seed doesn't answer")
		return
	}
	s.members.hear(reply.From, sent)
	s.demands.hear(reply.From.VM, reply.Demand, sent)
	for _, m := range reply.Members {
		s.members.hear(m.Member, sent.Add(-time.Duration(m.AgoMillis)*time.Millisecond))
	}
}
