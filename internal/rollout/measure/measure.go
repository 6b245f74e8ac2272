// Package measure runs rollouts on fleets of nodes in this process, over real
// loopback sockets, and reports their cost and duration.
package measure

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"coveferry/internal/rollout"
	"coveferry/internal/rollout/lab"
)

// Mode is how processes learn of versions.
type Mode string

const (
	// ModePeers: a few processes read the service, the others learn from peers.
	ModePeers Mode = "peers"
	// ModeWatch: every process watches the service.
	ModeWatch Mode = "everyone-watches"
)

// ServiceFault is a fault of the configuration service.
type ServiceFault string

const (
	// FaultNone: one server, which is up.
	FaultNone ServiceFault = "none"
	// FaultStaleAndDown: each failure domain has one of three servers; one of
	// them is stuck at an old version, one is down.
	FaultStaleAndDown ServiceFault = "a third stale, a third dead"
)

// Scenario describes one measurement.
type Scenario struct {
	Nodes   int
	Domains int
	Mode    Mode
	Fault   ServiceFault
	// Changes is the number of versions, published at the interval Every.
	Changes int
	Every   time.Duration
	// RestartShare is the fraction of nodes that are restarted during the
	// measurement.
	RestartShare float64
}

// Point is the result of one measurement.
type Point struct {
	Nodes   int          `json:"nodes"`
	Domains int          `json:"failure_domains"`
	Mode    Mode         `json:"mode"`
	Fault   ServiceFault `json:"trouble"`
	Changes int          `json:"changes"`
	// Restarts is the number of restarted nodes.
	Restarts int `json:"restarts"`

	// CallsPerSecond counts the calls at all servers, including refused ones.
	CallsPerSecond   float64 `json:"calls_per_second"`
	LimitedPerSecond float64 `json:"limited_per_second"`
	// BytesPerSecond is the traffic sent and received by a node, on average;
	// MaxBytesPerSecond that of the busiest node.
	BytesPerSecond    float64 `json:"bytes_per_second_a_node"`
	MaxBytesPerSecond float64 `json:"bytes_per_second_busiest_node"`
	// CPUShare is the CPU time of a node, as a fraction of a core. It includes
	// the stand-in service, divided by the nodes.
	CPUShare float64 `json:"cpu_share_a_node"`

	// InForce is the time from publishing a version until a node activates it
	// or a higher one, over all changes and all nodes that weren't restarted.
	InForce Quantiles `json:"in_force_seconds"`
	// NeverInForce is the fraction of these that had not completed at the end.
	NeverInForce float64 `json:"never_in_force"`
	// Ready is the time from a node's restart until it is ready.
	Ready Quantiles `json:"ready_seconds"`
	// ReadyBelow is the number of restarted nodes that became ready with a
	// lower version than before the restart; ConfirmedBelow is how many of them
	// were confirmed.
	ReadyBelow     int `json:"ready_below"`
	ConfirmedBelow int `json:"sure_below"`
	// Backwards counts how often a version was followed by the same or a lower
	// one within an incarnation.
	Backwards int `json:"backwards"`
}

// Quantiles holds quantiles of durations in seconds.
type Quantiles struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Count int     `json:"count"`
}

func quantiles(values []time.Duration) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	slices.Sort(values)
	at := func(q float64) float64 { return values[int(q*float64(len(values)-1))].Seconds() }
	return Quantiles{P50: at(0.5), P99: at(0.99), Max: at(1), Count: len(values)}
}

const (
	serversWhenFaulty = 3
	// warmUp is the shortest time to wait until a fleet is ready; maxWarmUp is
	// how much longer to wait at most.
	warmUp    = 8 * time.Second
	maxWarmUp = 60 * time.Second
	// drainTime is how long to wait for the last version to become active.
	drainTime = 6 * time.Second
	// firstVersion is the version in the nodes' bundle file.
	firstVersion = 1
)

// Run runs a scenario.
func Run(ctx context.Context, sc Scenario) (Point, error) {
	f, err := newFleet(sc)
	if err != nil {
		return Point{}, err
	}
	defer f.Close()
	if err := startAndWaitReady(ctx, f, sc); err != nil {
		return Point{}, err
	}
	r := &measurement{Fleet: f, sc: sc}
	if err := r.run(ctx); err != nil {
		return Point{}, err
	}
	return r.point(), nil
}

