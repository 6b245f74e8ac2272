// Package lab runs a fleet of rollout nodes in one process, over a given
// network: in memory for tests, loopback for measurements. It publishes
// versions, stops and restarts nodes, and records when each version became
// active at each of them.
package lab

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coveferry/internal/bundle"
	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/rollout"
	"coveferry/internal/standin/configsvc"
)

// Network connects the processes of a fleet.
type Network interface {
	// Listen opens the listener of a named process; the network chooses the
	// address if it is empty.
	Listen(name, address string) (net.Listener, error)
	// Dialer returns the dial function of a named process.
	Dialer(name string) control.Dial
}

// Config describes a fleet.
type Config struct {
	Network Network
	// Nodes and Domains are the numbers of processes and failure domains.
	Nodes, Domains int
	// Services is the number of servers of the configuration service.
	Services int
	// ServerPerDomain assigns one server to each failure domain, round-robin;
	// otherwise every process knows all servers.
	ServerPerDomain bool
	// ReadsPerSecond limits the calls per second at each server; 0 is the
	// default of the stand-in.
	ReadsPerSecond float64
	Tuning         rollout.Tuning
	// InitialVersion is the version in the bundle file of each node; 0 means no
	// file.
	InitialVersion uint64
	Log            zerolog.Logger
}

// routerInterval makes every eighth node a router; the others are agents.
const routerInterval = 8

// Fleet is a fleet of nodes. Its methods, other than those of Process, aren't
// safe for concurrent use.
type Fleet struct {
	cfg       Config
	authority *identity.Authority
	Key       bundle.PrivateKey
	public    bundle.PublicKey
	template  bundle.Bundle
	Servers   []*Server
	Processes []*Process
}

// Server is one server of the configuration service.
type Server struct {
	*configsvc.Service
	http      *http.Server
	url       *url.URL
	published map[bundle.Digest]bool // sections published so far
}

