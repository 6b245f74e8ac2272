package agent

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/completion"
	"coveferry/internal/sched"
	"coveferry/internal/server"
	"coveferry/internal/sse"
	"coveferry/internal/wire"
)

// attempt is one attempt of a request that a router sent to this agent.
type attempt struct {
	env         wire.Envelope
	size        int       // bytes of the body
	bodyReader  io.Reader // nil once the body has been read
	body        []byte
	contentType string
	deadline    time.Time
	// clockDeadline is the deadline on the agent's Clock.
	clockDeadline time.Time
	progress      progress
	w             http.ResponseWriter
	headerSent    bool     // the answer header was sent
	unflushed     bool     // data was written since the last flush
	flushErr      error    // set by the first flush that failed
	ran           wire.Run // whether the engine ran the attempt, over all runs; empty means RunNot
	runCount      int      // number of times it was sent to the engine
}

// progress is the output of the engine so far, from which an answer is resumed
// after a preemption.
type progress struct {
	// text is dropped once it would be longer than completion.MaxResumableText;
	// tooLong is then set.
	text    strings.Builder
	tooLong bool
	tokens  int
	// lastChunk is the last chunk with text.
	lastChunk string
	// runID is the ID of the answer that the latest run brings; empty before its first chunk with one.
	runID string
	// finished reports whether the engine sent its final chunk.
	finished bool
}

// fits reports whether the text is still kept with that of another chunk.
func (p *progress) fits(more string) bool {
	return !p.tooLong && p.text.Len()+len(more) <= completion.MaxResumableText
}

// add adds the text of a chunk.
func (p *progress) add(text string) {
	if p.fits(text) {
		p.text.WriteString(text)
		return
	}
	p.tooLong = true
	p.text.Reset()
}

// continues reports whether a chunk with an answer's ID is one of the run's answer.
func (p *progress) continues(id string) bool {
	if p.runID == "" {
		p.runID = id
	}
	return id == "" || id == p.runID
}

// job returns the attempt's description for the scheduler.
func (a *attempt) job(now time.Time, engine Engine) sched.Job {
	return sched.Job{
		Team:         a.env.Team,
		Class:        a.env.Class,
		Tier:         a.env.Tier,
		FirstTokenBy: now.Add(time.Duration(a.env.FirstTokenMillis) * time.Millisecond),
		Deadline:     a.deadline,
		Bytes:        a.size,
		Preemptible:  engine.Resume && a.env.Kind != wire.KindService && !a.env.NonIdempotent,
	}
}

// process queues the attempt and runs it at the engine, again after each
// preemption, and returns how it ended. It returns a Refusal instead if the
// attempt ended before the answer's header was sent.
func (ag *Agent) process(ctx context.Context, a *attempt) (wire.Ending, *wire.Refusal) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	job, verdict := ag.queue.offer(a.job(time.Now(), ag.cfg.Engine), a.movable(), cancel)
	if !verdict.Admitted {
		return "", newRefusal(verdict.Reason, verdict.RetryAfter)
	}
	defer ag.queue.finish(job)
	for {
		decision, err := awaitDecision(ctx, job)
		if err != nil {
			return ag.resultOf(a, err)
		}
		if decision.Action == sched.ActionDrop {
			return ag.resultOfDrop(a, decision)
		}
		err = ag.runOnce(ctx, a, job)
		ag.engine.failures.recordResult(err)
		if errors.Is(err, errPreempted) {
			ag.metrics.preempted.WithLabelValues(a.env.Class).Inc()
			if ag.endAtLimit(a) {
				return wire.EndingComplete, nil
			}
			ag.queue.requeue(job)
			continue
		}
		return ag.resultOf(a, err)
	}
}

// awaitDecision waits for the policy's next decision on the job.
func awaitDecision(ctx context.Context, job *queuedJob) (sched.Decision, error) {
	select {
	case decision := <-job.decisions:
		return decision, nil
	case <-ctx.Done():
		return sched.Decision{}, context.Cause(ctx)
	}
}

