package daemon

import (
	"time"

	"coveferry/internal/server"
)

// Timing of a direct router's shutdown.
const (
	// drainShare of StopWithin is the longest time before a stopping router refuses new
	// requests.
	drainShare = 0.33
	// directDrainTime is how long the load balancer may still send connections after the router
	// reports not ready: two readiness checks, one second apart.
	directDrainTime = 2500 * time.Millisecond
	// directHandoverMargin is the time left for telling callers that their responses end early, and
	// again for the process to exit.
	directHandoverMargin = 400 * time.Millisecond
	// directQuietPeriod is how long a connection must be idle before a stopping router closes it.
	directQuietPeriod = 300 * time.Millisecond
)

// stopPlan returns the shutdown plan for a router that must exit within the given time.
func stopPlan(within time.Duration) server.ShutdownPlan {
	drainTime := min(directDrainTime, time.Duration(drainShare*float64(within)))
	return server.ShutdownPlan{DrainTime: drainTime, Grace: within - drainTime - directHandoverMargin, HandoverMargin: directHandoverMargin}
}
