package daemon

import (
	"time"

	"coveferry/internal/server"
)

// Timing of a direct router's shutdown.
const (
	// noticeShare of StopWithin is the longest time before a stopping router refuses new
	// requests.
	noticeShare = 0.33
	// directNotice is how long the load balancer may still send connections after the router
	// reports not ready: two readiness checks, one second apart.
	directNotice = 2500 * time.Millisecond
	// directMargin is the time left for telling callers that their responses end early, and
	// again for the process to exit.
	directMargin = 400 * time.Millisecond
	// directLinger is how long a connection must be idle before a stopping router closes it.
	directLinger = 300 * time.Millisecond
)

// stopPlan returns the shutdown plan for a router that must exit within the given time.
func stopPlan(within time.Duration) server.ShutdownPlan {
	notice := min(directNotice, time.Duration(noticeShare*float64(within)))
	return server.ShutdownPlan{DrainTime: notice, Grace: within - notice - directMargin, HandoverMargin: directMargin}
}