// runOnce runs the attempt at the engine until it completes, fails or is
// preempted. The error is nil if the engine completed the answer.
func (ag *Agent) runOnce(ctx context.Context, a *attempt, job *queuedJob) error {
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ag.queue.setPreempt(job, cancel)
	if err := a.readBody(); err != nil {
		return err
	}
	if err := ag.checkDeadline(runCtx, a); err != nil {
		return err
	}
	if err := ag.beginKey(a); err != nil {
		return err
	}
	a.runCount++
	a.progress.runID = ""
	resp, ran, err := ag.engine.run(runCtx, a)
	a.recordRun(ran)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	ag.sendHeader(a, resp)
	if a.env.Kind == wire.KindService {
		err = ag.relayService(runCtx, a.w, resp)
	} else {
		err = ag.relayWithStallCheck(a, job, resp.Body, cancel)
	}
	if a.progress.finished {
		return nil // an error after the final chunk doesn't affect the answer
	}
	if cause := context.Cause(runCtx); err != nil && cause != nil {
		return cause
	}
	return err
}

// sendHeader sends the header of the answer, once.
func (ag *Agent) sendHeader(a *attempt, resp *http.Response) {
	if a.headerSent {
		return
	}
	a.headerSent = true
	h := a.w.Header()
	h.Set("Trailer", wire.HeaderEnd)
	h.Set("Content-Type", resp.Header.Get("Content-Type"))
	if a.env.Kind == wire.KindService {
		_ = wire.Encode(h, wire.HeaderStatus, resp.StatusCode) // an integer always encodes
	}
	_ = wire.Encode(h, wire.HeaderLoad, ag.queue.loadReport()) // a report always encodes
	_ = wire.Encode(h, wire.HeaderClock, ag.clockReading())    // a clock reading always encodes
	a.w.WriteHeader(http.StatusOK)
}

// relayStream relays the engine's events unchanged and keeps their text. Events
// that arrive in one read are flushed together. The error is nil if the engine
// completed the answer.
func (ag *Agent) relayStream(a *attempt, job *queuedJob, body io.Reader) error {
	err := ag.relayEvents(a, job, body)
	if flushErr := a.flush(); flushErr != nil {
		return flushErr
	}
	return err
}

func (ag *Agent) relayEvents(a *attempt, job *queuedJob, body io.Reader) error {
	for event, err := range sse.ReadBatches(body, a.flush) {
		if err != nil {
			return errors.Mark(err, errCutOff)
		}
		if event.Data == sse.Done {
			break
		}
		if err := ag.applyChunk(a, job, event); err != nil {
			return err
		}
		if err := a.send(event.Data); err != nil {
			return err
		}
	}
	if !a.progress.finished {
		return errCutOff
	}
	return a.send(sse.Done)
}

// send writes an event for the router; flush sends it.
func (a *attempt) send(data string) error {
	a.unflushed = true
	return errors.Mark(sse.WriteData(a.w, data), errRelay)
}

// flush sends the events written so far. After a failure it returns the same
// error on every call.
func (a *attempt) flush() error {
	if a.unflushed && a.flushErr == nil {
		a.unflushed = false
		a.flushErr = errors.Mark(http.NewResponseController(a.w).Flush(), errRelay)
	}
	return a.flushErr
}

