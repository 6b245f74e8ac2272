package client

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"coveferry/internal/bench/arrivals"
	"coveferry/internal/clock"
)

// RunResult is the result of sending a list of arrivals.
type RunResult struct {
	// Outcomes are in the order of the arrivals. After an interruption, those of
	// arrivals that were not sent are missing.
	Outcomes []Outcome
	// LimitHit counts arrivals that were not sent because of Options.MaxOpen. A
	// result is valid only if it is 0.
	LimitHit int
	// MaxOpen is the maximum number of concurrently open requests.
	MaxOpen int
}

// Doer sends one request.
type Doer interface {
	Do(ctx context.Context, a arrivals.Arrival) Outcome
}

// Options of Run.
type Options struct {
	// Start is the time that arrivals are relative to.
	Start time.Time
	// MaxOpen bounds the open requests, to protect the bench process.
	MaxOpen int
	// Progress, if set, is called after each request.
	Progress func()
}

// Run sends each arrival at its time, in a separate goroutine and independent of
// earlier answers, and waits until all have ended.
func Run(ctx context.Context, d Doer, list []arrivals.Arrival, opt Options) RunResult {
	var (
		wg       sync.WaitGroup
		open     atomic.Int64
		result   RunResult
		outcomes = make([]Outcome, len(list))
	)
	sent := 0
	for i, a := range list {
		if !WaitUntil(ctx, opt.Start.Add(a.At)) {
			break
		}
		sent++
		if int(open.Load()) >= opt.MaxOpen {
			result.LimitHit++
			outcomes[i] = Outcome{ID: a.ID, Due: a.At, Sent: a.At, Ended: a.At, End: EndInterrupted}
			continue
		}
		result.MaxOpen = max(result.MaxOpen, int(open.Add(1)))
		wg.Go(func() {
			defer open.Add(-1)
			outcomes[i] = d.Do(ctx, a)
			if opt.Progress != nil {
				opt.Progress()
			}
		})
	}
	wg.Wait()
	result.Outcomes = outcomes[:sent]
	return result
}

// WaitUntil waits until a time; it returns false if ctx ends first.
func WaitUntil(ctx context.Context, at time.Time) bool {
	return ctx.Err() == nil && clock.Sleep(ctx, time.Until(at))
}
