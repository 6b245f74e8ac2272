package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/standin/web"
)

// Kinds of objects in answers.
const (
	objectChat       = "chat.completion"
	objectChatChunk  = "chat.completion.chunk"
	objectCompletion = "text_completion"
)

// finishAbort is the finish reason of an aborted answer.
const finishAbort = "abort"

// responseWriter writes one answer, as a stream or as a single body.
type responseWriter struct {
	w        http.ResponseWriter
	ctl      *http.ResponseController
	req      *request
	template chunk
	sent     int
	token    []byte
	text     []byte // the text so far, unless streamed
	buf      bytes.Buffer
	encoder  *json.Encoder
	// tokenPrefix and tokenSuffix enclose the text in a token's event.
	tokenPrefix, tokenSuffix []byte
}

func newResponseWriter(w http.ResponseWriter, req *request) *responseWriter {
	r := &responseWriter{w: w, ctl: http.NewResponseController(w), req: req}
	r.encoder = json.NewEncoder(&r.buf)
	r.encoder.SetEscapeHTML(false)
	r.template = chunk{ID: "cmpl-" + req.id, Object: objectCompletion, Created: time.Now().Unix(), Model: req.model}
	if req.chat {
		r.template.ID = "chatcmpl-" + req.id
		r.template.Object = objectChat
	}
	if req.chat && req.stream {
		r.template.Object = objectChatChunk
	}
	return r
}

// begin sends the header of a stream.
func (r *responseWriter) begin() error {
	if !r.req.stream {
		return nil
	}
	if err := r.encodeTokenEvent(); err != nil {
		return err
	}
	r.w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
	r.w.Header().Set("Cache-Control", "no-cache")
	r.w.WriteHeader(http.StatusOK)
	return r.ctl.Flush()
}

// placeholder is a text that needs no escaping in JSON.
const placeholder = "<|text|>"

// encodeTokenEvent encodes a token's event once; write then inserts only the
// text, since encoding each token would cost more than all other work of the
// engine.
func (r *responseWriter) encodeTokenEvent() error {
	if err := r.event(r.textChunk(placeholder, "")); err != nil {
		return err
	}
	event := bytes.Clone(r.buf.Bytes())
	r.buf.Reset()
	at := bytes.LastIndex(event, []byte(placeholder)) // the id may contain it as well
	if at < 0 {
		return errors.AssertionFailedf("the event %q holds no text", event)
	}
	r.tokenPrefix = event[:at]
	r.tokenSuffix = event[at+len(placeholder):]
	return nil
}

// write sends the tokens produced since the last call.
func (r *responseWriter) write(p progress) error {
	for ; r.sent < p.produced; r.sent++ {
		r.token = r.req.token(r.token[:0], r.sent)
		if err := r.add(); err != nil {
			return err
		}
	}
	return r.flush()
}

func (r *responseWriter) add() error {
	if !r.req.stream {
		r.text = append(r.text, r.token...)
		return nil
	}
	if r.sent == 0 && r.req.chat {
		if err := r.event(r.textChunk("", "assistant")); err != nil {
			return err
		}
	}
	r.buf.Write(r.tokenPrefix)
	r.buf.Write(r.token) // the vocabulary needs no escaping
	r.buf.Write(r.tokenSuffix)
	return nil
}

// textChunk returns a chunk of a stream with this text.
func (r *responseWriter) textChunk(text, role string) chunk {
	c := r.template
	ch := choice{Text: &text}
	if r.req.chat {
		ch = choice{Delta: &chatAnswer{Role: role, Content: &text}}
	}
	c.Choices = []choice{ch}
	return c
}

// event appends one server-sent event to the buffer.
func (r *responseWriter) event(c chunk) error {
	r.buf.WriteString("data: ")
	if err := r.encoder.Encode(c); err != nil { // ends with a newline
		return err
	}
	return r.buf.WriteByte('\n')
}

func (r *responseWriter) flush() error {
	if r.buf.Len() == 0 {
		return nil
	}
	if _, err := r.w.Write(r.buf.Bytes()); err != nil {
		return err
	}
	r.buf.Reset()
	return r.ctl.Flush()
}

// finish sends the finish reason and the end of the answer.
func (r *responseWriter) finish(p progress) error {
	reason := finishAbort
	if p.end == EndCompleted {
		reason = r.req.finishReason()
	}
	if !r.req.stream {
		web.WriteJSON(r.w, http.StatusOK, r.fullResponse(reason, p))
		return nil
	}
	last := r.textChunk("", "")
	last.Choices[0].FinishReason = &reason
	if err := r.event(last); err != nil {
		return err
	}
	if err := r.writeUsage(p); err != nil {
		return err
	}
	r.buf.WriteString("data: [DONE]\n\n")
	return r.flush()
}

func (r *responseWriter) writeUsage(p progress) error {
	if !r.req.usage {
		return nil
	}
	c := r.template
	c.Choices = []choice{}
	c.Usage = r.usageCounts(p)
	return r.event(c)
}

func (r *responseWriter) fullResponse(reason string, p progress) chunk {
	text := string(r.text)
	ch := choice{FinishReason: &reason, Text: &text}
	if r.req.chat {
		ch = choice{FinishReason: &reason, Message: &chatAnswer{Role: "assistant", Content: &text}}
	}
	c := r.template
	c.Choices = []choice{ch}
	c.Usage = r.usageCounts(p)
	return c
}

func (r *responseWriter) usageCounts(p progress) *usage {
	prompt := r.req.contextTokens()
	return &usage{
		PromptTokens:     prompt,
		CompletionTokens: p.produced,
		TotalTokens:      prompt + p.produced,
		Details:          &usageDetails{CachedTokens: p.cached},
	}
}
