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

// serveCompletion serves the completion and chat-completion paths.
func (server *Server) serveCompletion(exchange *exchange) *peridotpath.Result {
	if exchange.request.Header.Get(HeaderLastEventID) != "" {
		return server.resumeStream(exchange)
	}
	deadline, result := exchange.callerDeadline()
	if result != nil {
		return result
	}
	body, release, result := server.readBody(exchange, deadline)
	if result != nil {
		return result
	}
	release = sync.OnceFunc(release)
	defer release()
	request, result := server.newRequest(exchange, body)
	if result != nil {
		return result
	}
	exchange.setWork(request.Work)
	if request.Work.Class == peridotpath.Oversize && server.OnOversizePrompt != nil {
		server.OnOversizePrompt(request.Work.Profile.Service, request.Work.PromptTokens+request.Work.MaxOutputTokens)
	}
	request.OnBodyReleased = release
	return server.runOnce(exchange, body, func(ctx context.Context, maySend func() error) *peridotpath.Result {
		request.MaySend = maySend
		return server.Do(ctx, request, server.answerSink(exchange, request.Work))
	})
}

// bodyFields has the fields of a body that are evaluated; the engine gets the whole body.
type bodyFields struct {
	model     string
	stream    bool
	maxTokens peridotpath.Tokens
	// prompt is the raw text of the prompt or the messages, part of the body.
	prompt string
	// messagesNotArray is set if messages is present and not an array.
	messagesNotArray bool
}

// parseBody validates a body and extracts all fields in one pass, without a copy. A
// prompt of a million tokens is 4 to 6 MB: each further pass or copy adds
// milliseconds to its time to first token and to that of concurrent requests.
func parseBody(body []byte) (bodyFields, bool) {
	var fields bodyFields
	if !utf8.Valid(body) || !strictjson.Valid(body) {
		return fields, false
	}
	// The string shares the body's memory, which is not written after this point.
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
			fields.maxTokens = max(fields.maxTokens, peridotpath.Tokens(value.Int()))
		case "prompt", "messages":
			// The longest value counts: otherwise a long prompt before an empty list
			// of messages would pass every limit as a short one.
			if len(value.Raw) > len(fields.prompt) {
				fields.prompt = value.Raw
			}
			fields.messagesNotArray = fields.messagesNotArray || name.Str == "messages" && !value.IsArray()
		}
		return true
	})
	return fields, true
}

// newRequest makes a request from a body: it finds the profile, estimates the length
// and sets the deadline.
func (server *Server) newRequest(exchange *exchange, body []byte) (*dispatch.Request, *peridotpath.Result) {
	fields, ok := parseBody(body)
	if !ok {
		return nil, &peridotpath.Result{Code: peridotpath.CodeBadRequest, Detail: "the body is not a JSON object in UTF-8"}
	}
	profile, result := exchange.findProfile(fields.model)
	if result != nil {
		return nil, result
	}
	if server.IsPlainService != nil && server.IsPlainService(profile.Service) {
		// A completion request would fail at a plain service and be reported as one
		// that may have run.
		detail := "the profile is of a plain service: ask under " + ServicePrefix + string(profile.Name) + "/"
		return nil, &peridotpath.Result{Code: peridotpath.CodeBadRequest, Detail: detail}
	}
	if fields.messagesNotArray {
		return nil, &peridotpath.Result{Code: peridotpath.CodeBadRequest, Detail: "messages is not a list"}
	}
	if fields.prompt == "" {
		return nil, &peridotpath.Result{Code: peridotpath.CodeBadRequest, Detail: "neither prompt nor messages"}
	}
	deadline, result := exchange.requestDeadline(profile)
	if result != nil {
		return nil, result
	}
	promptBytes := len(fields.prompt)
	prompt := server.estimator.estimate(profile.Service, promptBytes)
	if prompt > profile.MaxPromptTokens {
		return nil, &peridotpath.Result{Code: peridotpath.CodePromptTooLong, Detail: "about " + strconv.Itoa(int(prompt)) + " tokens"}
	}
	output := fields.maxTokens
	if output <= 0 || output > profile.MaxOutputTokens {
		output = profile.MaxOutputTokens
	}
	work := &decide.Work{
		ID: exchange.id, Customer: exchange.customer, Profile: profile,
		Class:        peridotpath.ClassOf(prompt+output, server.LargestEngineKV(profile.Service)),
		PromptTokens: prompt, MaxOutputTokens: output, Prefixes: prefixHashes(fields.prompt),
		ArrivedAt: exchange.arrivedAt, Deadline: deadline,
	}
	return &dispatch.Request{
		Work: work, Path: exchange.request.URL.Path, Body: engine.NewBody(body), WantsStream: fields.stream,
		OnPromptUsage: func(tokens peridotpath.Tokens) { server.estimator.observe(profile.Service, promptBytes, tokens) },
	}, nil
}

