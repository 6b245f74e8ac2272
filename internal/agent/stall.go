package agent

import (
	"context"
	"io"
	"time"
)

// stallTime is the maximum time between two tokens of an answer. It doesn't
// apply before the first token, which takes long for a long prompt.
const stallTime = 5 * time.Second

// watchedBody detects an engine that stalls while its connection stays open. Only
// the time spent waiting for the engine counts, not the time spent writing to a
// slow router.
type watchedBody struct {
	io.Reader
	tokenSeen func() bool
	timer     *time.Timer
}

// watchStall returns a reader that calls onStall each time a read waits longer than
// stallTime after the first token of the run. The caller must call stop when it is
// done reading.
func watchStall(body io.Reader, tokenSeen func() bool, onStall func()) (watched *watchedBody, stop func()) {
	timer := time.AfterFunc(stallTime, onStall)
	timer.Stop()
	return &watchedBody{Reader: body, tokenSeen: tokenSeen, timer: timer}, func() { timer.Stop() }
}

// Read implements io.Reader.
func (w *watchedBody) Read(b []byte) (int, error) {
	if !w.tokenSeen() {
		return w.Reader.Read(b)
	}
	w.timer.Reset(stallTime)
	defer w.timer.Stop()
	return w.Reader.Read(b)
}

// handleStall marks the engine as failed. An attempt that may run twice is
// cancelled, so that its router resumes it at another endpoint. Other attempts
// wait for the engine to recover.
func (ag *Agent) handleStall(a *attempt, cancel context.CancelCauseFunc) {
	ag.engine.failures.failed.Store(true)
	if a.movable() {
		cancel(errStalled)
	}
}

// relayWithStallCheck relays an answer, and calls handleStall if the engine stalls.
func (ag *Agent) relayWithStallCheck(a *attempt, job *queuedJob, body io.Reader, cancel context.CancelCauseFunc) error {
	tokensBefore := a.progress.tokens
	tokenSeen := func() bool { return a.progress.tokens > tokensBefore }
	watched, stop := watchStall(body, tokenSeen, func() { ag.handleStall(a, cancel) })
	defer stop()
	return ag.relayStream(a, job, watched)
}
