package daemon

import (
	"context"
	"time"

	"coveferry/internal/hangup"
)

const (
	// settingsPollInterval is the interval at which the settings file is read again without a
	// signal.
	settingsPollInterval = 5 * time.Second
)

// followSettings reloads the settings on each SIGHUP, and periodically because they may change
// without a signal. New bounds on keys, stops and retries apply; addresses, the timing of
// source reads and the retry window keep their values from startup.
func (d *directRouter) followSettings(ctx context.Context) {
	hangups := hangup.Received()
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			d.reload(true)
		case <-tick.C:
			d.reload(false)
		}
	}
}

// reload applies the bounds of the settings. If requested is true, an operator asked for it,
// and the result is logged even without a change.
func (d *directRouter) reload(requested bool) {
	bounds, err := d.cfg.Reload()
	if err != nil {
		d.log.Error().Err(err).Msg("reloading settings failed; keeping the old ones")
		return
	}
	changed := bounds != *d.bounds.Load()
	d.bounds.Store(&bounds)
	d.retries.SetLimits(retryShares(bounds))
	if requested || changed {
		d.log.Info().Bool("changed", changed).Dur("max_key_age", d.maxKeyAge()).Msg("settings read again")
	}
}
