package settings

import (
	"slices"
	"time"

	"aead.dev/minisign"

	"coveferry/internal/units"
)

// Process holds the settings that routers and agents have in common.
type Process struct {
	Role Role `json:"role" jsonc:"required"`
	// Listen is the address for requests: from callers at a router, from routers at an agent.
	Listen Address `json:"listen" jsonc:"required"`
	// ControlListen is the address for other processes of the system.
	ControlListen Address `json:"control_listen" jsonc:"required"`
	// MetricsListen serves /metrics, /healthz and /readyz.
	MetricsListen Address `json:"metrics_listen" jsonc:"required"`

	// VM, FailureDomain and Region are the location of the process.
	VM            Name `json:"vm" jsonc:"required"`
	FailureDomain Name `json:"failure_domain" jsonc:"required"`
	Region        Name `json:"region" jsonc:"required"`

	// BundleFile is the bundle to start with; its signature is in a file of the same name with
	// ".minisig" appended. Empty means none.
	BundleFile File `json:"bundle_file"`
	// ConfigService lists the servers of the configuration service from which bundles are
	// read; empty means that none is used.
	ConfigService []URL `json:"config_service"`

	Trust Trust `json:"trust" jsonc:"required"`
	Log   Log   `json:"log"`
}

// Trust holds the keys and authorities that a process trusts, and its own certificate.
type Trust struct {
	// BundleKeys verify bundles; a signature by one of them is enough.
	BundleKeys []PublicKey `json:"bundle_keys" jsonc:"required"`
	// CAFile holds the certificate authorities, in PEM, of the system's processes.
	CAFile File `json:"ca_file" jsonc:"required"`
	// CertFile and KeyFile are the process's own certificate and key, in PEM.
	CertFile File `json:"cert_file" jsonc:"required"`
	KeyFile  File `json:"key_file" jsonc:"required"`
}

// Keys returns the bundle keys as minisign keys.
func (t Trust) Keys() []minisign.PublicKey {
	keys := make([]minisign.PublicKey, len(t.BundleKeys))
	for i, k := range t.BundleKeys {
		keys[i] = k.PublicKey
	}
	return keys
}

// Log configures logging.
type Log struct {
	Level  LogLevel  `json:"level"`
	Format LogFormat `json:"format"`
}

// Limits that several roles share.
const (
	maxGrace         = units.Duration(24 * time.Hour)
	maxBundleKeys    = 16
	maxConfigService = 16
)

func defaultProcess(role Role) Process {
	return Process{Role: role, Log: Log{Level: LogInfo, Format: FormatJSON}}
}

func (p *Process) checks() []checkResult {
	return []checkResult{
		distinctAddress("control_listen", p.ControlListen, p.Listen),
		distinctAddress("metrics_listen", p.MetricsListen, p.Listen, p.ControlListen),
		condition("bundle_file", p.BundleFile != "" || len(p.ConfigService) > 0,
			"missing; give bundle_file, config_service or both, or there is no bundle to serve by"),
		countBetween("config_service", len(p.ConfigService), 0, maxConfigService),
		countBetween("trust.bundle_keys", len(p.Trust.BundleKeys), 1, maxBundleKeys),
	}
}

func (p *Process) files() []*File {
	return []*File{&p.BundleFile, &p.Trust.CAFile, &p.Trust.CertFile, &p.Trust.KeyFile}
}

// distinctAddress requires an address that doesn't overlap with the others.
func distinctAddress(path string, a Address, others ...Address) checkResult {
	inUse := slices.ContainsFunc(others, a.overlaps)
	return condition(path, !inUse, "must be an address of its own; "+a.String()+" is listened on already")
}

// countBetween bounds the length of a list.
func countBetween(path string, n, low, high int) checkResult {
	r := between(path, n, low, high)
	r.allowed += " elements"
	r.message = "must have " + r.allowed + ", not " + formatValue(n)
	return r
}
