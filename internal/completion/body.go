package completion

import (
	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"coveferry/internal/wire"
)

// ForEngine rewrites a call's body for the engine: always streamed, so that the
// answer can be resumed, and with usage included.
func ForEngine(body []byte) ([]byte, error) {
	body, err := sjson.SetBytes(body, "stream", true)
	if err != nil {
		return nil, errors.Wrap(err, "set stream")
	}
	body, err = sjson.SetBytes(body, "stream_options.include_usage", true)
	return body, errors.Wrap(err, "set stream_options")
}

// SetPriority sets the engine's priority field. Lower values are served first.
func SetPriority(body []byte, priority int) ([]byte, error) {
	body, err := sjson.SetBytes(body, "priority", priority)
	return body, errors.Wrap(err, "set priority")
}

// MaxResumableText is the length of a text, in bytes, up to which an answer can be resumed. It bounds the memory
// that is needed for that.
const MaxResumableText = 1 << 20

// Continue rewrites a call's body so that an engine resumes the answer after
// text, the part already delivered to the caller, which has the given number of
// tokens.
func Continue(kind wire.Kind, body []byte, text string, tokens int) ([]byte, error) {
	if text == "" {
		return body, nil
	}
	body, err := lowerMaxTokens(body, tokens)
	if err != nil {
		return nil, err
	}
	if kind == wire.KindCompletion {
		return continuePrompt(body, text, tokens)
	}
	return continueChat(body, text)
}

func continuePrompt(body []byte, text string, tokens int) ([]byte, error) {
	body, err := sjson.SetBytes(body, "prompt", gjson.GetBytes(body, "prompt").Str+text)
	if err != nil {
		return nil, errors.Wrap(err, "set prompt")
	}
	body, err = sjson.SetBytes(body, "resume_from_tokens", tokens)
	return body, errors.Wrap(err, "set resume_from_tokens")
}

// assistantMessage is the chat message with the answer so far.
type assistantMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// continueChat sets the fields that make engines continue the last message.
func continueChat(body []byte, text string) ([]byte, error) {
	body, err := sjson.SetBytes(body, "messages.-1", assistantMessage{Role: "assistant", Content: text})
	if err != nil {
		return nil, errors.Wrap(err, "append the answer so far")
	}
	body, err = sjson.SetBytes(body, "continue_final_message", true)
	if err != nil {
		return nil, errors.Wrap(err, "set continue_final_message")
	}
	body, err = sjson.SetBytes(body, "add_generation_prompt", false)
	return body, errors.Wrap(err, "set add_generation_prompt")
}

func lowerMaxTokens(body []byte, used int) ([]byte, error) {
	for _, field := range []string{"max_tokens", "max_completion_tokens"} {
		limit := gjson.GetBytes(body, field)
		if !limit.Exists() {
			continue
		}
		var err error
		body, err = sjson.SetBytes(body, field, max(1, int(limit.Int())-used))
		if err != nil {
			return nil, errors.Wrapf(err, "set %s", field)
		}
	}
	return body, nil
}
