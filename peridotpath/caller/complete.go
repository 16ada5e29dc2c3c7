package caller

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/strictjson"
)

// complete serves the completion and chat-completion paths.
func (server *Server) complete(exchange *exchange) *peridotpath.Result {
	if exchange.request.Header.Get(HeaderLastEventID) != "" {
		return server.resume(exchange)
	}
	by, result := exchange.askedDeadline()
	if result != nil {
		return result
	}
	body, free, result := server.read(exchange, by)
	if result != nil {
		return result
	}
	free = sync.OnceFunc(free)
	defer free()
	request, result := server.classify(exchange, body)
	if result != nil {
		return result
	}
	exchange.serve(request.Work)
	if request.Work.Class == peridotpath.Oversize && server.Oversize != nil {
		server.Oversize(request.Work.Profile.Service, request.Work.PromptTokens+request.Work.MaxOutputTokens)
	}
	request.Free = free
	return server.once(exchange, body, func(ctx context.Context, maySend func() error) *peridotpath.Result {
		request.MaySend = maySend
		return server.Do(ctx, request, server.sink(exchange, request.Work))
	})
}

// fields are the parts of a body that this system reads; the rest passes by.
type fields struct {
	model  string
	stream bool
	output peridotpath.Tokens
	// prompt is the raw text of the prompt or the messages, part of the body.
	prompt string
	// oddMessages says that the messages are no list.
	oddMessages bool
}

// parse checks a body and takes all fields out of it at once, without copying it.
// A prompt of a million tokens is 4 to 6 MB: each further pass or copy adds
// milliseconds to its first token and to those of the requests beside it.
func parse(body []byte) (fields, bool) {
	var fields fields
	if !utf8.Valid(body) || !strictjson.Valid(body) {
		return fields, false
	}
	// The string shares the body's memory, which nothing writes to any more.
	object := gjson.Parse(unsafe.String(unsafe.SliceData(body), len(body)))
	if !object.IsObject() {
		return fields, false
	}
	object.ForEach(func(name, value gjson.Result) bool {
		switch name.Str {
		case "model":
			fields.model = strings.Clone(value.String())
		case "stream":
			fields.stream = value.Bool()
		case "max_tokens", "max_completion_tokens":
			fields.output = max(fields.output, peridotpath.Tokens(value.Int()))
		case "prompt", "messages":
			// The longest of them counts: a long prompt before an empty list of
			// messages would else pass every limit as a short one.
			if len(value.Raw) > len(fields.prompt) {
				fields.prompt = value.Raw
			}
			fields.oddMessages = fields.oddMessages || name.Str == "messages" && !value.IsArray()
		}
		return true
	})
	return fields, true
}

// classify turns a body into a request: profile, length, deadline.
func (server *Server) classify(exchange *exchange, body []byte) (*dispatch.Request, *peridotpath.Result) {
	fields, ok := parse(body)
	if !ok {
		return nil, &peridotpath.Result{Code: peridotpath.CodeBadRequest, Detail: "the body is not a JSON object in UTF-8"}
	}
	profile, result := exchange.profile(fields.model)
	if result != nil {
		return nil, result
	}
	if server.IsPlain != nil && server.IsPlain(profile.Service) {
		// An engine's call at a plain service would fail there, as what may have run.
		detail := "the profile is of a plain service: ask under " + ServicePrefix + string(profile.Name) + "/"
		return nil, &peridotpath.Result{Code: peridotpath.CodeBadRequest, Detail: detail}
	}
	if fields.oddMessages {
		return nil, &peridotpath.Result{Code: peridotpath.CodeBadRequest, Detail: "messages is not a list"}
	}
	if fields.prompt == "" {
		return nil, &peridotpath.Result{Code: peridotpath.CodeBadRequest, Detail: "neither prompt nor messages"}
	}
	deadline, result := exchange.deadline(profile)
	if result != nil {
		return nil, result
	}
	length := len(fields.prompt)
	prompt := server.estimator.tokens(profile.Service, length)
	if prompt > profile.MaxPromptTokens {
		return nil, &peridotpath.Result{Code: peridotpath.CodePromptTooLong, Detail: "about " + strconv.Itoa(int(prompt)) + " tokens"}
	}
	output := fields.output
	if output <= 0 || output > profile.MaxOutputTokens {
		output = profile.MaxOutputTokens
	}
	work := &decide.Work{
		ID: exchange.id, Customer: exchange.customer, Profile: profile,
		Class:        peridotpath.ClassOf(prompt+output, server.EngineHolds(profile.Service)),
		PromptTokens: prompt, MaxOutputTokens: output, Prefixes: prefixes(fields.prompt),
		ArrivedAt: exchange.arrived, Deadline: deadline,
	}
	return &dispatch.Request{
		Work: work, Path: exchange.request.URL.Path, Body: engine.NewBody(body), Stream: fields.stream,
		Usage: func(tokens peridotpath.Tokens) { server.estimator.observe(profile.Service, length, tokens) },
	}, nil
}

