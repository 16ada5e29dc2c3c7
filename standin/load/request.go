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

// request is one request of a caller, which may take several attempts.
type request struct {
	id          string
	work        *Work
	key         string
	stream      bool
	lengthClass peridotpath.LengthClass
	tokens      peridotpath.Tokens
	arrivesAt   time.Duration
	seed        uint64
	// copies is how many times the request is sent concurrently.
	copies int
}

// generateRequests generates all requests of a plan, in order of arrival.
func generateRequests(plan *Plan) []*request {
	random := rand.New(rand.NewPCG(plan.Seed, plan.Seed))
	shares := 0
	for _, work := range plan.Work {
		shares += work.Share
	}
	var requests []*request
	for i := range plan.Work {
		if plan.Work[i].SendsFirst {
			requests = append(requests, generateRequest(plan, &plan.Work[i], random, len(requests), 0))
		}
	}
	at := time.Duration(0)
	for len(requests) < plan.Requests {
		at += time.Duration(random.ExpFloat64() / plan.RatePerS * float64(time.Second))
		requests = append(requests, generateRequest(plan, pickWork(plan, random.IntN(shares)), random, len(requests), at))
	}
	return requests
}

func pickWork(plan *Plan, position int) *Work {
	for i := range plan.Work {
		if position -= plan.Work[i].Share; position < 0 {
			return &plan.Work[i]
		}
	}
	return &plan.Work[len(plan.Work)-1]
}

func generateRequest(plan *Plan, work *Work, random *rand.Rand, number int, arrivesAt time.Duration) *request {
	tokens := work.MinTokens + peridotpath.Tokens(random.Int64N(int64(work.MaxTokens-work.MinTokens)+1))
	copies := 1
	if random.IntN(100) < work.DuplicatePercent {
		copies = 2
	}
	return &request{
		copies: copies, id: fmt.Sprintf("load-%d-%d", plan.Seed, number), work: work, arrivesAt: arrivesAt, tokens: tokens,
		key: plan.Keys[random.IntN(len(plan.Keys))], stream: random.IntN(100) < work.StreamPercent,
		lengthClass: peridotpath.ClassOf(tokens+work.OutputTokens, plan.MaxEngineKV), seed: random.Uint64(),
	}
}

// reportName is the class of the request in the report: its length class, or the name of
// its work for a plain service.
func (request *request) reportName() string {
	if request.work.IsPlainService {
		return request.work.Name
	}
	return request.lengthClass.String()
}

// words are the vocabulary of the prompts. They have only letters, so that JSON does not
// escape them.
var words = strings.Fields("bag tag seal strap claim route belt dock leaf line folio gloss verse reading margin copy scribe hand note")

// randomText returns text of the given length in bytes, which depends only on the seed and
// the length.
func randomText(seed uint64, length int) string {
	random := rand.New(rand.NewPCG(seed, seed))
	var builder strings.Builder
	builder.Grow(length + 16)
	for builder.Len() < length {
		builder.WriteString(words[random.IntN(len(words))])
		builder.WriteByte(' ')
	}
	return builder.String()[:length]
}

// prompt returns the prompt of the request. Some prompts have the same first half.
func (request *request) prompt() string {
	length := int(request.tokens) * bytesPerToken
	if int(request.seed%100) >= request.work.SharedPercent {
		return randomText(request.seed, length)
	}
	return randomText(uint64(len(request.work.Name)), length/2) + randomText(request.seed, length-length/2)
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type requestBody struct {
	Model     string             `json:"model"`
	Prompt    string             `json:"prompt,omitempty"`
	Messages  []message          `json:"messages,omitempty"`
	MaxTokens peridotpath.Tokens `json:"max_tokens"`
	Stream    bool               `json:"stream"`
}

// body returns the request body.
func (request *request) body() ([]byte, error) {
	if request.work.IsPlainService {
		return []byte(request.prompt()), nil
	}
	body := requestBody{Model: string(request.work.Profile), MaxTokens: request.work.OutputTokens, Stream: request.stream}
	if request.work.Path == engine.PathChatCompletions {
		body.Messages = []message{{Role: "user", Content: request.prompt()}}
	} else {
		body.Prompt = request.prompt()
	}
	return json.Marshal(body)
}

// expectedAnswer returns the complete answer to this request.
func (request *request) expectedAnswer(body []byte) string {
	if request.work.IsPlainService {
		return servicetest.BodySum(body)
	}
	return enginetest.Answer(enginetest.AnswerSeed(body), int(request.work.OutputTokens))
}
