package settings

import (
	"time"

	"coveferry/internal/units"
)

// Router holds the settings of a router.
type Router struct {
	Process
	Shutdown RouterShutdown `json:"shutdown"`
	Limits   Limits         `json:"limits"`
	Retry    Retry          `json:"retry"`
	Balance  Balance        `json:"balance"`
	// VMList lists the servers of the platform's list of VMs; if empty, the list is learned
	// from other routers only.
	VMList []URL `json:"vm_list"`
}

// RouterShutdown bounds a planned shutdown. It takes BalancerGrace and then at most
// StreamsGrace.
type RouterShutdown struct {
	// BalancerGrace is how long the router reports not ready while still accepting
	// connections, so that the load balancer stops sending them.
	BalancerGrace units.Duration `json:"balancer_grace"`
	// StreamsGrace is how long open responses may then continue.
	StreamsGrace units.Duration `json:"streams_grace"`
}

// Limits bounds the resources that callers can make a router hold.
type Limits struct {
	// HeaderTimeout and BodyTimeout bound the time in which a caller sends the header and the
	// body of a request.
	HeaderTimeout units.Duration `json:"header_timeout"`
	BodyTimeout   units.Duration `json:"body_timeout"`
	// MaxHeaderBytes bounds a request's header. The bundle bounds its body.
	MaxHeaderBytes units.Bytes `json:"max_header_bytes"`
	// MaxConnections bounds callers' open connections.
	MaxConnections int `json:"max_connections"`
	// MaxOpenRequests bounds the concurrent requests over all connections.
	MaxOpenRequests int `json:"max_open_requests"`
	// MaxBodyMemory bounds the total size of buffered bodies.
	MaxBodyMemory units.Bytes `json:"max_body_memory"`
}

// Retry bounds retries of attempts that didn't run.
type Retry struct {
	// MaxAttempts bounds the attempts of one request, including the first.
	MaxAttempts int `json:"max_attempts"`
	// BudgetRatio is the maximum ratio of retries to requests.
	BudgetRatio float64 `json:"budget_ratio"`
}

// Balance configures how a router selects endpoints.
type Balance struct {
	Policy BalancePolicy `json:"policy"`
	// SubsetSize is the number of endpoints of each model that the router uses; 0 means all.
	SubsetSize int `json:"subset_size"`
	// LateBinding queues a request at two endpoints if none is known to have a free slot, and
	// runs it at the first that has one.
	LateBinding bool `json:"late_binding"`
}

// Limits of a router's settings.
const (
	maxBalancerGrace = units.Duration(5 * time.Minute)
	minStreamsGrace  = units.Duration(time.Second)

	minReadTimeout   = units.Duration(100 * time.Millisecond)
	maxHeaderTimeout = units.Duration(time.Minute)
	maxBodyTimeout   = units.Duration(10 * time.Minute)

	minHeaderBytes  = units.Bytes(4 << 10)
	maxHeaderBytes  = units.Bytes(1 << 20)
	maxConnections  = 1_000_000
	maxOpenRequests = 1_000_000
	minBodyMemory   = units.Bytes(1 << 20)
	maxBodyMemory   = units.Bytes(64 << 30)

	maxVMList     = 16
	maxAttempts   = 10
	maxSubsetSize = 10_000
)

// DefaultRouter returns the settings of a router whose file has only the required keys.
func DefaultRouter() Router {
	return Router{
		Process:  defaultProcess(RoleRouter),
		Shutdown: RouterShutdown{BalancerGrace: units.Duration(5 * time.Second), StreamsGrace: defaultStreamsGrace},
		Limits: Limits{
			HeaderTimeout:   units.Duration(5 * time.Second),
			BodyTimeout:     units.Duration(10 * time.Second),
			MaxHeaderBytes:  64 << 10,
			MaxConnections:  20_000,
			MaxOpenRequests: 20_000,
			MaxBodyMemory:   512 << 20,
		},
		Retry:   Retry{MaxAttempts: 3, BudgetRatio: 0.1},
		Balance: defaultBalance(),
	}
}

// defaultStreamsGrace allows for the longest responses.
const defaultStreamsGrace = units.Duration(10 * time.Minute)

func defaultBalance() Balance { return Balance{Policy: BalanceLoadAware, LateBinding: true} }

func (r *Router) role() Role { return RoleRouter }

func (r *Router) checks() []checkResult {
	results := r.Process.checks()
	results = append(results, r.Shutdown.checks()...)
	results = append(results, r.Limits.checks()...)
	results = append(results, r.Retry.checks()...)
	results = append(results, r.Balance.checks()...)
	return append(results, countBetween("vm_list", len(r.VMList), 0, maxVMList))
}

func (s RouterShutdown) checks() []checkResult {
	return []checkResult{
		between("shutdown.balancer_grace", s.BalancerGrace, 0, maxBalancerGrace),
		between("shutdown.streams_grace", s.StreamsGrace, minStreamsGrace, maxGrace),
	}
}

func (l Limits) checks() []checkResult {
	return []checkResult{
		between("limits.header_timeout", l.HeaderTimeout, minReadTimeout, maxHeaderTimeout),
		between("limits.body_timeout", l.BodyTimeout, minReadTimeout, maxBodyTimeout),
		between("limits.max_header_bytes", l.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes),
		between("limits.max_connections", l.MaxConnections, 1, maxConnections),
		between("limits.max_open_requests", l.MaxOpenRequests, 1, maxOpenRequests),
		between("limits.max_body_memory", l.MaxBodyMemory, minBodyMemory, maxBodyMemory),
	}
}

func (r Retry) checks() []checkResult {
	return []checkResult{
		between("retry.max_attempts", r.MaxAttempts, 1, maxAttempts),
		between("retry.budget_ratio", r.BudgetRatio, 0, 1),
	}
}

func (b Balance) checks() []checkResult {
	return []checkResult{between("balance.subset_size", b.SubsetSize, 0, maxSubsetSize)}
}