// profile picks by header, else by the model's name.
func (exchange *exchange) profile(model string) (*peridotpath.Profile, *peridotpath.Result) {
	name := exchange.request.Header.Get(HeaderProfile)
	if name == "" {
		name = model
	}
	profile := exchange.config.Profile(name)
	if profile == nil {
		return nil, &peridotpath.Result{Code: peridotpath.CodeUnknownProfile, Detail: strconv.Quote(name)}
	}
	return profile, nil
}

// deadline is the profile's, or an earlier one that the caller asks for.
func (exchange *exchange) deadline(profile *peridotpath.Profile) (time.Time, *peridotpath.Result) {
	asked, result := exchange.askedDeadline()
	return earlier(exchange.arrived.Add(profile.DeadlineMS.Duration()), asked), result
}

// askedDeadline is the one that the caller asks for, zero for none.
func (exchange *exchange) askedDeadline() (time.Time, *peridotpath.Result) {
	text := exchange.request.Header.Get(HeaderDeadlineMS)
	if text == "" {
		return time.Time{}, nil
	}
	asked, err := strconv.ParseInt(text, 10, 64)
	if err != nil || asked <= 0 {
		return time.Time{}, &peridotpath.Result{Code: peridotpath.CodeBadDeadline, Detail: strconv.Quote(text)}
	}
	// A longer one than any profile's would overflow a duration.
	asked = min(asked, peridotpath.MaxDeadlineMS)
	return exchange.arrived.Add(peridotpath.Millis(asked).Duration()), nil
}

// read reads the body, which must be there by the given time unless that is zero.
func (server *Server) read(exchange *exchange, by time.Time) ([]byte, func(), *peridotpath.Result) {
	body, free, result := server.Bodies.Read(exchange.writer, exchange.request, by)
	exchange.bodyRead = result == nil
	return body, free, result
}

// Prefixes are hashed at these lengths in bytes, each twice the one before, as
// decide.Work.Prefixes has them in tokens. The bytes are those of the first
// estimate: lengths that follow it would hash one text at changing places.
const (
	firstPrefix = int(startBytesPerToken) * int(decide.PrefixBlock)
	prefixStep  = 2
)

func prefixes(text string) []uint64 {
	var sums []uint64
	hash := xxhash.New()
	done := 0
	for end := firstPrefix; end <= len(text); end *= prefixStep {
		_, _ = hash.WriteString(text[done:end])
		sums = append(sums, hash.Sum64())
		done = end
	}
	return sums
}

// resume goes on with a stream after the event that the caller had last, at
// this Instance, whichever one began it.
func (server *Server) resume(exchange *exchange) *peridotpath.Result {
	text := exchange.request.Header.Get(HeaderLastEventID)
	stream, after, err := server.Signer.Verify(exchange.customer.ID, text)
	if cursor.ErrNoSecret.Has(err) {
		// An instance that starts during an outage cannot tell. Called bad, a good
		// cursor would be thrown away, and with it the rest of the answer.
		return &peridotpath.Result{Code: peridotpath.CodeNotReady, RetryAfter: time.Second, Detail: err.Error()}
	}
	if err != nil {
		return &peridotpath.Result{Code: peridotpath.CodeBadCursor, Detail: err.Error()}
	}
	profile := exchange.config.Profile(string(stream.Profile))
	endpoint, found := server.Endpoint(stream.Endpoint)
	if profile == nil || !found {
		return &peridotpath.Result{Code: peridotpath.CodeStreamCut, Detail: "the stream's endpoint is gone"}
	}
	if !time.Now().Before(stream.Deadline()) {
		return &peridotpath.Result{Code: peridotpath.CodeDeadline, Detail: "the request's time has run out"}
	}
	// A client that repeats its call sends the body again; left unread it would
	// hold the answer back.
	_, free, result := server.read(exchange, stream.Deadline())
	if result != nil {
		return result
	}
	free()
	work := &decide.Work{
		ID: exchange.id, Customer: exchange.customer, Profile: profile,
		ArrivedAt: exchange.arrived, Deadline: stream.Deadline(), Attempts: 1,
	}
	exchange.serve(work)
	return server.Continue(exchange.request.Context(), work, endpoint, stream.ID, after, server.sink(exchange, work))
}
