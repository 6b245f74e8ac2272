package server

import "time"

// ShutdownPlan describes a graceful shutdown of a process.
type ShutdownPlan struct {
	// DrainTime is how long new requests are still answered, with a refusal or
	// "Connection: close", so that no client sends one on a connection that
	// closes without warning.
	DrainTime time.Duration
	// Grace is how long open requests may continue after DrainTime.
	Grace time.Duration
	// HandoverMargin is how long before the end of Grace the requests that
	// still run are handed over, at most half of Grace.
	HandoverMargin time.Duration
	// QuietPeriod is passed to the server as Config.QuietPeriod; Run doesn't
	// use it.
	QuietPeriod time.Duration
}

// HandoverAt returns the time from the end of DrainTime to the handover. It is
// as late as possible, since requests that end before it need no handover.
func (p ShutdownPlan) HandoverAt() time.Duration { return p.Grace - min(p.HandoverMargin, p.Grace/2) }

// SendUntil returns the time from the end of DrainTime until which open requests may still be
// sent on: as much of Grace is left to the last of them.
func (p ShutdownPlan) SendUntil() time.Duration { return p.Grace / 2 }

// Run executes the plan. drain makes the process refuse new requests, handOver
// moves or ends the requests that still run, and stop closes the listener and
// waits at most for Grace.
func (p ShutdownPlan) Run(drain, handOver func(), stop func() error) error {
	drain()
	time.Sleep(p.DrainTime)
	timer := time.AfterFunc(p.HandoverAt(), handOver)
	defer timer.Stop()
	return stop()
}