// New returns a fleet whose nodes aren't started yet.
func New(cfg Config) (*Fleet, error) {
	authority, err := identity.Ephemeral(identity.WithClock(time.Now))
	if err != nil {
		return nil, errors.Wrap(err, "lab")
	}
	f := &Fleet{cfg: cfg, authority: authority}
	if f.public, f.Key, err = bundle.GenerateKey(rand.Reader); err != nil {
		return nil, errors.Wrap(err, "lab")
	}
	for i := range cfg.Services {
		if err := f.addServer(i); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Nodes {
		if err := f.addProcess(i); err != nil {
			return nil, err
		}
	}
	f.template = f.newTemplate()
	return f, nil
}

func (f *Fleet) addServer(i int) error {
	name := fmt.Sprintf("service-%d", i)
	l, err := f.cfg.Network.Listen(name, "")
	if err != nil {
		return errors.Wrap(err, "lab")
	}
	svc := configsvc.New(configsvc.Config{ReadsPerSecond: f.cfg.ReadsPerSecond})
	s := &Server{Service: svc, http: &http.Server{Handler: svc.Handler()}, url: &url.URL{Scheme: "http", Host: l.Addr().String()}, published: make(map[bundle.Digest]bool)}
	f.Servers = append(f.Servers, s)
	go func() { _ = s.http.Serve(l) }() // ends on Close
	return nil
}

func (f *Fleet) addProcess(i int) error {
	peer := identity.Peer{Role: identity.RoleAgent, Name: fmt.Sprintf("node-%d", i)}
	if i%routerInterval == 0 {
		peer.Role = identity.RoleRouter
	}
	l, err := f.cfg.Network.Listen(peer.Name, "")
	if err != nil {
		return errors.Wrap(err, "lab")
	}
	id, err := f.authority.Identity(peer.Role, peer.Name)
	if err != nil {
		return errors.Wrap(err, "lab")
	}
	f.Processes = append(f.Processes, &Process{
		fleet: f, identity: id, listener: l, domain: i % f.cfg.Domains,
		Member: rollout.Member{
			Peer: peer, Address: l.Addr().String(),
			FailureDomain: fmt.Sprintf("domain-%d", i%f.cfg.Domains), Region: "local",
		},
	})
	return nil
}

// Public returns the key that the nodes trust.
func (f *Fleet) Public() bundle.PublicKey { return f.public }

// Operator returns a new operator identity.
func (f *Fleet) Operator() (*identity.Identity, error) {
	return f.authority.Identity(identity.RoleOperator, "operator")
}

// StartAll starts all nodes that aren't running.
func (f *Fleet) StartAll() error {
	for _, p := range f.Processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close stops all nodes and servers.
func (f *Fleet) Close() {
	var stops sync.WaitGroup
	for _, p := range f.Processes {
		stops.Go(p.Stop)
	}
	stops.Wait()
	for _, s := range f.Servers {
		_ = s.http.Close() // the nodes are stopped already
	}
}

// Process is one process. It can be stopped and restarted, and loses its state
// on each stop.
type Process struct {
	rollout.Member
	// NoFile says that the process has no bundle file.
	NoFile   bool
	fleet    *Fleet
	identity *identity.Identity
	listener net.Listener
	domain   int

	mu              sync.Mutex
	current         *incarnation
	ready           map[int]ReadyEvent // by incarnation
	appliedVersions []Applied
	traffic         control.Traffic
}

// Applied is a version that became active.
type Applied struct {
	Version uint64
	At      time.Time
	// Incarnation counts the starts of the process, from 1.
	Incarnation int
}

// ReadyEvent is the first readiness of a process in an incarnation.
type ReadyEvent struct {
	rollout.Readiness
	Version uint64
	At      time.Time
}

// incarnation is the state of a process from a start to a stop.
type incarnation struct {
	number int
	node   *rollout.Node
	srv    *control.Server
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start starts the process, unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && p.current.cancel != nil {
		return nil
	}
	if p.listener == nil {
		l, err := p.fleet.cfg.Network.Listen(p.Peer.Name, p.Address)
		if err != nil {
			return errors.Wrap(err, "lab: listen again")
		}
		p.listener = l
	}
	number := 1
	if p.current != nil {
		number += p.current.number
	}
	p.current = p.newIncarnation(number)
	return nil
}

func (p *Process) newIncarnation(number int) *incarnation {
	f := p.fleet
	dial := f.cfg.Network.Dialer(p.Peer.Name)
	services := p.services(p.traffic.WrapDial(dial))
	inc := &incarnation{number: number}
	inc.node = rollout.New(rollout.Config{
		Self: p.Member, Keys: []bundle.PublicKey{f.public},
		Client:      control.ClientConfig{Identity: p.identity, Dial: dial, Traffic: &p.traffic, Log: f.cfg.Log},
		Services:    services,
		Apply:       func(s *bundle.Snapshot) { p.recordApplied(s.Version(), number) },
		OnReadiness: func(r rollout.Readiness) { p.recordReady(r, number) },
		Tuning:      f.cfg.Tuning,
		Log:         f.cfg.Log.With().Str("node", p.Peer.Name).Logger(),
	})
	inc.srv = control.NewServer(control.ServerConfig{
		Listener: p.listener, Identity: p.identity, Roles: identity.Roles(), Traffic: &p.traffic, Log: f.cfg.Log,
	})
	p.listener = nil
	inc.node.Register(inc.srv)
	ctx, cancel := context.WithCancel(context.Background())
	inc.cancel = cancel
	inc.wg.Go(func() { _ = inc.srv.Run() })
	inc.wg.Go(func() {
		if f.cfg.InitialVersion > 0 && !p.NoFile {
			_ = inc.node.AcceptFile(f.signedFile(f.cfg.InitialVersion)) // the node logs refusals
		}
		_ = inc.node.Run(ctx) // ends with ctx, without an error
		for _, s := range services {
			s.Close()
		}
	})
	return inc
}

func (p *Process) services(dial control.Dial) []*rollout.ServiceClient {
	f := p.fleet
	var out []*rollout.ServiceClient
	for i, s := range f.Servers {
		if !f.cfg.ServerPerDomain || p.domain%len(f.Servers) == i {
			out = append(out, rollout.NewServiceClient(s.url, dial))
		}
	}
	return out
}

func (p *Process) recordApplied(version uint64, number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appliedVersions = append(p.appliedVersions, Applied{Version: version, At: time.Now(), Incarnation: number})
}

func (p *Process) recordReady(r rollout.Readiness, number int) {
	version := p.Version()
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.ready[number]; known || !r.Ready {
		return
	}
	if p.ready == nil {
		p.ready = make(map[int]ReadyEvent)
	}
	p.ready[number] = ReadyEvent{Readiness: r, Version: version, At: time.Now()}
}

// FirstReady returns how the process first became ready since its last start,
// and false if it hasn't yet.
func (p *Process) FirstReady() (ReadyEvent, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.ready[p.current.number]
	return r, ok
}

// Stop stops the process at once, if it is running. Its state is lost.
func (p *Process) Stop() {
	p.mu.Lock()
	inc := p.current
	if inc == nil || inc.cancel == nil {
		p.mu.Unlock()
		return
	}
	cancel := inc.cancel
	inc.cancel = nil
	p.mu.Unlock()
	cancel()
	_ = inc.srv.Stop() // the listener may be closed already
	inc.wg.Wait()
}

// Node returns the node of the last start.
func (p *Process) Node() *rollout.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current.node
}

// Running says whether the process is running.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current != nil && p.current.cancel != nil
}

// AppliedVersions returns the versions that became active so far, in order.
func (p *Process) AppliedVersions() []Applied {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Applied(nil), p.appliedVersions...)
}

// Identity returns the process's certificate.
func (p *Process) Identity() *identity.Identity { return p.identity }

// Version returns the active version, 0 for none.
func (p *Process) Version() uint64 {
	if h := p.Node().Active(); h != nil {
		return h.Summary.Version
	}
	return 0
}

// Traffic counts the bytes of the process on the control channel and with the
// configuration service.
func (p *Process) Traffic() *control.Traffic { return &p.traffic }
