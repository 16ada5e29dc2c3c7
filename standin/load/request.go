package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/engine/enginetest"
	"peridotpath.example/peridotpath/service/servicetest"
)

const bytesPerToken = 4

// request is one request of one caller, whatever number of tries it takes.
type request struct {
	id     string
	work   *Work
	key    string
	stream bool
	class  peridotpath.LengthClass
	tokens peridotpath.Tokens
	at     time.Duration
	seed   uint64
	// copies is how often the request is sent at the same time.
	copies int
}

// requests draws all requests of a plan, in order of arrival.
func requests(plan *Plan) []*request {
	random := rand.New(rand.NewPCG(plan.Seed, plan.Seed))
	shares := 0
	for _, work := range plan.Work {
		shares += work.Share
	}
	var all []*request
	for i := range plan.Work {
		if plan.Work[i].First {
			all = append(all, draw(plan, &plan.Work[i], random, len(all), 0))
		}
	}
	at := time.Duration(0)
	for len(all) < plan.Requests {
		at += time.Duration(random.ExpFloat64() / plan.RatePerS * float64(time.Second))
		all = append(all, draw(plan, pickWork(plan, random.IntN(shares)), random, len(all), at))
	}
	return all
}

func pickWork(plan *Plan, at int) *Work {
	for i := range plan.Work {
		if at -= plan.Work[i].Share; at < 0 {
			return &plan.Work[i]
		}
	}
	return &plan.Work[len(plan.Work)-1]
}

func draw(plan *Plan, work *Work, random *rand.Rand, number int, at time.Duration) *request {
	tokens := work.MinTokens + peridotpath.Tokens(random.Int64N(int64(work.MaxTokens-work.MinTokens)+1))
	copies := 1
	if random.IntN(100) < work.DuplicatePercent {
		copies = 2
	}
	return &request{
		copies: copies, id: fmt.Sprintf("load-%d-%d", plan.Seed, number), work: work, at: at, tokens: tokens,
		key: plan.Keys[random.IntN(len(plan.Keys))], stream: random.IntN(100) < work.StreamPercent,
		class: peridotpath.ClassOf(tokens+work.OutputTokens, plan.EngineHolds), seed: random.Uint64(),
	}
}

// name is the request's line in the report: its length class, or a plain call's name.
func (request *request) name() string {
	if request.work.Plain {
		return request.work.Name
	}
	return request.class.String()
}

// words make up prompts. They are of plain letters, so that JSON leaves them as they are.
var words = strings.Fields("bag tag seal strap claim route belt dock leaf line folio gloss verse reading margin copy scribe hand note")

// text returns text of the given length in bytes, a function of seed.
func text(seed uint64, length int) string {
	random := rand.New(rand.NewPCG(seed, seed))
	var builder strings.Builder
	builder.Grow(length + 16)
	for builder.Len() < length {
		builder.WriteString(words[random.IntN(len(words))])
		builder.WriteByte(' ')
	}
	return builder.String()[:length]
}

// prompt returns the request's text; some begin with a half that others share.
func (request *request) prompt() string {
	length := int(request.tokens) * bytesPerToken
	if int(request.seed%100) >= request.work.SharedPercent {
		return text(request.seed, length)
	}
	return text(uint64(len(request.work.Name)), length/2) + text(request.seed, length-length/2)
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type body struct {
	Model     string             `json:"model"`
	Prompt    string             `json:"prompt,omitempty"`
	Messages  []message          `json:"messages,omitempty"`
	MaxTokens peridotpath.Tokens `json:"max_tokens"`
	Stream    bool               `json:"stream"`
}

// body returns what is sent.
func (request *request) body() ([]byte, error) {
	if request.work.Plain {
		return []byte(request.prompt()), nil
	}
	sent := body{Model: string(request.work.Profile), MaxTokens: request.work.OutputTokens, Stream: request.stream}
	if request.work.Path == engine.PathChatCompletions {
		sent.Messages = []message{{Role: "user", Content: request.prompt()}}
	} else {
		sent.Prompt = request.prompt()
	}
	return json.Marshal(sent)
}

// want returns the whole answer that is this request's own.
func (request *request) want(body []byte) string {
	if request.work.Plain {
		return servicetest.BodySum(body)
	}
	return enginetest.Answer(enginetest.AnswerSeed(body), int(request.work.OutputTokens))
}