// findProfile returns the profile named in the header, or else by the model.
func (exchange *exchange) findProfile(model string) (*peridotpath.Profile, *peridotpath.Result) {
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

// requestDeadline returns the profile's deadline, or an earlier one that the caller
// requests.
func (exchange *exchange) requestDeadline(profile *peridotpath.Profile) (time.Time, *peridotpath.Result) {
	requested, result := exchange.callerDeadline()
	return earlier(exchange.arrivedAt.Add(profile.DeadlineMS.Duration()), requested), result
}

// callerDeadline returns the deadline that the caller requests, zero for none.
func (exchange *exchange) callerDeadline() (time.Time, *peridotpath.Result) {
	text := exchange.request.Header.Get(HeaderDeadlineMS)
	if text == "" {
		return time.Time{}, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds <= 0 {
		return time.Time{}, &peridotpath.Result{Code: peridotpath.CodeBadDeadline, Detail: strconv.Quote(text)}
	}
	// A value beyond any profile's deadline could overflow a duration.
	milliseconds = min(milliseconds, peridotpath.MaxDeadlineMS)
	return exchange.arrivedAt.Add(peridotpath.Millis(milliseconds).Duration()), nil
}

// readBody reads the body, which must arrive by the given time unless that is zero.
func (server *Server) readBody(exchange *exchange, deadline time.Time) ([]byte, func(), *peridotpath.Result) {
	body, release, result := server.BodyReader.Read(exchange.writer, exchange.request, deadline)
	exchange.bodyConsumed = result == nil
	return body, release, result
}

// Prefixes are hashed at doubling lengths: those of decide.Work.Prefixes, converted
// from tokens to bytes by initialBytesPerToken. Converted by the current estimate the
// lengths would change, and repeated hashes of one text would not match.
const (
	firstPrefixSize = int(initialBytesPerToken) * int(decide.PrefixBlock)
	prefixGrowth    = 2
)

func prefixHashes(text string) []uint64 {
	var hashes []uint64
	hash := xxhash.New()
	hashedSize := 0
	for end := firstPrefixSize; end <= len(text); end *= prefixGrowth {
		_, _ = hash.WriteString(text[hashedSize:end])
		hashes = append(hashes, hash.Sum64())
		hashedSize = end
	}
	return hashes
}

// resumeStream continues a stream after the caller's last event. The stream may have been
// started at another Instance.
func (server *Server) resumeStream(exchange *exchange) *peridotpath.Result {
	cursorText := exchange.request.Header.Get(HeaderLastEventID)
	stream, after, err := server.Signer.Verify(exchange.customer.ID, cursorText)
	if cursor.ErrNoSecret.Has(err) {
		// An instance that starts during an outage cannot verify cursors yet. If it
		// reported a valid cursor as bad, the client would discard it and lose the
		// rest of the answer.
		return &peridotpath.Result{Code: peridotpath.CodeNotReady, RetryAfter: time.Second, Detail: err.Error()}
	}
	if err != nil {
		return &peridotpath.Result{Code: peridotpath.CodeBadCursor, Detail: err.Error()}
	}
	profile := exchange.config.Profile(string(stream.Profile))
	endpoint, found := server.FindEndpoint(stream.Endpoint)
	if profile == nil || !found {
		return &peridotpath.Result{Code: peridotpath.CodeStreamCut, Detail: "the stream's endpoint is gone"}
	}
	if !time.Now().Before(stream.Deadline()) {
		return &peridotpath.Result{Code: peridotpath.CodeDeadline, Detail: "the request's time has run out"}
	}
	// A client that repeats its request sends the body again; an unread body would
	// delay the answer.
	_, release, result := server.readBody(exchange, stream.Deadline())
	if result != nil {
		return result
	}
	release()
	work := &decide.Work{
		ID: exchange.id, Customer: exchange.customer, Profile: profile,
		ArrivedAt: exchange.arrivedAt, Deadline: stream.Deadline(), Attempts: 1,
	}
	exchange.setWork(work)
	return server.ContinueStream(exchange.request.Context(), work, endpoint, stream.ID, after, server.answerSink(exchange, work))
}
