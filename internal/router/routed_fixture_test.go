package router_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"coveferry/internal/age"
	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/directory"
	"coveferry/internal/load"
	"coveferry/internal/membership"
	"coveferry/internal/memnet"
	"coveferry/internal/prompt"
	"coveferry/internal/retry"
	"coveferry/internal/route"
	"coveferry/internal/router"
	"coveferry/internal/server"
	"coveferry/internal/streamversion"
	"coveferry/internal/upstream"
)

// testProtocol is the upstream.Protocol of these tests.
type testProtocol struct{}

func (testProtocol) Incoming(h http.Header) upstream.Incoming {
	in := upstream.Incoming{ID: h.Get("Id"), APIKey: h.Get("Key"), LastEvent: h.Get("Last"), Resumes: h.Get("Begun-By")}
	if h.Get("Patience") != "" {
		in.CallerTimeout, _ = time.ParseDuration(h.Get("Patience"))
	}
	if h.Get("Prompt") != "" {
		in.Prompt = prompt.Prompt{Tokens: 100, ExpectedOutput: 50}
	}
	for _, id := range strings.Fields(h.Get("Parts")) {
		n, _ := strconv.ParseUint(id, 16, 64)
		in.Prompt.Parts = append(in.Prompt.Parts, prompt.Part{ID: n, Tokens: 10})
	}
	return in
}

func (testProtocol) Encode(h http.Header, a upstream.Attempt) {
	h.Del("Key")
	h.Set("Team", a.Team)
	h.Set("Meant-For", a.Endpoint)
	h.Set("Left", a.TimeLeft.String())
	h.Set("Tier", fmt.Sprint(a.Rank))
	if a.LastEvent != "" {
		h.Set("Last", a.LastEvent)
	}
	h.Set("Copy-To", a.CopyTo)
	if a.FromCopy {
		h.Set("From-Copy", a.Address)
	}
}

func (testProtocol) Decode(resp *http.Response) upstream.Reply {
	return upstream.Reply{
		ID: resp.Header.Get("Id"), NotRun: resp.Header.Get("Not-Run") != "",
		WrongInstance: resp.StatusCode == http.StatusMisdirectedRequest, Signed: resp.Header.Get("Signed") != "",
		Signals: testSignals(resp.Header),
	}
}

func testSignals(h http.Header) upstream.Signals {
	backoff, _ := time.ParseDuration(h.Get("Backoff"))
	cold, _ := time.ParseDuration(h.Get("Cold"))
	return upstream.Signals{Load: parseLoad(h.Get("Load")), Leaving: h.Get("Leaving") != "", Backoff: backoff, Cold: cold, RateLimit: parseRateLimit(h.Get("Limit"))}
}

// parseLoad decodes the running requests and the slots of a load report, "1/4".
func parseLoad(text string) *load.Report {
	var r load.Report
	if _, err := fmt.Sscanf(text, "%d/%d", &r.Running[0], &r.Slots); err != nil {
		return nil
	}
	return &r
}

func parseRateLimit(text string) upstream.RateLimit {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return upstream.RateLimit{}
	}
	return upstream.RateLimit{Kind: upstream.LimitSet, PerSecond: n}
}

// arrival is a request as an endpoint received it.
type arrival struct {
	endpoint string
	header   http.Header
	target   string
	host     string
	body     string
}

// routerFixture is a router with fake endpoints.
type routerFixture struct {
	net              *memnet.Net
	pool             *balance.Pool
	members          *membership.Tracker
	router           *router.Router
	mu               sync.Mutex
	arrivals         []arrival
	keyAge           time.Duration
	closeConnections bool
	processesEnd     bool // of endpoints, as their connections end
	table            *route.Table
	endpoints        []*bundle.Endpoint
	streams          *streamversion.Registry
	regions          map[string]string // by endpoint
	log              bytes.Buffer      // the router's log
	// handle is called for each request with the endpoint's connection.
	handle func(endpoint string, req *http.Request, conn net.Conn)
}

const (
	maxKeyAge = 4 * time.Second
	// routedBodyTimeout exceeds maxKeyAge, as it does where routers run.
	routedBodyTimeout = 30 * time.Second
	routeHost         = "api.example"
)

func intPtr(rank int) *int { return &rank }

func testConfig() route.Config {
	s := []route.Target{{Service: "s", Weight: 1}}
	return route.Config{
		Version:  3,
		Limits:   route.Limits{HeaderBytes: 4096, BodyBytes: 1000},
		Services: []route.Service{{Name: "s", Engine: &route.Engine{Stride: 6, Backups: true}}},
		Routes: []route.Route{
			{Name: "once", Host: routeHost, Prefix: "/once/", Targets: s, Timeout: time.Second, MaxRuns: 1},
			{Name: "safe", Host: routeHost, Prefix: "/safe/", Targets: s, Timeout: time.Second, MaxRuns: 2, Repeat: route.Idempotent},
			{Name: "stream", Host: routeHost, Prefix: "/stream/", Targets: s, Timeout: 10 * time.Second, MaxRuns: 1, Stream: true},
			{Name: "resume", Host: routeHost, Prefix: "/resume/", Targets: s, Timeout: 10 * time.Second, MaxRuns: 2, Stream: true, Resumable: true},
			{Name: "tight", Host: routeHost, Prefix: "/tight/", Targets: s, Timeout: 10 * time.Second, MaxRuns: 1, Stream: true, MaxGap: 250 * time.Millisecond},
			{Name: "open", Host: routeHost, Prefix: "/open/", Targets: s, Timeout: time.Second, Public: true},
		},
		Teams: map[string]*route.Team{"k": {Name: "acme"}, "vip": {Name: "vip", Tier: new(int)}, "low": {Name: "low", Tier: intPtr(12)}, "below": {Name: "below", Tier: intPtr(-1)}},
	}
}

