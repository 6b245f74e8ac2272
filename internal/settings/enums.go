package settings

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// parseEnum stores text in dst if it is one of the allowed values.
func parseEnum[T ~string](dst *T, text []byte, allowed []T) error {
	value := T(text)
	if !slices.Contains(allowed, value) {
		return errors.Newf("must be %s, not %q", quotedAlternatives(allowed), text)
	}
	*dst = value
	return nil
}

// quotedAlternatives formats values as `"a", "b" or "c"`.
func quotedAlternatives[T ~string](values []T) string {
	quoted := make([]string, len(values))
	for i, w := range values {
		quoted[i] = quote(string(w))
	}
	last := len(quoted) - 1
	return strings.Join(quoted[:last], ", ") + " or " + quoted[last]
}

func quote(s string) string { return strconv.Quote(s) }

// BalancePolicy is a policy by which a router selects endpoints.
type BalancePolicy string

// The balance policies; each value is the name of its implementation.
const (
	BalanceLoadAware   BalancePolicy = "load-aware"
	BalanceHotCold     BalancePolicy = "hot-cold"
	BalancePowerOfTwo  BalancePolicy = "power-of-two"
	BalanceLeastLoaded BalancePolicy = "least-loaded"
	BalanceRandom      BalancePolicy = "random"
	BalanceRoundRobin  BalancePolicy = "round-robin"
)

// BalancePolicies lists all balance policies in a fixed order.
func BalancePolicies() []BalancePolicy {
	return []BalancePolicy{
		BalanceLoadAware, BalanceHotCold, BalancePowerOfTwo,
		BalanceLeastLoaded, BalanceRandom, BalanceRoundRobin,
	}
}

// UnmarshalText reads the name of a policy.
func (p *BalancePolicy) UnmarshalText(text []byte) error {
	return parseEnum(p, text, BalancePolicies())
}

// Allowed implements jsonc.Describer.
func (BalancePolicy) Allowed() string { return quotedAlternatives(BalancePolicies()) }

// SchedulerPolicy is a policy by which an agent orders its queue.
type SchedulerPolicy string

// The scheduler policies.
const (
	// SchedulerTiered orders by tier, team and deadline, and reserves time for starving
	// classes.
	SchedulerTiered SchedulerPolicy = "tiered"
	// SchedulerFIFO orders by arrival; it serves as a baseline for comparisons.
	SchedulerFIFO SchedulerPolicy = "fifo"
)

// SchedulerPolicies lists all scheduler policies in a fixed order.
func SchedulerPolicies() []SchedulerPolicy {
	return []SchedulerPolicy{SchedulerTiered, SchedulerFIFO}
}

// UnmarshalText reads the name of a policy.
func (p *SchedulerPolicy) UnmarshalText(text []byte) error {
	return parseEnum(p, text, SchedulerPolicies())
}

// Allowed implements jsonc.Describer.
func (SchedulerPolicy) Allowed() string { return quotedAlternatives(SchedulerPolicies()) }

// EngineKind is the kind of back end of an agent.
type EngineKind string

// The kinds of back end.
const (
	KindEngine  EngineKind = "engine"  // a model engine
	KindService EngineKind = "service" // a plain HTTP service
)

// EngineKinds lists all kinds in a fixed order.
func EngineKinds() []EngineKind { return []EngineKind{KindEngine, KindService} }

// UnmarshalText reads the name of a kind.
func (k *EngineKind) UnmarshalText(text []byte) error { return parseEnum(k, text, EngineKinds()) }

// Allowed implements jsonc.Describer.
func (EngineKind) Allowed() string { return quotedAlternatives(EngineKinds()) }

// LogLevel is the lowest level that is logged; the names are zerolog's.
type LogLevel string

// The log levels.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// LogLevels lists all levels in a fixed order.
func LogLevels() []LogLevel { return []LogLevel{LogDebug, LogInfo, LogWarn, LogError} }

// UnmarshalText reads the name of a level.
func (l *LogLevel) UnmarshalText(text []byte) error { return parseEnum(l, text, LogLevels()) }

// Allowed implements jsonc.Describer.
func (LogLevel) Allowed() string { return quotedAlternatives(LogLevels()) }

// LogFormat is the encoding of log lines.
type LogFormat string

// The log formats.
const (
	FormatJSON    LogFormat = "json"    // one object a line, for collectors
	FormatConsole LogFormat = "console" // for people
)

// LogFormats lists all formats in a fixed order.
func LogFormats() []LogFormat { return []LogFormat{FormatJSON, FormatConsole} }

// UnmarshalText reads the name of a format.
func (f *LogFormat) UnmarshalText(text []byte) error { return parseEnum(f, text, LogFormats()) }

// Allowed implements jsonc.Describer.
func (LogFormat) Allowed() string { return quotedAlternatives(LogFormats()) }
