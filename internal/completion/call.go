// Package completion implements the parts of the completions protocol that
// coveferry needs: parsing calls, rewriting a call so that an engine resumes an
// answer, and parsing the chunks of an answer. Unknown fields pass through
// unchanged.
package completion

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"coveferry/internal/wire"
)

// prefixBytes is the length of the prompt prefix that is hashed. Prompts of the
// same kind of task share at least their instructions.
const prefixBytes = 1024

// ErrMalformed marks errors about a body that isn't a valid call.
var ErrMalformed = errors.New("malformed call")

// Call holds the fields of a call's body that coveferry uses.
type Call struct {
	Model        string
	Stream       bool
	IncludeUsage bool
	// MaxTokens is the token limit of the answer; 0 if the caller set none.
	MaxTokens int
	// Prefix is a hash of the start of the prompt.
	Prefix uint64
}

// Parse reads a call's body. Its error is marked ErrMalformed, with a message for
// the caller.
func Parse(kind wire.Kind, body []byte) (Call, error) {
	if !json.Valid(body) {
		return Call{}, malformed("the body is not valid JSON")
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return Call{}, malformed("the body must be a JSON object")
	}
	if err := checkFields(kind, root); err != nil {
		return Call{}, err
	}
	return Call{
		Model:        root.Get("model").Str,
		Stream:       root.Get("stream").Bool(),
		IncludeUsage: root.Get("stream_options.include_usage").Bool(),
		MaxTokens:    maxTokens(root),
		Prefix:       prefixHash(kind, root),
	}, nil
}

func checkFields(kind wire.Kind, root gjson.Result) error {
	model := root.Get("model")
	if model.Type != gjson.String || model.Str == "" {
		return malformed(`"model" must be a non-empty string`)
	}
	if s := root.Get("stream"); s.Exists() && !s.IsBool() {
		return malformed(`"stream" must be true or false`)
	}
	if n := root.Get("n"); n.Exists() && n.Num != 1 {
		return malformed(`"n" must be 1`)
	}
	if kind == wire.KindChat {
		messages := root.Get("messages")
		if !messages.IsArray() || len(messages.Array()) == 0 {
			return malformed(`"messages" must be a non-empty list`)
		}
		return nil
	}
	if root.Get("prompt").Type != gjson.String {
		return malformed(`"prompt" must be a string`)
	}
	return nil
}

// MaxTokens returns the token limit in a body that Parse accepted, or 0 if it has
// none.
func MaxTokens(body []byte) int { return maxTokens(gjson.ParseBytes(body)) }

func maxTokens(root gjson.Result) int {
	if m := root.Get("max_completion_tokens"); m.Exists() {
		return int(m.Int())
	}
	return int(root.Get("max_tokens").Int())
}

func prefixHash(kind wire.Kind, root gjson.Result) uint64 {
	prompt := root.Get("prompt").Str
	if kind == wire.KindChat {
		prompt = root.Get("messages").Raw
	}
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

func malformed(msg string) error { return errors.Mark(errors.New(msg), ErrMalformed) }