func mustTable(c route.Config) *route.Table {
	tab, err := route.NewTable(c)
	if err != nil {
		panic(err)
	}
	return tab
}

// runRouted runs test against a router in a synctest bubble.
func runRouted(t *testing.T, test func(g *WithT, w *routerFixture, client *http.Client)) {
	t.Helper()
	runRoutedAmong(t, balance.Config{}, 3, test)
}

// runRoutedAmong is runRouted with a number of endpoints, e1 and so on, and a configuration of the
// pool without a policy.
func runRoutedAmong(t *testing.T, cfg balance.Config, endpoints int, test func(g *WithT, w *routerFixture, client *http.Client)) {
	t.Helper()
	cfg.Policy = balance.NewPromptAware()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &routerFixture{net: memnet.New(), table: mustTable(testConfig())}
		w.handle = func(_ string, req *http.Request, conn net.Conn) { writeOK(conn, req, "fine") }
		var stops []func()
		for i := range endpoints {
			name := fmt.Sprint("e", i+1)
			l, err := w.net.Listen("10.0.0." + name[1:] + ":80")
			g.Expect(err).NotTo(HaveOccurred())
			w.endpoints = append(w.endpoints, &bundle.Endpoint{Name: name, Address: l.Addr().String(), Services: []string{"s"}, Slots: 4})
			stops = append(stops, w.serveEndpoint(name, l))
		}
		client := server.NewClient(nil, w.net.Dialer("router"))
		w.pool = balance.NewPool(cfg)
		w.members = membership.NewTracker(membership.Config{Name: "router", Pool: w.pool, Log: zerolog.Nop()})
		w.streams = streamversion.New(streamversion.Config{ListAge: func() age.Age { return age.Of(0) }})
		w.list(w.endpoints...)
		w.router = router.New(router.Config{
			Pool: w.pool, Client: client, Observer: w.members,
			Retry: &retry.Policy{ChargeAll: true, Budget: retry.NewBudget(retry.BudgetConfig{})}, BodyTimeout: routedBodyTimeout, MaxOpen: 10, MaxBodyBytes: 1 << 20,
			Rand: func() float64 { return 0 }, Log: zerolog.New(zerolog.SyncWriter(&w.log)), Clock: time.Now,
			Routing: &router.Routing{
				Routes:    func() route.Snapshot { return route.Snapshot{Table: w.table, Age: age.Of(w.keyAge)} },
				Endpoints: func(string) []*bundle.Endpoint { return w.endpoints },
				Region:    func(e *bundle.Endpoint) string { return w.regions[e.Name] },
				Protocol:  testProtocol{}, Client: client,
				ProcessAlive:           func(context.Context, *bundle.Endpoint) bool { return !w.processesEnd },
				MaxKeyAge:              func() time.Duration { return maxKeyAge },
				Streams:                w.streams,
				ShouldCloseConnections: func() bool { return w.closeConnections },
			},
		})
		l, err := w.net.Listen(address)
		g.Expect(err).NotTo(HaveOccurred())
		srv := server.New(server.Config{Listener: l, Handler: http.HandlerFunc(w.router.ServeRouted), Grace: time.Minute, HeaderTimeout: time.Second})
		go func() { _ = srv.Run() }()
		caller := server.NewClient(nil, w.net.Dialer("caller"))
		defer func() { // also after a failed expectation, which ends this goroutine
			caller.CloseIdleConnections()
			g.Expect(srv.Stop()).To(Succeed())
			client.CloseIdleConnections()
			for _, stop := range stops {
				stop()
			}
		}()
		test(g, w, caller)
	})
}

// list has membership know just these endpoints.
func (w *routerFixture) list(endpoints ...*bundle.Endpoint) {
	var specs []membership.EndpointSpec
	for _, e := range endpoints {
		specs = append(specs, membership.EndpointSpec{Endpoint: e.Name, VM: e.Name, Address: e.Address, Incarnation: e.ProcessID()})
	}
	w.members.HandleEvent(membership.BundleApplied{Endpoints: specs})
	w.updateList()
}

// updateList has the registry of streams know the versions of the endpoints.
func (w *routerFixture) updateList() {
	reading := directory.Reading{Full: true, Revision: directory.Revision{Number: 1}}
	for _, e := range w.endpoints {
		reading.Entries = append(reading.Entries, directory.Entry{Endpoint: *e, Version: e.Version})
	}
	list, _ := directory.Empty().Merge(reading, time.Now(), time.Time{})
	w.streams.UpdateList(time.Now(), list)
}

// serveEndpoint parses requests itself, so that handle can write invalid answers.
func (w *routerFixture) serveEndpoint(name string, l net.Listener) (stop func()) {
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serveConn(name, conn)
		}
	}()
	return func() { _ = l.Close() }
}

func (w *routerFixture) serveConn(name string, conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		w.mu.Lock()
		w.arrivals = append(w.arrivals, arrival{name, req.Header, req.RequestURI, req.Host, string(body)})
		w.mu.Unlock()
		w.handle(name, req, conn)
	}
}

func (w *routerFixture) received() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrivals
}

func (w *routerFixture) receivedCount() int { return len(w.received()) }

func writeOK(conn net.Conn, req *http.Request, body string) {
	writeAnswer(conn, 200, "Id: "+req.Header.Get("Id")+"\r\nSigned: x\r\n", body)
}

func writeAnswer(conn net.Conn, status int, header, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// reply is an answer as a caller receives it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // from reading the body
}

func call(g *WithT, client *http.Client, method, path, body string, header ...string) reply {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	req.Host = routeHost
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "k")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(text), err}
}
