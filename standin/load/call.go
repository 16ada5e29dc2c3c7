package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/outbound"
)

const (
	// patience is how much later than its time an answer may come: the way to
	// the caller and the scheduling of a busy machine.
	patience = 5 * time.Second
	// brokenPause is the wait before a caller goes to another instance.
	brokenPause = 50 * time.Millisecond
	// longestWait bounds what is waited on a Retry-After.
	longestWait = 5 * time.Second
	maxTries    = 40
	// keyRunning says that another instance runs a request with the same key.
	keyRunning = "key_running"
)

// verdict is how a request ended for its caller.
type verdict string

const (
	// answered: the whole answer, and its own.
	answered verdict = "answered"
	// refused: told that it was not run, until its time was over.
	refused verdict = "refused"
	// failed: told that it failed, with a code.
	failed verdict = "failed"
	// unknown: told that it may have run, or not sent again for that reason.
	unknown verdict = "unknown"
	// lost: neither an answer nor a failure came within its time.
	lost verdict = "lost"
	// cutOff: the answer began and broke off for good.
	cutOff verdict = "cut_off"
	// wrong: an answer that is not whole or not its own.
	wrong verdict = "wrong"
)

// ending is a request's end, with what the caller saw on the way.
type ending struct {
	request *request
	verdict verdict
	// code names the last failure.
	code string
	// refusals counts the codes of answers that said "not run".
	refusals map[string]int
	// onlyNotRun says that no try may have run, as far as the caller was told.
	onlyNotRun bool
	resumed    int
	broken     int
	firstToken time.Duration
	total      time.Duration
}

// try is what one call came to.
type try struct {
	verdict verdict
	code    string
	wait    time.Duration
	// broke says that the connection ended before the answer did; sent that the
	// call may have arrived.
	broke bool
	sent  bool
}

// call is one request while it runs.
type call struct {
	*ending
	balancer    *balancer
	repeatKeyed bool
	body        []byte
	want        string
	began       time.Time
	// text is the part of the answer that is there, last the id of its last event.
	text strings.Builder
	last string
}

// do sends the request until it ends one way or another.
func do(ctx context.Context, balancer *balancer, request *request, repeatKeyed bool) *ending {
	call := &call{repeatKeyed: repeatKeyed, ending: &ending{request: request, refusals: map[string]int{}, onlyNotRun: true}, balancer: balancer, began: time.Now()}
	sent, err := request.body()
	if err != nil {
		call.verdict, call.code = lost, err.Error()
		return call.ending
	}
	call.body, call.want = sent, request.want(sent)
	ctx, cancel := context.WithTimeout(ctx, request.work.DeadlineMS.Duration()+patience)
	defer cancel()
	call.run(ctx)
	call.total = time.Since(call.began)
	return call.ending
}

func (call *call) run(ctx context.Context) {
	instance := netip.AddrPort{}
	for range maxTries {
		instance = call.balancer.pick(instance)
		try := call.try(ctx, instance)
		call.verdict, call.code = try.verdict, try.code
		if try.verdict == refused {
			call.refusals[try.code]++
		} else if try.sent {
			call.onlyNotRun = false
		}
		if try.broke {
			call.broken++
		}
		if !call.again(try) || !pause(ctx, try.wait) {
			return
		}
	}
}

// again says whether the caller tries once more. A refusal may be repeated when
// it says when; a call without an answer if it is idempotent, if it certainly
// never arrived, or if its key keeps it from running twice.
func (call *call) again(try try) bool {
	over := time.Since(call.began)+try.wait >= call.request.work.DeadlineMS.Duration()
	switch {
	case over:
		return false
	case try.verdict == refused || try.code == keyRunning:
		return try.wait > 0
	case !try.broke:
		return false
	default:
		return call.request.work.Idempotent || !try.sent || call.repeatKeyed
	}
}

func pause(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}

// onceReader keeps the transport from sending a body again by itself.
type onceReader struct{ io.Reader }

