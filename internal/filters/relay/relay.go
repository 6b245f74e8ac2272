// Package relay passes the answer of an attempt on to the caller and keeps what
// the caller holds of it, so that another attempt can go on from there. It is
// the last filter and the only one that writes to the caller.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/api"
	"coveferry/internal/completion"
	"coveferry/internal/pipeline"
	"coveferry/internal/request"
	"coveferry/internal/sse"
	"coveferry/internal/wire"
)

// Filter implements pipeline.Filter.
type Filter struct{}

// Name implements pipeline.Filter.
func (Filter) Name() string { return "relay" }

// Do relays the answer. nil means that the caller has the whole of it; the
// other errors are *BrokenError and *CallerError.
func (Filter) Do(_ context.Context, r *request.Request, _ pipeline.Next) error {
	if r.Kind == wire.KindRouted {
		return relayRouted(r)
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

// sink takes the chunks of an answer on behalf of the caller.
type sink interface {
	// chunk takes the next chunk, which carries the answer on.
	chunk(data string, c completion.Chunk) error
	// flush sends on what was taken; once it failed it keeps failing.
	flush() error
	// finish ends a whole answer.
	finish() error
}

// relayStream relays an answer. It is whole once the engine's own end came:
// what may break after that takes nothing away from it, and an engine asked to
// go on from there would add to it.
func relayStream(r *request.Request, to sink) error {
	err := relayEvents(r, to)
	if flushErr := to.flush(); flushErr != nil {
		return &CallerError{Cause: flushErr}
	}
	if err != nil {
		return err
	}
	// The agent's load report comes in a trailer, behind the last byte.
	_, _ = io.Copy(io.Discard, r.Answer.Body)
	if err := to.finish(); err != nil {
		return &CallerError{Cause: err}
	}
	return nil
}

// relayEvents passes the engine's events on, those that come together in one
// flush. nil means that the engine's own end was among them.
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
			continue // nothing belongs behind the end
		}
		if err := deliverChunk(r, to, event.Data, chunk); err != nil {
			return err
		}
		finished = finished || chunk.Whole()
	}
	if finished {
		return nil
	}
	return newBrokenError(r, cause)
}

// readChunk reads an event that must carry the answer on or end it.
func readChunk(r *request.Request, event sse.Event) (completion.Chunk, error) {
	if event.Type == sse.EventError {
		return completion.Chunk{}, errors.Newf("the engine reports an error: %s", event.Data)
	}
	chunk, err := completion.ParseChunk(r.Kind, event.Data)
	if err == nil && chunk.Finish != "" && !chunk.Whole() {
		err = errors.Newf("the engine ended the answer early: %s", chunk.Finish)
	}
	return chunk, err
}

// EndAtLimit ends the answer of a caller who holds as many tokens as it asked
// for, and returns false for any other. An engine asked for the rest of such an
// answer would have to add a token.
func EndAtLimit(r *request.Request) (bool, error) {
	d := &r.Delivered
	if r.Kind == wire.KindRouted || r.MaxTokens <= 0 || d.Tokens < r.MaxTokens || d.Unresumable {
		return false, nil
	}
	end, err := completion.EndAtLimit(r.Kind, d.Last)
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

// deliverChunk hands one chunk to the sink and notes what the caller holds then.
func deliverChunk(r *request.Request, to sink, data string, c completion.Chunk) error {
	d := &r.Delivered
	resumed := d.ID != "" && d.ID != c.ID
	if resumed && c.Text == "" && c.Finish == "" && !c.Opaque && !c.Usage {
		return nil // the head of a resumed answer: the caller has one already
	}
	if d.ID == "" {
		d.ID = c.ID
	}
	data, err := rewriteResumedChunk(d, data, c, resumed)
	if err != nil {
		return newBrokenError(r, err)
	}
	d.Unresumable = d.Unresumable || c.Opaque
	if c.Text != "" || c.Opaque {
		recordToken(r, c.Text)
		d.Last = data
	}
	if err := to.chunk(data, c); err != nil {
		return &CallerError{Cause: err}
	}
	return nil
}

// rewriteResumedChunk makes the chunks of several attempts one answer.
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
	d.Text = append(d.Text, text...)
	d.Tokens++
}

// recordFirstToken notes the first token, or the first byte of a service's answer.
func recordFirstToken(r *request.Request) {
	r.Delivered.FirstToken = time.Now()
	if r.Began != nil {
		r.Began()
	}
}

// readEnding reads the agent's word on how the answer ended; empty without one.
func readEnding(resp *http.Response) wire.Ending {
	var end wire.End
	if err := wire.Decode(resp.Trailer, wire.HeaderEnd, &end); err != nil {
		return ""
	}
	return end.Ending
}

// relayService copies a plain service's answer. Once its head went out it
// can't be taken back, so a cut-off one aborts the caller's connection.
func relayService(r *request.Request) error {
	var status int
	if err := wire.Decode(r.Answer.Header, wire.HeaderStatus, &status); err != nil {
		return newBrokenError(r, err)
	}
	h := r.Writer.Header()
	h.Set("Content-Type", r.Answer.Header.Get("Content-Type"))
	h.Set(api.HeaderRequestID, r.ID)
	r.Delivered.Started = true
	r.Delivered.Unresumable = true
	recordFirstToken(r)
	r.Writer.WriteHeader(status)
	if _, err := io.Copy(api.PieceWriter{W: r.Writer}, r.Answer.Body); err != nil {
		return newBrokenError(r, err)
	}
	if readEnding(r.Answer) != wire.EndingComplete {
		return newBrokenError(r, nil)
	}
	return nil
}
