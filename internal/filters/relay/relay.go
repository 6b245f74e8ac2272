// Package relay passes the response of an attempt to the caller and records what has been
// delivered, so that another attempt can continue from there. It is the last filter and
// the only one that writes to the caller.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/completion"
	"coveferry/internal/eventstream"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/server"
	"coveferry/internal/sse"
	"coveferry/internal/wire"
)

// Filter implements pipeline.Filter. Its fields concern requests of kind KindRouted only.
type Filter struct {
	// ProcessAlive confirms the end of an answer that ends with its connection; without it no such answer
	// counts as whole.
	ProcessAlive ProcessAlive
	// Numbering knows how services number the events of their streams.
	Numbering *eventstream.Numbering
	Metrics   *Metrics
}

// Name implements pipeline.Filter.
func (Filter) Name() string { return "relay" }

// Do relays the response. nil means that the caller has received all of it. Its errors are
// *BrokenError, *CallerError and *EndpointError.
func (f Filter) Do(ctx context.Context, r *request.Request, _ pipeline.Next) error {
	if r.Kind == wire.KindRouted {
		return f.relayRouted(ctx, r)
	}
	if r.Kind == wire.KindService {
		return relayService(r)
	}
	return relayStream(r, newSink(r))
}

func newSink(r *request.Request) sink {
	if r.Stream {
		return newStreamSink(r)
	}
	return newCollectSink(r)
}

// sink writes the chunks of a response to the caller.
type sink interface {
	// chunk adds the next chunk.
	chunk(data string, c completion.Chunk) error
	// flush sends all buffered chunks. After an error it keeps returning that error.
	flush() error
	// finish completes the response.
	finish() error
}

// relayStream relays a response. The response is complete once the engine's finish reason
// was received. Later failures are ignored: resuming at another engine could only add to a
// complete response.
func relayStream(r *request.Request, to sink) error {
	err := relayEvents(r, to)
	if flushErr := to.flush(); flushErr != nil {
		return &CallerError{Cause: flushErr}
	}
	if err != nil {
		return err
	}
	// Reading to EOF makes the trailer with the agent's load report available.
	_, _ = io.Copy(io.Discard, r.Answer.Body)
	if err := to.finish(); err != nil {
		return &CallerError{Cause: err}
	}
	return nil
}

// relayEvents relays the engine's events, with one flush for the events that arrive
// together. It returns nil if the engine's finish reason was among them.
func relayEvents(r *request.Request, to sink) error {
	finished := false
	var cause error
	for event, err := range sse.ReadBatches(r.Answer.Body, to.flush) {
		if cause = err; err != nil || event.Data == sse.Done {
			break
		}
		var chunk completion.Chunk
		if chunk, cause = readChunk(r, event); cause != nil {
			break
		}
		if finished && !chunk.Usage {
			continue // nothing but usage may follow the finish reason
		}
		if err := deliverChunk(r, to, event.Data, chunk); err != nil {
			return err
		}
		finished = finished || chunk.Completed()
	}
	if finished {
		return nil
	}
	return newBrokenError(r, cause)
}

// readChunk parses an event, which must continue the response or finish it.
func readChunk(r *request.Request, event sse.Event) (completion.Chunk, error) {
	if event.Type == sse.EventError {
		return completion.Chunk{}, errors.Newf("the engine reports an error: %s", event.Data)
	}
	chunk, err := completion.ParseChunk(r.Kind, event.Data)
	if err == nil && chunk.Finish != "" && !chunk.Completed() {
		err = errors.Newf("the engine ended the answer early: %s", chunk.Finish)
	}
	return chunk, err
}

// EndAtLimit completes the response if the caller has received as many tokens as it
// requested, and returns false otherwise. Resuming such a response is not an option, since
// an engine would have to add a token.
func EndAtLimit(r *request.Request) (bool, error) {
	d := &r.Delivered
	if r.Kind == wire.KindRouted || r.MaxTokens <= 0 || d.Tokens < r.MaxTokens || d.Unresumable {
		return false, nil
	}
	end, err := completion.EndAtLimit(r.Kind, d.LastChunk)
	if err != nil {
		return false, err
	}
	to := newSink(r)
	err = to.chunk(end, completion.Chunk{})
	if err == nil {
		err = to.finish()
	}
	if err != nil {
		err = &CallerError{Cause: err}
	}
	return true, err
}

// deliverChunk passes one chunk to the sink and updates the request's delivered state.
func deliverChunk(r *request.Request, to sink, data string, c completion.Chunk) error {
	d := &r.Delivered
	resumed := d.ID != "" && d.ID != c.ID
	if resumed && c.Text == "" && c.Finish == "" && !c.NonText && !c.Usage {
		return nil // first chunk of a resumed response: the caller already has one
	}
	if d.ID == "" {
		d.ID = c.ID
	}
	data, err := rewriteResumedChunk(d, data, c, resumed)
	if err != nil {
		return newBrokenError(r, err)
	}
	d.Unresumable = d.Unresumable || c.NonText
	if c.Text != "" || c.NonText {
		recordToken(r, c.Text)
		d.LastChunk = data
	}
	if err := to.chunk(data, c); err != nil {
		return &CallerError{Cause: err}
	}
	if err := checkCollected(r); err != nil {
		return newBrokenError(r, err)
	}
	return nil
}

// rewriteResumedChunk makes the chunks of several attempts appear as one response.
func rewriteResumedChunk(d *request.Delivered, data string, c completion.Chunk, resumed bool) (string, error) {
	if !resumed {
		return data, nil
	}
	data, err := completion.SetID(data, d.ID)
	if err != nil || !c.Usage {
		return data, err
	}
	return completion.CorrectUsage(data, d.Tokens)
}

func recordToken(r *request.Request, text string) {
	d := &r.Delivered
	if d.Tokens == 0 {
		recordFirstToken(r)
	}
	keepText(r, text)
	d.Tokens++
}

// recordFirstToken records the time of the first token, or of the first byte of a
// service's response.
func recordFirstToken(r *request.Request) {
	r.Delivered.FirstToken = time.Now()
	if r.OnFirstToken != nil {
		r.OnFirstToken()
	}
}

// readEnding returns the final status of the response from the agent's trailer, or ""
// without one.
func readEnding(resp *http.Response) wire.Ending {
	var end wire.End
	if err := wire.Decode(resp.Trailer, wire.HeaderEnd, &end); err != nil {
		return ""
	}
	return end.Ending
}

// relayService copies the response of a plain service. Once its header was sent it can't
// be retried, so a truncated response aborts the caller's connection.
func relayService(r *request.Request) error {
	var status int
	if err := wire.Decode(r.Answer.Header, wire.HeaderStatus, &status); err != nil {
		return newBrokenError(r, err)
	}
	if !server.IsFinalStatus(status) {
		return newBrokenError(r, errors.Newf("the service answered with status %03d", status))
	}
	h := r.Writer.Header()
	h.Set("Content-Type", r.Answer.Header.Get("Content-Type"))
	h.Set(api.HeaderRequestID, r.ID)
	r.Delivered.Started = true
	r.Delivered.Unresumable = true
	recordFirstToken(r)
	r.Writer.WriteHeader(status)
	if _, err := io.Copy(api.DeadlineWriter{W: r.Writer}, r.Answer.Body); err != nil {
		return newBrokenError(r, err)
	}
	if readEnding(r.Answer) != wire.EndingComplete {
		return newBrokenError(r, nil)
	}
	return nil
}
