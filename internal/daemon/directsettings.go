package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	// settingsTick is the time between two readings of the settings file without
	// a signal.
	settingsTick = 5 * time.Second
)

// followSettings reads the settings again at each SIGHUP, and from time to time
// without one, as they may change silently. The bounds on keys, stops and retries then
// hold; addresses, the pace of reading and the window of retries are those of the start.
func (d *directRouter) followSettings(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	tick := time.NewTicker(settingsTick)
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

// reload puts the bounds of the settings in force. asked says that an operator
// waits for a word.
func (d *directRouter) reload(asked bool) {
	bounds, err := d.cfg.Reload()
	if err != nil {
		d.log.Error().Err(err).Msg("settings could not be read again; the old ones stay")
		return
	}
	changed := bounds != *d.bounds.Load()
	d.bounds.Store(&bounds)
	d.retries.SetLimits(retryShares(bounds))
	if asked || changed {
		d.log.Info().Bool("changed", changed).Dur("max_key_age", d.maxKeyAge()).Msg("settings read again")
	}
}
