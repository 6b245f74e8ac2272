// Package onplatform connects a direct router with the platform on which it runs. Packages
// daemon and platform don't import each other.
package onplatform

import (
	"net/netip"

	"coveferry/internal/daemon"
	"coveferry/platform"
)

// Config returns the configuration of a router on the platform from the settings file at path.
// If metricsPort is 0, no metrics are served. The error is a *platform.SettingsError.
func Config(path string, metricsPort int) (daemon.DirectConfig, error) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return daemon.DirectConfig{}, err
	}
	cfg := daemon.DirectConfig{
		VM:            s.VM,
		FailureDomain: s.FailureDomain,
		Regions:       s.Regions,
		Seeds:         s.Seeds,
		Cores:         s.Cores,
		LinkMbps:      s.LinkMbps,
		Memory:        s.MemoryBytes,
		Callers:       s.CallerAddr.String(),
		Ready:         s.ReadyAddr.String(),
		ReadyPattern:  platform.ReadyPattern,
		Store:         platform.NewStore(s.StoreAddr.String(), s.MaxValueBytes),
		Protocol:      platform.Protocol{},
		Health:        platform.Health,
		Running:       platform.Running,
		Bounds:        boundsOf(s),
		Reload:        func() (daemon.DirectBounds, error) { return reload(path) },
	}
	if s.ControlAddr.IsValid() {
		cfg.Control = s.ControlAddr.String()
	}
	if metricsPort > 0 {
		cfg.Metrics = netip.AddrPortFrom(s.IP, uint16(metricsPort)).String()
	}
	return cfg, nil
}

func reload(path string) (daemon.DirectBounds, error) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return daemon.DirectBounds{}, err
	}
	return boundsOf(s), nil
}

func boundsOf(s *platform.Settings) daemon.DirectBounds {
	return daemon.DirectBounds{
		RevokeWithin:     s.RevokeWithin,
		DrainWithin:      s.DrainWithin,
		ConfigWithin:     s.ConfigWithin,
		StopWithin:       s.StopWithin,
		RetryRatioStated: s.RetryRatioStated,
		RetryRatio:       s.RetryRatio,
		RetryWindow:      s.RetryWindow,
		RetrySlack:       s.RetrySlack,
	}
}
