package completion

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	openai "github.com/sashabaranov/go-openai"

	"coveferry/internal/wire"
)

// Collector assembles the chunks of an answer into one response for a caller that
// didn't request a stream.
type Collector struct {
	id, model, finish string
	text              strings.Builder
	toolCalls         []openai.ToolCall
	usage             openai.Usage
	toolBytes         int // in toolCalls
}

// toolCallBytes is the memory of a tool call besides its texts.
const toolCallBytes = 128

// Size returns about how many bytes the collector holds.
func (c *Collector) Size() int { return c.text.Len() + c.toolBytes }

// Add appends one chunk. Its error is marked ErrMalformed.
func (c *Collector) Add(kind wire.Kind, data string) error {
	if kind == wire.KindCompletion {
		return c.addCompletion(data)
	}
	var chunk openai.ChatCompletionStreamResponse
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return errors.Mark(errors.Wrap(err, "chunk"), ErrMalformed)
	}
	c.setMetadata(chunk.ID, chunk.Model, chunk.Usage)
	for _, choice := range chunk.Choices {
		c.text.WriteString(choice.Delta.Content)
		c.addToolCalls(choice.Delta.ToolCalls)
		c.setFinish(string(choice.FinishReason))
	}
	return nil
}

func (c *Collector) addCompletion(data string) error {
	var chunk openai.CompletionResponse
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return errors.Mark(errors.Wrap(err, "chunk"), ErrMalformed)
	}
	c.setMetadata(chunk.ID, chunk.Model, chunk.Usage)
	for _, choice := range chunk.Choices {
		c.text.WriteString(choice.Text)
		c.setFinish(choice.FinishReason)
	}
	return nil
}

func (c *Collector) setMetadata(id, model string, usage *openai.Usage) {
	if c.id == "" {
		c.id = id
		c.model = model
	}
	if usage != nil {
		c.usage = *usage
	}
}

func (c *Collector) setFinish(reason string) {
	if reason != "" {
		c.finish = reason
	}
}

// addToolCalls merges parts of tool calls into the calls with the same index.
func (c *Collector) addToolCalls(parts []openai.ToolCall) {
	for _, part := range parts {
		call := c.toolCall(part)
		call.Function.Name += part.Function.Name
		call.Function.Arguments += part.Function.Arguments
		c.toolBytes += len(part.Function.Name) + len(part.Function.Arguments)
	}
}

func (c *Collector) toolCall(part openai.ToolCall) *openai.ToolCall {
	index := len(c.toolCalls)
	if part.Index != nil {
		index = *part.Index
	}
	if index < 0 || index >= len(c.toolCalls) {
		c.toolCalls = append(c.toolCalls, openai.ToolCall{ID: part.ID, Type: part.Type})
		index = len(c.toolCalls) - 1
		c.toolBytes += toolCallBytes + len(part.ID)
	}
	return &c.toolCalls[index]
}

// The response body of the protocol. The client library's types would add fields
// that are specific to one provider.
type (
	responseBody struct {
		ID      string           `json:"id"`
		Object  string           `json:"object"`
		Created int64            `json:"created"`
		Model   string           `json:"model"`
		Choices []responseChoice `json:"choices"`
		Usage   responseUsage    `json:"usage"`
	}
	responseChoice struct {
		Index        int              `json:"index"`
		Message      *responseMessage `json:"message,omitempty"`
		Text         *string          `json:"text,omitempty"`
		FinishReason string           `json:"finish_reason"`
	}
	responseMessage struct {
		Role      string            `json:"role"`
		Content   string            `json:"content"`
		ToolCalls []openai.ToolCall `json:"tool_calls,omitempty"`
	}
	responseUsage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}
)

// CountTokens sets the usage of an answer whose engine reported none. The length
// of the prompt stays unknown.
func (c *Collector) CountTokens(n int) {
	if c.usage.TotalTokens == 0 {
		c.usage = openai.Usage{CompletionTokens: n, TotalTokens: n}
	}
}

// Response returns the assembled response as JSON.
func (c *Collector) Response(kind wire.Kind, created time.Time) ([]byte, error) {
	text := c.text.String()
	answer := responseBody{
		ID: c.id, Object: "chat.completion", Created: created.Unix(), Model: c.model,
		Choices: []responseChoice{{FinishReason: c.finish}},
		Usage:   responseUsage{c.usage.PromptTokens, c.usage.CompletionTokens, c.usage.TotalTokens},
	}
	if kind == wire.KindCompletion {
		answer.Object = "text_completion"
		answer.Choices[0].Text = &text
	} else {
		answer.Choices[0].Message = &responseMessage{Role: openai.ChatMessageRoleAssistant, Content: text, ToolCalls: c.toolCalls}
	}
	body, err := json.Marshal(answer)
	return body, errors.Wrap(err, "encode response")
}
