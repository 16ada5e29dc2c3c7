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

// prompt holds the fields of a request body that the engine uses.
type prompt struct {
	// text is the raw JSON of prompt and messages, over which prefixes are hashed.
	text         string
	model        string
	chat         bool
	stream       bool
	promptTokens peridotpath.Tokens
	outputTokens peridotpath.Tokens
	includeUsage bool
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
		promptTokens: peridotpath.Tokens(len(text)/bytesPerToken + 1),
		outputTokens: max(peridotpath.Tokens(max(fields[4].Int(), fields[5].Int())), 1),
		includeUsage: fields[6].Bool(),
	}, nil
}

// AnswerSeed returns the seed from which the answer to a request body is generated.
func AnswerSeed(body []byte) uint64 {
	fields := gjson.GetManyBytes(body, "prompt", "messages")
	return xxhash.Sum64String(fields[0].Raw + fields[1].Raw)
}

// AnswerToken returns the token at index of the answer with the given seed.
func AnswerToken(seed uint64, index int) string {
	return fmt.Sprintf("%x-%d ", uint16(seed>>16)^uint16(seed)+uint16(index*40503), index)
}

// Answer returns the whole answer, so that a client can verify that the answer it
// received is complete and belongs to its prompt.
func Answer(seed uint64, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(AnswerToken(seed, i))
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
	return &usage{PromptTokens: prompt.promptTokens, CompletionTokens: prompt.outputTokens, TotalTokens: prompt.promptTokens + prompt.outputTokens}
}

// eventCount returns the number of events of the whole stream: one with the role if it
// is a chat, one per token, one with the finish reason, and the end mark.
func (stream *stream) eventCount() int64 {
	return stream.roleEventCount() + int64(stream.prompt.outputTokens) + 2
}

func (stream *stream) roleEventCount() int64 {
	if stream.prompt.chat {
		return 1
	}
	return 0
}

// event returns the data of the event at offset.
func (stream *stream) event(offset int64) []byte {
	index := offset - stream.roleEventCount()
	output := int64(stream.prompt.outputTokens)
	if index > output {
		return []byte(engine.EndMarker)
	}
	part := completion{ID: stream.id, Object: "text_completion", Model: stream.prompt.model}
	text, reason := "", "length"
	onlyChoice := choice{}
	switch {
	case index == output:
		onlyChoice.FinishReason = &reason
		if stream.prompt.includeUsage {
			part.Usage = stream.usage()
		}
	case index >= 0:
		text = AnswerToken(stream.seed, int(index))
	}
	if stream.prompt.chat {
		part.Object = "chat.completion.chunk"
		onlyChoice.Delta = &message{Content: text}
		if index < 0 {
			onlyChoice.Delta.Role = "assistant"
		}
	} else {
		onlyChoice.Text = &text
	}
	part.Choices = []choice{onlyChoice}
	return encode(part)
}

// wholeBody returns the body of the answer if it is not streamed.
func (stream *stream) wholeBody() []byte {
	text, reason := Answer(stream.seed, int(stream.prompt.outputTokens)), "length"
	onlyChoice := choice{FinishReason: &reason}
	answer := completion{ID: stream.id, Object: "text_completion", Model: stream.prompt.model, Usage: stream.usage()}
	if stream.prompt.chat {
		answer.Object = "chat.completion"
		onlyChoice.Message = &message{Role: "assistant", Content: text}
	} else {
		onlyChoice.Text = &text
	}
	answer.Choices = []choice{onlyChoice}
	return encode(answer)
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return []byte("{}")
	}
	return data
}
