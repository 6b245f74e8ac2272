package client

import (
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"
)

const (
	doneMarker = "[DONE]"
	eventError = "error"
	// maxEvent bounds the size of an event in bytes.
	maxEvent = 1 << 20
	// codeNoDone is the code of a stream that was closed cleanly, but without
	// [DONE].
	codeNoDone = "no_end"
)

// chunk holds the fields of a streamed chat completion that the bench reads.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// streamReader reads one streamed answer.
type streamReader struct {
	outcome  *Outcome
	now      func() time.Duration
	text     strings.Builder
	last     time.Duration
	finished bool // a finish reason was received
}

func (c *Client) stream(body io.Reader, o *Outcome) {
	r := streamReader{outcome: o, now: c.now}
	o.End = EndTruncated
	o.Code = codeNoDone
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			o.Code = err.Error()
			break
		}
		if r.handleEvent(event) {
			break
		}
	}
	o.Text = r.text.String()
}

// handleEvent processes one event and reports whether it was the last.
func (r *streamReader) handleEvent(e sse.Event) bool {
	if e.Data == doneMarker {
		if r.finished {
			r.outcome.End = EndComplete
			r.outcome.Code = ""
		}
		return true
	}
	if e.Type == eventError || looksLikeError(e.Data) {
		r.errorEvent(e.Data)
		return true
	}
	var c chunk
	if json.Unmarshal([]byte(e.Data), &c) != nil {
		return true // malformed event: the answer is truncated
	}
	for _, choice := range c.Choices {
		r.handleText(choice.Delta.Content)
		r.finished = r.finished || choice.FinishReason != nil
	}
	return false
}

func (r *streamReader) errorEvent(data string) {
	o := r.outcome
	o.End = EndErrorEvent
	var e errorBody
	if json.Unmarshal([]byte(data), &e) != nil || e.Error == nil {
		o.Code = "untyped"
		return
	}
	o.Code = e.Error.Code
	o.Run = e.Error.Run
}

func (r *streamReader) handleText(text string) {
	if text == "" {
		return
	}
	at := r.now()
	if r.outcome.Tokens == 0 {
		r.outcome.First = at
	} else {
		r.outcome.Gaps = append(r.outcome.Gaps, at-r.last)
	}
	r.last = at
	r.outcome.Tokens++
	r.text.WriteString(text)
}
