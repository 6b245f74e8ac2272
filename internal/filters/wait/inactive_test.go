package wait_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/filters/wait"
	"coveferry/internal/request"
	"coveferry/internal/route"
	"coveferry/internal/wire"
)

// Guards against reading all endpoints for each request of a service whose requests never wait.
func TestEndpointsAreNotReadForEachRequestOfServicesWithoutSlots(t *testing.T) {
	reads := 0
	without := func(c *wait.Config) {
		c.Endpoints = func(string) []*bundle.Endpoint {
			reads++
			return []*bundle.Endpoint{{Name: "x"}}
		}
	}
	inSingleRouter(t, without, func(g *WithT, s *singleRouter) {
		s.startAll(100, "/b/")
		g.Expect(s.entered).To(HaveLen(100))
		g.Expect(reads).To(Equal(1))
		time.Sleep(10 * time.Millisecond)
		s.startAll(100, "/b/")
		g.Expect(reads).To(Equal(2))
	})
}

// Guards against requests of all services that wait while the endpoints of one service are read.
func TestReadingEndpointsDoesNotHoldUpOtherServices(t *testing.T) {
	table, err := route.NewTable(route.Config{
		Services: []route.Service{{Name: "s"}, {Name: "t"}},
		Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/", Targets: []route.Target{{Service: "s", Weight: 1}}, Timeout: time.Minute}},
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	var f *wait.Filter
	run := func(service string) error {
		r := &request.Request{Kind: wire.KindRouted, Routes: route.Snapshot{Table: table}, Route: table.Match("h", "/"), Service: service}
		return f.Do(context.Background(), r, func(context.Context, *request.Request) error { return nil })
	}
	passed := false
	f = wait.New(wait.Config{
		Pool: balance.NewPool(balance.Config{Policy: balance.NewPromptAware()}),
		Endpoints: func(service string) []*bundle.Endpoint {
			if service == "s" {
				done := make(chan error, 1)
				go func() { done <- run("t") }()
				select {
				case err := <-done:
					passed = err == nil
				case <-time.After(2 * time.Second):
				}
			}
			return []*bundle.Endpoint{{Name: "x"}}
		},
	})
	NewWithT(t).Expect(run("s")).To(Succeed())
	NewWithT(t).Expect(passed).To(BeTrue())
}