func (call *call) prepare(ctx context.Context, instance netip.AddrPort) (*http.Request, error) {
	work := call.request.work
	path := work.Path
	if work.Plain {
		path = caller.ServicePrefix + string(work.Profile) + path
	}
	made, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instance.String()+path, onceReader{bytes.NewReader(call.body)})
	if err != nil {
		return nil, err
	}
	made.ContentLength = int64(len(call.body))
	made.Header.Set("Authorization", "Bearer "+call.request.key)
	made.Header.Set("Content-Type", "application/json")
	made.Header.Set(caller.HeaderRequestID, call.request.id)
	left := work.DeadlineMS.Duration() - time.Since(call.began)
	made.Header.Set(caller.HeaderDeadlineMS, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if !work.Idempotent {
		made.Header.Set(caller.HeaderIdempotencyKey, call.request.id)
	}
	if call.last != "" {
		made.Header.Set(caller.HeaderLastEventID, call.last)
	}
	return made, nil
}

// try makes one call.
func (call *call) try(ctx context.Context, instance netip.AddrPort) try {
	made, err := call.prepare(ctx, instance)
	if err != nil {
		return try{verdict: lost, code: err.Error()}
	}
	if call.last != "" {
		call.resumed++
	}
	response, err := call.balancer.target.do(made)
	if err != nil {
		return call.broke(ctx, err, !outbound.ErrNotSent.Has(err))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return call.failure(ctx, response)
	}
	if call.request.stream {
		return call.readStream(ctx, response)
	}
	return call.readWhole(ctx, response)
}

// broke sorts a call whose connection ended early.
func (call *call) broke(ctx context.Context, err error, sent bool) try {
	result := try{verdict: lost, code: "connection", wait: brokenPause, broke: true, sent: sent}
	switch {
	case ctx.Err() != nil:
		return try{verdict: lost, code: "no answer in time", sent: sent}
	case call.last != "":
		result.verdict = cutOff
	case sent && !call.request.work.Idempotent:
		// The key makes it safe to ask again: it runs once at most.
		result.verdict = unknown
	}
	if errors.Is(err, context.Canceled) {
		result.broke = false
	}
	return result
}

// errUnframed is the class of answers that are not what the interface says.
var errUnframed = errs.Class("load: not an error object")

func (call *call) failure(ctx context.Context, response *http.Response) try {
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return call.broke(ctx, err, true)
	}
	return call.failureOf(text)
}

// failureOf sorts an error object.
func (call *call) failureOf(text []byte) try {
	fields := gjson.GetManyBytes(text, "error.code", "error.not_run", "error.retry_after_ms")
	code, wait := fields[0].String(), min(time.Duration(fields[2].Int())*time.Millisecond, longestWait)
	switch {
	case code == "":
		return try{verdict: wrong, code: errUnframed.New("%.80q", text).Error(), sent: true}
	case fields[1].Bool() && call.last == "":
		return try{verdict: refused, code: code, wait: wait}
	case code == keyRunning:
		return try{verdict: unknown, code: code, wait: wait, sent: true}
	case code == "outcome_unknown" || code == "answer_gone":
		return try{verdict: unknown, code: code, sent: true}
	case call.last != "":
		return try{verdict: cutOff, code: code, sent: true}
	default:
		return try{verdict: failed, code: code, sent: true}
	}
}

func (call *call) readWhole(ctx context.Context, response *http.Response) try {
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return call.broke(ctx, err, true)
	}
	fields := gjson.GetManyBytes(text, "choices.0.text", "choices.0.message.content", "body")
	got := fields[0].String() + fields[1].String()
	if call.request.work.Plain {
		got = fields[2].String()
	}
	return call.check(got)
}

func (call *call) check(got string) try {
	if got != call.want {
		return try{verdict: wrong, code: "answer has " + strconv.Itoa(len(got)) + " bytes of " + strconv.Itoa(len(call.want)), sent: true}
	}
	return try{verdict: answered, sent: true}
}

// readStream reads events until the end mark. What is there is kept, so that a
// stream that breaks off is resumed after its last event.
func (call *call) readStream(ctx context.Context, response *http.Response) try {
	events := readEvents(response.Body)
	for {
		event, err := events.next()
		if err != nil {
			return call.broke(ctx, err, true)
		}
		if event.kind == "error" {
			return call.failureOf(event.data)
		}
		if string(event.data) == engine.EndMark {
			return call.check(call.text.String())
		}
		part := gjson.GetBytes(event.data, "choices.0.text").String() + gjson.GetBytes(event.data, "choices.0.delta.content").String()
		if part != "" && call.firstToken == 0 {
			call.firstToken = time.Since(call.began)
		}
		call.text.WriteString(part)
		if event.id != "" {
			call.last = event.id
		}
	}
}
