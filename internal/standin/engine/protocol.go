package engine

import (
	"bytes"
	"encoding/json"
	"strings"
)

// Paths of the HTTP interface.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
	PathHealth      = "/health"
	PathLoad        = "/load"
	PathEvents      = "/events"
	PathExport      = "/kv/export"
	PathImport      = "/kv/import"
	PathOrders      = "/orders"
	PathAbort       = "/abort"
)

// Headers that the engine reads.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// generateBody is the body of both kinds of completion requests.
type generateBody struct {
	Model         string        `json:"model"`
	Messages      []message     `json:"messages"`
	Prompt        *string       `json:"prompt"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	MaxTokens     *int          `json:"max_tokens"`
	MaxCompletion *int          `json:"max_completion_tokens"`
	N             *int          `json:"n"`
	Seed          int64         `json:"seed"`
	Priority      int           `json:"priority"`

	ContinueFinal bool  `json:"continue_final_message"`
	AddGeneration *bool `json:"add_generation_prompt"`
	// ResumeFromTokens is the number of tokens of the answer at the end of
	// Prompt.
	ResumeFromTokens int `json:"resume_from_tokens"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is a message's text, encoded as a string or as a list of parts.
type content string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON reads a string, null, or a list of text parts.
func (c *content) UnmarshalJSON(data []byte) error {
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return badRequest("content of type %q is not supported", p.Type)
		}
		b.WriteString(p.Text)
	}
	*c = content(b.String())
	return nil
}

// usage counts a request's tokens.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	Details          *usageDetails `json:"prompt_tokens_details,omitempty"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// chunk is one event of a stream, or a complete answer.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int         `json:"index"`
	Delta        *chatAnswer `json:"delta,omitempty"`
	Message      *chatAnswer `json:"message,omitempty"`
	Text         *string     `json:"text,omitempty"`
	FinishReason *string     `json:"finish_reason"`
}

type chatAnswer struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Root    string `json:"root"`
	Parent  string `json:"parent,omitempty"`
}
