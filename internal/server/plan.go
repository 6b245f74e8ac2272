package server

import "time"

// Plan is how a process stops without cutting off what it holds.
type Plan struct {
	// Notice is how long new requests are still answered, by a refusal or
	// with "Connection: close", so that none meets a closing connection
	// before its sender knows.
	Notice time.Duration
	// Grace is how long requests under way may go on after that.
	Grace time.Duration
	// Margin is how long before the end of Grace the last call is made for
	// what still runs, at most half of Grace.
	Margin time.Duration
	// Linger is the Linger of the server that stops by this plan.
	Linger time.Duration
}

// LastCall is when the last call is made, counted from the end of Notice. It is
// as late as can be, since what ends by itself until then needs none.
func (p Plan) LastCall() time.Duration { return p.Grace - min(p.Margin, p.Grace/2) }

// Run carries the plan out. leave begins the notice, lastCall deals with what
// still runs, and stop closes the listener and waits for Grace at most.
func (p Plan) Run(leave, handOver func(), stop func() error) error {
	leave()
	time.Sleep(p.Notice)
	timer := time.AfterFunc(p.LastCall(), handOver)
	defer timer.Stop()
	return stop()
}