// applyChunk records one chunk and charges its token to the job. A chunk that
// doesn't continue the answer, such as the end of an aborted one, is an error
// and isn't relayed. A chunk without text, such as the first one with the role,
// is not charged.
func (ag *Agent) applyChunk(a *attempt, job *queuedJob, event sse.Event) error {
	if event.Type == sse.EventError {
		return errors.Mark(errors.Newf("the engine reports an error: %s", event.Data), errCutOff)
	}
	chunk, err := completion.ParseChunk(a.env.Kind, event.Data)
	if err != nil {
		return errors.Mark(err, errCutOff)
	}
	if chunk.Finish != "" && !chunk.Completed() {
		return errors.Mark(errors.Newf("the engine ended the answer early: %s", chunk.Finish), errCutOff)
	}
	if !a.progress.continues(chunk.ID) {
		return errors.Mark(errors.Newf("a chunk of answer %s comes in answer %s", chunk.ID, a.progress.runID), errCutOff)
	}
	// No engine can resume from anything but text that is kept, so the job can
	// no longer be preempted or moved.
	resumable := !chunk.NonText && a.progress.fits(chunk.Text)
	if !resumable && !ag.queue.pin(job) {
		return errPreempted
	}
	a.progress.finished = a.progress.finished || chunk.Completed()
	if chunk.Text == "" && !chunk.NonText {
		return nil
	}
	a.progress.add(chunk.Text)
	a.progress.lastChunk = event.Data
	a.progress.tokens++
	ag.queue.chargeTokens(job, 1)
	return nil
}

// endAtLimit ends a preempted answer that has reached its token limit. A
// resumed engine would have to add a token before it could end the answer.
func (ag *Agent) endAtLimit(a *attempt) bool {
	limit := completion.MaxTokens(a.body)
	if limit <= 0 || a.progress.tokens < limit {
		return false
	}
	end, err := completion.EndAtLimit(a.env.Kind, a.progress.lastChunk)
	return err == nil && a.send(end) == nil && a.send(sse.Done) == nil
}

// relayService copies the answer of a plain service. One that ends with its connection is whole only if
// the service still runs.
func (ag *Agent) relayService(ctx context.Context, w http.ResponseWriter, resp *http.Response) error {
	_, err := io.Copy(w, resp.Body)
	if err != nil || !server.EndsWithConnection(resp) {
		return err
	}
	return ag.engine.ping(ctx)
}

// resultOfDrop returns the result of an attempt that the policy dropped from the
// queue. An attempt that ran before a preemption can no longer be refused as not
// run.
func (ag *Agent) resultOfDrop(a *attempt, decision sched.Decision) (wire.Ending, *wire.Refusal) {
	if a.headerSent {
		return wire.EndingExpired, nil
	}
	refusal := newRefusal(decision.Reason, decision.RetryAfter)
	refusal.Run = a.runStatus()
	return "", refusal
}

// resultOf converts the error that ended an attempt into its ending or refusal.
func (ag *Agent) resultOf(a *attempt, err error) (wire.Ending, *wire.Refusal) {
	if err == nil {
		return wire.EndingComplete, nil
	}
	if a.headerSent {
		return endingFor(err), nil
	}
	refusal := wire.Refusal{Reason: string(endingFor(err))}
	var engineErr *engineError
	if errors.As(err, &engineErr) {
		refusal = engineErr.refusal()
	}
	refusal.Run = a.runStatus()
	return "", &refusal
}

// runStatus returns whether the attempt ran, as far as the agent knows.
func (a *attempt) runStatus() wire.Run { return cmp.Or(a.ran, wire.RunNot) }

// recordRun merges in the status of one run at the engine. It never lowers the
// status that an earlier run left.
func (a *attempt) recordRun(run wire.Run) {
	if a.ran != wire.RunYes && run != wire.RunNot {
		a.ran = run
	}
}

// movable reports whether the router can resume the attempt at another endpoint.
func (a *attempt) movable() bool {
	return !a.env.NonIdempotent && a.env.Kind != wire.KindService && a.env.KeyIssuedMillis == 0
}

func endingFor(err error) wire.Ending {
	switch {
	case errors.Is(err, errDeadline):
		return wire.EndingExpired
	case errors.Is(err, errLeaving):
		return wire.EndingLeaving
	case errors.Is(err, context.Canceled), errors.Is(err, errRelay), errors.Is(err, errWithdrawn):
		return wire.EndingCancelled
	default:
		return wire.EndingEngineFailed
	}
}

func newRefusal(reason sched.Reason, retryAfter time.Duration) *wire.Refusal {
	return &wire.Refusal{
		Reason:           string(reason),
		Run:              wire.RunNot,
		RetryAfterMillis: retryAfter.Milliseconds(),
	}
}
