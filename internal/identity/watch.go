package identity

import (
	"context"
	"time"
)

// Watch reloads the files every interval until ctx ends, and calls report with
// each error. It reads three small files each time. An interval of a minute is
// short enough, because certificates are replaced days before they expire.
func (id *Identity) Watch(ctx context.Context, interval time.Duration, report func(error)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if err := id.Reload(); err != nil {
				report(err)
			}
		}
	}
}
