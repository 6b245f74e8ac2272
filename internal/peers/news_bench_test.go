package peers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/directory"
	"coveferry/internal/identity"
	"coveferry/internal/load"
	"coveferry/internal/route"
)

// knownState is a router's knowledge that doesn't change.
type knownState struct {
	config *route.Config
	list   *directory.Directory
}

func (s knownState) Config() *route.Config           { return s.config }
func (s knownState) Directory() *directory.Directory { return s.list }
func (s knownState) Age() time.Duration              { return time.Second }

// readerOf is a reader that so many routers ask, of so many endpoints.
func readerOf(routers, endpoints int) (*Source, []updateRequest) {
	s := New(Config{Self: Member{VM: "reader", FailureDomain: "d"}, Every: 250 * time.Millisecond, Clock: time.Now})
	var entries []directory.Entry
	var list []*bundle.Endpoint
	for i := range endpoints {
		e := bundle.Endpoint{Name: fmt.Sprintf("endpoint-%04d", i), Address: "10.0.0.1:80", Services: []string{"s"}, Slots: 64}
		entries = append(entries, directory.Entry{Endpoint: e})
		list = append(list, &e)
	}
	dir, _ := directory.Empty().Merge(directory.Reading{Whole: true, Entries: entries, Revision: 7}, time.Now(), time.Time{})
	s.Tell(knownState{config: &route.Config{Version: 1}, list: dir})
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
		return balance.Kind{Service: "s", GapMillis: gap, Requests: 3, Recent: 1, Read: 1, Held: 3, Ended: 3}
	}
	demand := balance.Demand{kind(0), kind(400), kind(600), kind(1500)}
	s.ShareDemand(func() balance.Demand { return demand })
	var asks []updateRequest
	for i := range routers {
		asks = append(asks, updateRequest{
			From: Member{VM: fmt.Sprintf("router-%04d", i), FailureDomain: "d"}, Version: 1, Revision: 7, Digest: dir.Digest(), Demand: demand,
			Loads: pool.LoadWords(time.Now(), time.Hour, 2, true),
		})
	}
	return s, asks
}

// What a question costs a reader grew with the endpoints: 18, 65, 227 and 1,574 us in these
// shapes. It is 6, 13, 43 and 77 us where what all questions have in common serves for a while.
func BenchmarkAQuestionToAReader(b *testing.B) {
	for _, shape := range []struct{ routers, endpoints int }{{7, 50}, {20, 180}, {71, 644}, {71, 3700}} {
		b.Run(fmt.Sprintf("%d routers, %d endpoints", shape.routers, shape.endpoints), func(b *testing.B) {
			s, asks := readerOf(shape.routers, shape.endpoints)
			for i := range b.N {
				if _, err := s.serveUpdate(context.Background(), identity.Peer{}, asks[i%len(asks)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// seedOf is a seed that so many routers of so many failure domains greet.
func seedOf(routers, domains int) (*Source, []helloRequest) {
	s := New(Config{Self: Member{VM: "seed", FailureDomain: "domain-0", Cores: 1, LinkMbps: 200}, Every: 250 * time.Millisecond, Clock: time.Now})
	s.ShareDemand(func() balance.Demand { return nil })
	var greetings []helloRequest
	for i := range routers {
		m := Member{
			VM: fmt.Sprintf("router-%04d", i), FailureDomain: fmt.Sprintf("domain-%d", i%domains), Address: "10.0.0.1:1", Cores: 0.144, LinkMbps: 20,
		}
		if i%7 == 0 {
			m.Cores, m.LinkMbps = 0.8, 200
		}
		greetings = append(greetings, helloRequest{From: m})
		s.members.recordSeen(m, time.Now())
	}
	return s, greetings
}

// What a greeting costs a seed grew with the square of the fleet: 49, 232, 888 and 8,128 us in
// these shapes, as all routers were sorted for each failure domain and ranked at each comparison.
// It is 20, 46, 160 and 394 us where they are gone through once.
func BenchmarkAGreetingAtASeed(b *testing.B) {
	for _, shape := range []struct{ routers, domains int }{{28, 3}, {103, 5}, {357, 5}, {880, 27}} {
		b.Run(fmt.Sprintf("%d routers in %d domains", shape.routers, shape.domains), func(b *testing.B) {
			s, greetings := seedOf(shape.routers, shape.domains)
			for i := range b.N {
				if _, err := s.serveHello(context.Background(), identity.Peer{}, greetings[i%len(greetings)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
