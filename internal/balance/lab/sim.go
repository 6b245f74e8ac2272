package lab

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/load"
)

const (
	servers       = 30
	slowEvery     = 6 // every sixth server runs at slowSpeed
	slowSpeed     = 0.2
	slots         = 8
	routers       = 4
	domains       = 3
	utilisation   = 0.8
	prefixes      = 200
	cacheSize     = 20 // prefixes in a server's cache
	meanService   = 2 * time.Second
	prefillTime   = 200 * time.Millisecond // saved by a cached prefix
	serviceSigma  = 1.2                    // of the log-normal service time
	ttftTarget    = 800 * time.Millisecond // time to first token
	highShare     = 0.3                    // share of the requests at tier 0
	drainWindow   = 5 * time.Second
	bindRoundTrip = 2 * time.Millisecond // an agent asks the router whether to run
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type job struct {
	router    int
	tier      int
	prefix    uint64
	service   time.Duration // at speed 1, without prefill
	arrived   time.Time
	started   bool
	bindDelay time.Duration // additional delay of late binding
}

type server struct {
	name    string
	speed   float64
	queues  [2][]*job
	running [2]int
	cache   []uint64
	seq     uint64
	drain   float64
	drainAt time.Time
}

// event is a scheduled step of the simulation.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Variant is a configuration of the simulated routers.
type Variant struct {
	Name string
	// Policy creates the policy of a router.
	Policy           func() balance.Policy
	OutlierDetection bool
	// LateBinding queues requests at up to two endpoints, depending on the LateBindingThreshold of
	// the pool's configuration.
	LateBinding          bool
	LateBindingThreshold float64
}

type sim struct {
	now         time.Time
	reportLag   time.Duration
	lateBinding bool
	events      events
	seq         int
	rnd         *rand.Rand
	servers     map[string]*server
	endpoints   []*bundle.Endpoint
	pools       [routers]*balance.Pool
	waits       [2][]time.Duration // times to first token by tier
	ranOnSlow   int                // requests that a slow server ran
	queuedAtTwo int                // requests that waited at two servers
}

func newSim(v Variant, lag time.Duration, seed uint64) *sim {
	s := &sim{now: start, reportLag: lag, lateBinding: v.LateBinding, rnd: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*server{}}
	for i := range servers {
		srv := &server{name: fmt.Sprintf("e%02d", i), speed: 1, drainAt: start}
		if i%slowEvery == 0 {
			srv.speed = slowSpeed
		}
		s.servers[srv.name] = srv
		s.endpoints = append(s.endpoints, &bundle.Endpoint{Name: srv.name, FailureDomain: fmt.Sprintf("d%d", i%domains), Slots: slots})
	}
	for i := range s.pools {
		s.pools[i] = balance.NewPool(balance.Config{Policy: v.Policy(), Seed: seed + uint64(i), LateBindingThreshold: v.LateBindingThreshold, Outlier: balance.Outlier{Disabled: !v.OutlierDetection}})
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.seq, run: run})
}

// run simulates n arrivals until the last request has ended.
func (s *sim) run(n int) {
	speed := float64(servers) * (1 - (1-slowSpeed)/slowEvery)
	rate := utilisation * speed * slots / (meanService + prefillTime).Seconds()
	s.arrive(n, rate)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *sim) arrive(left int, rate float64) {
	if left == 0 {
		return
	}
	j := &job{router: s.rnd.IntN(routers), tier: 1, arrived: s.now}
	if s.rnd.Float64() < highShare {
		j.tier = 0
	}
	j.prefix = uint64(math.Pow(prefixes, s.rnd.Float64())) // low numbers are more popular
	j.service = time.Duration(float64(meanService) * math.Exp(serviceSigma*s.rnd.NormFloat64()-serviceSigma*serviceSigma/2))
	s.send(j)
	gap := s.rnd.ExpFloat64() / rate
	s.after(time.Duration(gap*float64(time.Second)), func() { s.arrive(left-1, rate) })
}

func (s *sim) send(j *job) {
	pool := s.pools[j.router]
	req := balance.Request{Tier: j.tier, Prefix: j.prefix}
	if !s.lateBinding {
		e, err := pool.Choose(s.now, req, s.endpoints, nil)
		s.enqueue(j, e, err)
		return
	}
	pair, err := pool.ChoosePair(s.now, req, s.endpoints, nil)
	s.enqueue(j, pair.First, err)
	if pair.Second != nil {
		j.bindDelay = bindRoundTrip
		s.queuedAtTwo++
		s.enqueue(j, pair.Second, nil)
	}
}

func (s *sim) enqueue(j *job, e *bundle.Endpoint, err error) {
	if err != nil {
		panic(err) // endpoints never leave in the simulation
	}
	srv := s.servers[e.Name]
	s.pools[j.router].Sent(s.now, srv.name)
	srv.queues[j.tier] = append(srv.queues[j.tier], j)
	s.dispatch(srv)
}

// dispatch starts queued requests while slots are free, those of the higher tier first.
func (s *sim) dispatch(srv *server) {
	for tier := range srv.queues {
		for len(srv.queues[tier]) > 0 && srv.running[0]+srv.running[1] < slots {
			j := srv.queues[tier][0]
			srv.queues[tier] = srv.queues[tier][1:]
			if j.started { // late binding: already started at another server
				s.pools[j.router].Done(s.now, srv.name, balance.ResultCancelled, 0)
				continue
			}
			s.begin(srv, j)
		}
	}
}

func (s *sim) begin(srv *server, j *job) {
	j.started = true
	srv.running[j.tier]++
	prefill := prefillTime
	if i := slices.Index(srv.cache, j.prefix); i >= 0 {
		srv.cache = slices.Delete(srv.cache, i, i+1)
		prefill = 0
	}
	srv.cache = append(srv.cache, j.prefix)
	srv.cache = srv.cache[max(0, len(srv.cache)-cacheSize):]
	firstTokenAfter := j.bindDelay + time.Duration(float64(prefill)/srv.speed)
	ttft := s.now.Add(firstTokenAfter).Sub(j.arrived)
	s.waits[j.tier] = append(s.waits[j.tier], ttft)
	if srv.speed < 1 {
		s.ranOnSlow++
	}
	s.report(srv, j.router)
	s.after(firstTokenAfter+time.Duration(float64(j.service)/srv.speed), func() { s.end(srv, j, ttft) })
}

func (s *sim) end(srv *server, j *job, ttft time.Duration) {
	srv.running[j.tier]--
	gap := s.now.Sub(srv.drainAt)
	srv.drain = srv.drain*math.Exp(-gap.Seconds()/drainWindow.Seconds()) + 1/drainWindow.Seconds()
	srv.drainAt = s.now
	s.dispatch(srv)
	s.pools[j.router].Done(s.now, srv.name, balance.ResultOK, ttft)
	s.report(srv, j.router)
}

// report sends the server's load report to one router, where it arrives after the report lag.
func (s *sim) report(srv *server, router int) {
	srv.seq++
	decay := math.Exp(-s.now.Sub(srv.drainAt).Seconds() / drainWindow.Seconds())
	r := load.Report{Seq: srv.seq, Slots: slots, DrainPerSecond: srv.drain * decay}
	for tier := range srv.queues {
		r.Queued[tier] = len(srv.queues[tier])
		r.Running[tier] = srv.running[tier]
	}
	s.after(s.reportLag, func() { s.pools[router].Report(s.now, srv.name, r) })
}
