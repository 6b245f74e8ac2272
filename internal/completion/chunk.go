package completion

import (
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"coveferry/internal/wire"
)

// Chunk holds the fields of an answer's chunk that coveferry uses.
type Chunk struct {
	ID   string
	Text string
	// Finish is the finish reason; empty before the final chunk.
	Finish string
	// NonText reports whether the chunk holds more than text, such as part of
	// a tool call, from which an engine can't resume.
	NonText bool
	// Usage reports whether the chunk holds the usage and no choice.
	Usage bool
}

// finishLength is the finish reason of an answer that reached its token limit.
const finishLength = "length"

// Completed reports whether the engine completed the answer. Engines end aborted
// answers in the same form, with a finish reason that the protocol doesn't
// define, so only the reasons of the protocol count.
func (c Chunk) Completed() bool {
	switch c.Finish {
	case "stop", finishLength, "tool_calls", "function_call", "content_filter":
		return true
	}
	return false
}

// ParseChunk reads one chunk. Its error is marked ErrMalformed, also for a
// truncated chunk or an error that the engine reports in place of a chunk.
func ParseChunk(kind wire.Kind, data string) (Chunk, error) {
	if !utf8.ValidString(data) || !gjson.Valid(data) {
		return Chunk{}, malformed("a chunk must be JSON in UTF-8")
	}
	root := gjson.Parse(data)
	if !root.IsObject() {
		return Chunk{}, malformed("a chunk must be a JSON object")
	}
	if e := root.Get("error"); e.Exists() && e.Type != gjson.Null {
		return Chunk{}, malformed("the engine reports an error: " + e.Raw)
	}
	choice := root.Get("choices.0")
	c := Chunk{
		ID:     root.Get("id").Str,
		Finish: choice.Get("finish_reason").Str,
		Usage:  !choice.Exists() && root.Get("usage").IsObject(),
	}
	if kind == wire.KindCompletion {
		c.Text = choice.Get("text").Str
		return c, nil
	}
	delta := choice.Get("delta")
	c.Text = delta.Get("content").Str
	c.NonText = delta.Get("tool_calls").Exists() || delta.Get("function_call").Exists()
	return c, nil
}

// SetID replaces a chunk's id, so that a resumed answer keeps its first id.
func SetID(data, id string) (string, error) {
	data, err := sjson.Set(data, "id", id)
	return data, errors.Wrap(err, "set id")
}

// CorrectUsage corrects the usage of a resumed answer, whose last engine counted
// the earlier text as part of the prompt.
func CorrectUsage(data string, completionTokens int) (string, error) {
	total := gjson.Get(data, "usage.total_tokens").Int()
	data, err := sjson.Set(data, "usage.completion_tokens", completionTokens)
	if err != nil {
		return "", errors.Wrap(err, "set completion_tokens")
	}
	data, err = sjson.Set(data, "usage.prompt_tokens", max(0, total-int64(completionTokens)))
	return data, errors.Wrap(err, "set prompt_tokens")
}

// EndAtLimit builds the final chunk of an answer that reached its token limit from
// its last chunk with text, for an engine that stopped before the final chunk.
func EndAtLimit(kind wire.Kind, last string) (string, error) {
	content, empty := "choices.0.delta", any(struct{}{})
	if kind == wire.KindCompletion {
		content, empty = "choices.0.text", ""
	}
	end, err := sjson.Set(last, content, empty)
	if err != nil {
		return "", errors.Wrap(err, "clear the text of the last chunk")
	}
	end, err = sjson.Set(end, "choices.0.finish_reason", finishLength)
	return end, errors.Wrap(err, "set finish_reason")
}
