package engine

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// request is a decoded completion request.
type request struct {
	chat     bool
	model    string
	stream   bool
	usage    bool
	id       string
	idemKey  string
	priority int
	// prompt is the rendered prompt, without the resumed text.
	prompt string
	// resumed is the part of the answer that the request contains.
	resumed  string
	answer   answer
	resumeAt answerPosition
	// limit is the maximum number of new tokens.
	limit int
}

// tokens returns the number of tokens that the request produces.
func (r *request) tokens() int {
	return min(r.answer.length-r.resumeAt.tokens, r.limit)
}

// finishReason returns the finish reason of an uninterrupted run.
func (r *request) finishReason() string {
	if r.tokens() < r.answer.length-r.resumeAt.tokens {
		return "length"
	}
	return "stop"
}

// context returns the text before the first new token.
func (r *request) context() string { return r.prompt + r.resumed }

// contextTokens counts the tokens of the context: those of the prompt, estimated
// from its length, and the complete ones of the resumed text.
func (r *request) contextTokens() int { return promptTokens(r.prompt) + r.resumeAt.tokens }

// token returns the text of the i-th new token.
func (r *request) token(buf []byte, i int) []byte {
	start := len(buf)
	buf = r.answer.appendToken(buf, r.resumeAt.tokens+i)
	if i > 0 || r.resumeAt.partialBytes == 0 {
		return buf
	}
	return append(buf[:start], buf[start+r.resumeAt.partialBytes:]...)
}

// Answer is the uninterrupted answer to a request.
type Answer struct {
	Text         string
	Tokens       int
	FinishReason string
}

// ExpectedAnswer returns the answer to a request with this body, sent to
// PathChat or PathCompletions. It is the same on all engines.
func ExpectedAnswer(path string, body []byte) (Answer, error) {
	r, err := parseRequest(path == PathChat, body)
	if err != nil {
		return Answer{}, err
	}
	var text []byte
	for i := range r.tokens() {
		text = r.token(text, i)
	}
	return Answer{Text: string(text), Tokens: r.tokens(), FinishReason: r.finishReason()}, nil
}

// maxReferences bounds the reference marks that findAnswer tries.
const maxReferences = 64

// noTokenLimit is the limit of a request without max_tokens.
const noTokenLimit = 1 << 30

func parseRequest(chat bool, body []byte) (*request, error) {
	var b generateBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, asRequestError(err)
	}
	limit, err := b.limit()
	if err != nil {
		return nil, err
	}
	r := &request{
		chat:     chat,
		model:    b.Model,
		stream:   b.Stream,
		usage:    b.StreamOptions.IncludeUsage,
		priority: b.Priority,
		limit:    limit,
	}
	if err := r.setPrompt(&b); err != nil {
		return nil, err
	}
	return r, r.setAnswer(b.Seed)
}

func asRequestError(err error) error {
	var re *RequestError
	if errors.As(err, &re) {
		return re
	}
	return badRequest("body: %v", err)
}

func (b *generateBody) limit() (int, error) {
	if b.N != nil && *b.N != 1 {
		return 0, badRequest("n must be 1")
	}
	limit := b.MaxTokens
	if b.MaxCompletion != nil {
		limit = b.MaxCompletion
	}
	if limit == nil {
		return noTokenLimit, nil
	}
	if *limit < 1 {
		return 0, badRequest("max_tokens must be at least 1, got %d", *limit)
	}
	return *limit, nil
}

func (r *request) setPrompt(b *generateBody) error {
	if r.chat {
		return r.setMessages(b)
	}
	if b.Prompt == nil {
		return badRequest("prompt is missing")
	}
	r.prompt = *b.Prompt
	if b.ResumeFromTokens == 0 {
		return nil
	}
	split, ok := findAnswer(r.model, r.prompt, b.Seed)
	if !ok {
		return errResumeMismatch
	}
	r.prompt, r.resumed = r.prompt[:split], r.prompt[split:]
	return nil
}

// findAnswer returns the offset in text at which the prompt ends and its partial
// answer begins.
func findAnswer(model, text string, seed int64) (int, bool) {
	end := len(text)
	for range maxReferences {
		at := strings.LastIndex(text[:end], referenceMark)
		if at < 0 {
			return 0, false
		}
		if _, ok := newAnswer(model, text[:at], seed).locate(text[at:]); ok {
			return at, true
		}
		end = at
	}
	return 0, false
}

func (r *request) setMessages(b *generateBody) error {
	msgs := b.Messages
	if len(msgs) == 0 {
		return badRequest("messages are missing")
	}
	generation := b.AddGeneration == nil || *b.AddGeneration
	if !b.ContinueFinal {
		r.prompt = renderChat(msgs)
		return nil
	}
	if generation {
		return badRequest("continue_final_message needs add_generation_prompt to be false")
	}
	last := msgs[len(msgs)-1]
	if last.Role != "assistant" {
		return badRequest("continue_final_message needs a last message of the assistant")
	}
	r.prompt, r.resumed = renderChat(msgs[:len(msgs)-1]), string(last.Content)
	return nil
}

func renderChat(msgs []message) string {
	var b strings.Builder
	for _, m := range msgs {
		b.WriteString("<|" + m.Role + "|>")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	b.WriteString("<|assistant|>")
	return b.String()
}

func (r *request) setAnswer(seed int64) error {
	r.answer = newAnswer(r.model, r.prompt, seed)
	from, ok := r.answer.locate(r.resumed)
	if !ok {
		return errResumeMismatch
	}
	r.resumeAt = from
	return nil
}

// errResumeMismatch is counted in Totals.Mismatches, since it means that a
// caller mixed up answers.
var errResumeMismatch = badRequest("the resumed text is not a beginning of this answer")
