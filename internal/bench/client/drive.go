package client

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"coveferry/internal/bench/arrivals"
	"coveferry/internal/clock"
)

// Drive is the record of a whole list of arrivals.
type Drive struct {
	// Outcomes are in the order of the arrivals. After an interruption those
	// that were not sent are missing at the end.
	Outcomes []Outcome
	// LimitHit counts arrivals that were not sent because too many requests
	// were open in the bench itself. It must be 0 for a result to count.
	LimitHit int
	// MaxOpen is the most requests that were open at once.
	MaxOpen int
}

// Doer sends one request.
type Doer interface {
	Do(ctx context.Context, a arrivals.Arrival) Outcome
}

// Options of Run.
type Options struct {
	// Start is the moment that arrivals count from.
	Start time.Time
	// MaxOpen bounds the open requests, as a safety of the bench.
	MaxOpen int
	// Progress is told of each request that ended, if set.
	Progress func()
}

// Run sends each arrival at its moment, in a goroutine of its own, whatever
// became of those before, and waits until all have ended.
func Run(ctx context.Context, d Doer, list []arrivals.Arrival, opt Options) Drive {
	var (
		wg      sync.WaitGroup
		open    atomic.Int64
		drive   Drive
		results = make([]Outcome, len(list))
	)
	sent := 0
	for i, a := range list {
		if !WaitUntil(ctx, opt.Start.Add(a.At)) {
			break
		}
		sent++
		if int(open.Load()) >= opt.MaxOpen {
			drive.LimitHit++
			results[i] = Outcome{ID: a.ID, Due: a.At, Sent: a.At, Ended: a.At, End: EndInterrupted}
			continue
		}
		drive.MaxOpen = max(drive.MaxOpen, int(open.Add(1)))
		wg.Go(func() {
			defer open.Add(-1)
			results[i] = d.Do(ctx, a)
			if opt.Progress != nil {
				opt.Progress()
			}
		})
	}
	wg.Wait()
	drive.Outcomes = results[:sent]
	return drive
}

// WaitUntil waits for a moment; it reports false if ctx ended first.
func WaitUntil(ctx context.Context, at time.Time) bool {
	return ctx.Err() == nil && clock.Sleep(ctx, time.Until(at))
}
