package membership

import (
	"context"
	"sync"
	"time"
)

// RunChecks checks at each interval the endpoints that are due then, until ctx ends. Checks run beside each
// other and beside the next interval's. It returns once all have ended.
func RunChecks(ctx context.Context, interval time.Duration, due func(now time.Time) []string, check func(ctx context.Context, endpoint string)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, endpoint := range due(now) {
				wg.Go(func() { check(ctx, endpoint) })
			}
		}
	}
}
