package settings

import (
	"net/netip"
	"time"

	"coveferry/internal/units"
)

// Standalone holds the settings of a standalone run: a router, agents and stand-in engines in
// one process. Every key has a default.
type Standalone struct {
	Role Role `json:"role"`
	// Listen is the address for callers.
	Listen Address `json:"listen"`
	// MetricsListen serves /metrics, /healthz, /readyz and /slo.
	MetricsListen Address `json:"metrics_listen"`
	// BundleFile is the bundle to use; empty means the embedded one.
	BundleFile File `json:"bundle_file"`
	// Engines is the number of stand-in engines, each with its own agent.
	Engines int `json:"engines"`
	// Slots is the number of requests that an engine runs concurrently.
	Slots int `json:"slots"`
	// TokenTime is the time an engine takes per token.
	TokenTime units.Duration `json:"token_time"`
	// PrefixCacheTokens bounds an engine's prefix cache; 0 means no cache.
	PrefixCacheTokens int `json:"prefix_cache_tokens"`

	Scheduler Scheduler `json:"scheduler"`
	Limits    Limits    `json:"limits"`
	Retry     Retry     `json:"retry"`
	Balance   Balance   `json:"balance"`
	Shutdown  Shutdown  `json:"shutdown"`
	Log       Log       `json:"log"`
}

// Limits of a standalone run's settings.
const (
	maxEngines           = 256
	maxSlots             = 4096
	minTokenTime         = units.Duration(100 * time.Microsecond)
	maxTokenTime         = units.Duration(10 * time.Second)
	maxPrefixCacheTokens = 1 << 24
)

// Default ports of a standalone run, on the loopback interface.
const (
	defaultPort        = 8080
	defaultMetricsPort = 8090
)

func onLoopback(port uint16) Address {
	return Address{netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)}
}

// DefaultStandalone returns the settings of an empty file.
func DefaultStandalone() Standalone {
	router := DefaultRouter()
	return Standalone{
		Role:              RoleStandalone,
		Listen:            onLoopback(defaultPort),
		MetricsListen:     onLoopback(defaultMetricsPort),
		Engines:           3,
		Slots:             8,
		TokenTime:         units.Duration(20 * time.Millisecond),
		PrefixCacheTokens: 1 << 16,
		Scheduler:         defaultScheduler(),
		Limits:            router.Limits,
		Retry:             router.Retry,
		Balance:           router.Balance,
		Shutdown:          Shutdown{StreamsGrace: units.Duration(30 * time.Second)},
		Log:               Log{Level: LogInfo, Format: FormatConsole},
	}
}

func (s *Standalone) role() Role { return RoleStandalone }

func (s *Standalone) checks() []checkResult {
	results := []checkResult{
		distinctAddress("metrics_listen", s.MetricsListen, s.Listen),
		between("engines", s.Engines, 1, maxEngines),
		between("slots", s.Slots, 1, maxSlots),
		between("token_time", s.TokenTime, minTokenTime, maxTokenTime),
		between("prefix_cache_tokens", s.PrefixCacheTokens, 0, maxPrefixCacheTokens),
	}
	results = append(results, s.Scheduler.checks()...)
	results = append(results, s.Limits.checks()...)
	results = append(results, s.Retry.checks()...)
	results = append(results, s.Balance.checks()...)
	return append(results, s.Shutdown.checks()...)
}

func (s *Standalone) files() []*File { return []*File{&s.BundleFile} }
