package enginetest

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
)

const bytesPerToken = 4

// prompt is what the engine reads of a request's body.
type prompt struct {
	// text is the raw JSON of prompt and messages, as prefixes are hashed over.
	text   string
	model  string
	chat   bool
	stream bool
	tokens peridotpath.Tokens
	output peridotpath.Tokens
	usage  bool
}

func parsePrompt(path string, body []byte) (*prompt, error) {
	if !gjson.ValidBytes(body) {
		return nil, engine.ErrBadRequest.New("not JSON")
	}
	fields := gjson.GetManyBytes(body, "prompt", "messages", "model", "stream", "max_tokens", "max_completion_tokens", "stream_options.include_usage")
	text := fields[0].Raw + fields[1].Raw
	if text == "" {
		return nil, engine.ErrBadRequest.New("neither prompt nor messages")
	}
	return &prompt{
		text: text, model: fields[2].String(), chat: path == engine.PathChatCompletions, stream: fields[3].Bool(),
		tokens: peridotpath.Tokens(len(text)/bytesPerToken + 1),
		output: max(peridotpath.Tokens(max(fields[4].Int(), fields[5].Int())), 1),
		usage:  fields[6].Bool(),
	}, nil
}

// Seed returns the number that the answer to a request's body is made from.
func Seed(body []byte) uint64 {
	fields := gjson.GetManyBytes(body, "prompt", "messages")
	return xxhash.Sum64String(fields[0].Raw + fields[1].Raw)
}

// Token returns one token of the answer to the prompt with that seed.
func Token(seed uint64, index int) string {
	return fmt.Sprintf("%x-%d ", uint16(seed>>16)^uint16(seed)+uint16(index*40503), index)
}

// Answer returns the whole answer, so that a caller can check that the answer
// it got is whole and its own.
func Answer(seed uint64, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(seed, i))
	}
	return text.String()
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     peridotpath.Tokens `json:"prompt_tokens"`
	CompletionTokens peridotpath.Tokens `json:"completion_tokens"`
	TotalTokens      peridotpath.Tokens `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (stream *stream) usage() *usage {
	prompt := stream.prompt
	return &usage{PromptTokens: prompt.tokens, CompletionTokens: prompt.output, TotalTokens: prompt.tokens + prompt.output}
}

// events returns how many events the whole stream has: for a chat one with the
// role, one a token, one with the reason of the end, and the end mark.
func (stream *stream) events() int64 {
	return stream.opening() + int64(stream.prompt.output) + 2
}

func (stream *stream) opening() int64 {
	if stream.prompt.chat {
		return 1
	}
	return 0
}

// event returns the data of the event with that offset.
func (stream *stream) event(offset int64) []byte {
	index := offset - stream.opening()
	output := int64(stream.prompt.output)
	if index > output {
		return []byte(engine.Done)
	}
	part := completion{ID: stream.id, Object: "text_completion", Model: stream.prompt.model}
	text, reason := "", "length"
	next := choice{}
	switch {
	case index == output:
		next.FinishReason = &reason
		if stream.prompt.usage {
			part.Usage = stream.usage()
		}
	case index >= 0:
		text = Token(stream.seed, int(index))
	}
	if stream.prompt.chat {
		part.Object = "chat.completion.chunk"
		next.Delta = &message{Content: text}
		if index < 0 {
			next.Delta.Role = "assistant"
		}
	} else {
		next.Text = &text
	}
	part.Choices = []choice{next}
	return encode(part)
}

// whole returns the answer that is not a stream.
func (stream *stream) whole() []byte {
	text, reason := Answer(stream.seed, int(stream.prompt.output)), "length"
	only := choice{FinishReason: &reason}
	answer := completion{ID: stream.id, Object: "text_completion", Model: stream.prompt.model, Usage: stream.usage()}
	if stream.prompt.chat {
		answer.Object = "chat.completion"
		only.Message = &message{Role: "assistant", Content: text}
	} else {
		only.Text = &text
	}
	answer.Choices = []choice{only}
	return encode(answer)
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return []byte("{}")
	}
	return data
}
