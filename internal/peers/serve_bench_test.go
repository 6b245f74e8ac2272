package peers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"coveferry/internal/age"
	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/directory"
	"coveferry/internal/follow"
	"coveferry/internal/identity"
	"coveferry/internal/load"
	"coveferry/internal/route"
)

// fixedState is a router's state that doesn't change.
type fixedState struct {
	config *route.Config
	list   *directory.Directory
	age    age.Age
}

// Snapshot implements State.
func (s fixedState) Snapshot() follow.Snapshot {
	return follow.Snapshot{Snapshot: route.Snapshot{Age: s.age}, Config: s.config, Directory: s.list}
}

// newBenchReader returns a reader of a list of endpoints, and the polls of its routers.
func newBenchReader(routers, endpoints int) (*Source, []updateRequest) {
	s := New(Config{Self: Member{VM: "reader", FailureDomain: "d"}, PollInterval: 250 * time.Millisecond, Clock: time.Now})
	var entries []directory.Entry
	var list []*bundle.Endpoint
	for i := range endpoints {
		e := bundle.Endpoint{Name: fmt.Sprintf("endpoint-%04d", i), Address: "10.0.0.1:80", Services: []string{"s"}, Slots: 64}
		entries = append(entries, directory.Entry{Endpoint: e})
		list = append(list, &e)
	}
	dir, _ := directory.Empty().Merge(directory.Reading{Full: true, Entries: entries, Revision: directory.Revision{Number: 7}}, time.Now(), time.Time{})
	s.SetState(fixedState{config: &route.Config{Version: 1}, list: dir, age: age.Of(time.Second)})
	policy := balance.NewPromptAware()
	pool := balance.NewPool(balance.Config{Policy: policy})
	pool.Views(time.Now(), list)
	for _, e := range list {
		r := load.Report{Slots: 64}
		r.Running[0] = 12
		pool.Report(time.Now().Add(time.Hour), e.Name, r) // stays new
	}
	s.ShareLoads(pool)
	s.ShareFailures(pool)
	kind := func(gap int64) balance.Kind {
		return balance.Kind{Service: "s", GapMillis: gap, Requests: 3, RecentRequests: 1, PrefillSeconds: 1, SlotSeconds: 3, Ended: 3}
	}
	demand := balance.Demand{kind(0), kind(400), kind(600), kind(1500)}
	s.ShareDemand(func() balance.Demand { return demand })
	var polls []updateRequest
	for i := range routers {
		polls = append(polls, updateRequest{
			From: Member{VM: fmt.Sprintf("router-%04d", i), FailureDomain: "d"}, Version: 1, listRevision: listRevision{Revision: 7}, Digest: dir.Digest(), Demand: demand,
			Loads: pool.RecentLoads(time.Now(), time.Hour, 2, true),
		})
	}
	return s, polls
}

// Without cached values the cost of a poll to a reader grows with the number of endpoints: 18, 65,
// 227 and 1,574 us for these shapes. With the values that all polls share it is 6, 13, 43 and 77 us.
func BenchmarkServeUpdate(b *testing.B) {
	for _, shape := range []struct{ routers, endpoints int }{{7, 50}, {20, 180}, {71, 644}, {71, 3700}} {
		b.Run(fmt.Sprintf("%d routers, %d endpoints", shape.routers, shape.endpoints), func(b *testing.B) {
			s, polls := newBenchReader(shape.routers, shape.endpoints)
			for i := range b.N {
				if _, err := s.serveUpdate(context.Background(), identity.Peer{}, polls[i%len(polls)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// newBenchSeed returns a seed that knows these routers, and their hellos.
func newBenchSeed(routers, domains int) (*Source, []helloRequest) {
	s := New(Config{Self: Member{VM: "seed", FailureDomain: "domain-0", Cores: 1, LinkMbps: 200}, PollInterval: 250 * time.Millisecond, Clock: time.Now})
	s.ShareDemand(func() balance.Demand { return nil })
	var hellos []helloRequest
	for i := range routers {
		m := Member{
			VM: fmt.Sprintf("router-%04d", i), FailureDomain: fmt.Sprintf("domain-%d", i%domains), Address: "10.0.0.1:1", Cores: 0.144, LinkMbps: 20,
		}
		if i%7 == 0 {
			m.Cores, m.LinkMbps = 0.8, 200
		}
		hellos = append(hellos, helloRequest{From: m})
		s.members.recordSeen(m, time.Now())
	}
	return s, hellos
}

// Sorting all routers for each failure domain, and ranking them at each comparison, would make the
// cost of a hello to a seed grow with the square of the fleet: 49, 232, 888 and 8,128 us for these
// shapes. A single pass takes 20, 46, 160 and 394 us.
func BenchmarkServeHello(b *testing.B) {
	for _, shape := range []struct{ routers, domains int }{{28, 3}, {103, 5}, {357, 5}, {880, 27}} {
		b.Run(fmt.Sprintf("%d routers in %d domains", shape.routers, shape.domains), func(b *testing.B) {
			s, hellos := newBenchSeed(shape.routers, shape.domains)
			for i := range b.N {
				if _, err := s.serveHello(context.Background(), identity.Peer{}, hellos[i%len(hellos)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