func newFleet(sc Scenario) (*lab.Fleet, error) {
	cfg := lab.Config{Network: lab.Loopback{}, Nodes: sc.Nodes, Domains: sc.Domains, Services: 1, InitialVersion: firstVersion}
	cfg.Tuning.AcceptUnconfirmedAfter = time.Second // the whole fleet starts at once here
	cfg.Tuning.AllProcessesRead = sc.Mode == ModeWatch
	if sc.Fault == FaultStaleAndDown {
		cfg.Services, cfg.ServerPerDomain = serversWhenFaulty, true
	}
	return lab.New(cfg)
}

// startAndWaitReady starts the fleet, waits until all nodes are ready and
// injects the fault.
func startAndWaitReady(ctx context.Context, f *lab.Fleet, sc Scenario) error {
	if err := f.Publish(firstVersion); err != nil {
		return errors.Wrap(err, "publish")
	}
	if err := f.StartAll(); err != nil {
		return err
	}
	if !sleep(ctx, warmUp) {
		return ctx.Err()
	}
	for began := time.Now(); time.Since(began) < maxWarmUp; {
		if allReady(f, sc) {
			return injectFault(f, sc)
		}
		if !sleep(ctx, time.Second) {
			return ctx.Err()
		}
	}
	return errors.Newf("the fleet wasn't ready after %s", maxWarmUp)
}

// allReady says whether all nodes are ready and, with ModePeers, confirmed.
func allReady(f *lab.Fleet, sc Scenario) bool {
	for _, p := range f.Processes {
		r := p.Node().Readiness()
		if !r.Ready || sc.Mode == ModePeers && !r.Confirmed {
			return false
		}
	}
	return true
}

func injectFault(f *lab.Fleet, sc Scenario) error {
	if sc.Fault != FaultStaleAndDown {
		return nil
	}
	f.Servers[1].SetDown(true)
	return f.Servers[0].Pin(rollout.KeyManifest, 1)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// measurement is a running measurement.
type measurement struct {
	*lab.Fleet
	sc            Scenario
	mu            sync.Mutex  // guards restarts
	published     []time.Time // of versions 2 and up
	restarts      []restart
	startCounters counters
	endCounters   counters
}

// restart is a restarted node.
type restart struct {
	proc          *lab.Process
	at            time.Time
	versionBefore uint64
}

// counters is a reading of all counters.
type counters struct {
	at      time.Time
	cpu     time.Duration
	calls   int
	limited int
	bytes   []uint64 // by node
}

func (r *measurement) readCounters() counters {
	out := counters{at: time.Now(), cpu: cpuTime()}
	for _, s := range r.Servers {
		stats := s.Stats()
		out.calls += stats.Calls
		out.limited += stats.Limited
	}
	for _, p := range r.Processes {
		out.bytes = append(out.bytes, p.Traffic().Received()+p.Traffic().Sent())
	}
	return out
}

// cpuTime returns the CPU time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // can't fail for the own process
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// run publishes a version at each interval and restarts nodes in between.
func (r *measurement) run(ctx context.Context) error {
	r.startCounters = r.readCounters()
	restarts := int(r.sc.RestartShare * float64(r.sc.Nodes))
	var restarting errgroup.Group
	for i := range r.sc.Changes {
		due := r.startCounters.at.Add(time.Duration(i) * r.sc.Every)
		if !sleep(ctx, time.Until(due)) {
			return ctx.Err()
		}
		r.published = append(r.published, time.Now())
		if err := r.Publish(uint64(firstVersion + 1 + i)); err != nil {
			return errors.Wrap(err, "publish")
		}
		for n := i * restarts / r.sc.Changes; n < (i+1)*restarts/r.sc.Changes; n++ {
			p := r.Processes[n*len(r.Processes)/max(1, restarts)]
			restarting.Go(func() error { return r.restart(p) })
		}
		if err := restarting.Wait(); err != nil {
			return err
		}
	}
	if !sleep(ctx, r.sc.Every) {
		return ctx.Err()
	}
	r.endCounters = r.readCounters()
	sleep(ctx, drainTime)
	return ctx.Err()
}

// restart stops a node and starts it again without its state.
func (r *measurement) restart(p *lab.Process) error {
	one := restart{proc: p, versionBefore: p.Version()}
	p.Stop()
	one.at = time.Now()
	if err := p.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarts = append(r.restarts, one)
	return nil
}
