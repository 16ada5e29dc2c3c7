package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/answerhead"
	"peridotpath.example/peridotpath/outbound"
)

const (
	controlTimeout       = 2 * time.Second
	maxControlReplyBytes = 4 << 20
)

// Client sends requests to engines on behalf of one Instance.
type Client struct {
	Instance    peridotpath.InstanceID
	Incarnation peridotpath.Incarnation
	// Do sends an HTTP request; nil selects outbound.Do.
	Do func(request *http.Request) (*http.Response, error)
}

func (client *Client) do(request *http.Request) (*http.Response, error) {
	if client.Do != nil {
		return client.Do(request)
	}
	return outbound.Do(request)
}

// Request is a prompt to be sent to an engine.
type Request struct {
	ID   peridotpath.RequestID
	Path string
	// Body is the request's body; nil means none.
	Body     *Body
	Priority int
	Deadline time.Time
}

// Answer is an engine's response, whose headers have been received. The caller
// closes Body.
type Answer struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	StreamID string
}

// Send posts the prompt and returns when the engine's response headers have been
// received. The class of the error determines whether the request may have run.
func (client *Client) Send(ctx context.Context, address netip.AddrPort, prompt *Request) (*Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+prompt.Path, nil)
	if err != nil {
		return nil, ErrNotConnected.Wrap(err)
	}
	if prompt.Body != nil {
		prompt.Body.attach(request)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderRequestID, string(prompt.ID))
	request.Header.Set(HeaderPriority, strconv.Itoa(prompt.Priority))
	request.Header.Set(HeaderDeadlineMS, strconv.FormatInt(time.Until(prompt.Deadline).Milliseconds(), 10))
	client.setSender(request)
	// No Idempotency-Key header is set: with it net/http retries a POST by itself
	// after a lost response, and the request may run twice unnoticed.
	return classify(client.do(request))
}

func (client *Client) setSender(request *http.Request) {
	request.Header.Set(HeaderInstance, string(client.Instance))
	request.Header.Set(HeaderIncarnation, strconv.FormatUint(uint64(client.Incarnation), 10))
}

// classify returns an Answer for a successful response, otherwise a classified error.
func classify(response *http.Response, err error) (*Answer, error) {
	if outbound.ErrNotSent.Has(err) {
		return nil, ErrNotConnected.Wrap(err)
	}
	if err != nil {
		return nil, ErrFailed.Wrap(err)
	}
	head := answerhead.Head{Status: response.StatusCode, StatesNotRun: response.Header.Get(HeaderNotRun) != ""}
	if response.StatusCode == http.StatusOK && !head.IsContradictory() {
		return &Answer{
			Status: response.StatusCode, Header: response.Header, Body: response.Body,
			StreamID: response.Header.Get(HeaderStreamID),
		}, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	if head.IsContradictory() {
		return nil, ErrFailed.New("a success states that the request has not run: %v", &head)
	}
	return nil, refusalError(response, string(text))
}

// refusalError returns an error of the class for the status. The variable class is a
// pointer because errs compares classes by address: errors of a copied class would match
// no class.
func refusalError(response *http.Response, text string) error {
	if response.Header.Get(HeaderNotRun) == NotRunLeaving {
		return ErrRefused.Wrap(ErrLeaving.New("status %d: %s", response.StatusCode, text))
	}
	class := &ErrFailed
	switch {
	case response.Header.Get(HeaderNotRun) != "":
		class = &ErrRefused
	case response.StatusCode == http.StatusGone || response.StatusCode == http.StatusNotFound:
		class = &ErrStreamGone
	case response.StatusCode == http.StatusBadRequest || response.StatusCode == http.StatusUnprocessableEntity:
		class = &ErrBadRequest
	}
	refusal := class.New("status %d: %s", response.StatusCode, text)
	if class == &ErrRefused {
		return outbound.WithBackoff(response, refusal)
	}
	return refusal
}

// Resume attaches a reader to a stream that the engine still holds, and returns the
// events after the given offset.
func (client *Client) Resume(ctx context.Context, address netip.AddrPort, stream string, after int64) (*Answer, error) {
	target := "http://" + address.String() + PathStreams + "/" + url.PathEscape(stream) + "?after=" + strconv.FormatInt(after, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, ErrStreamGone.Wrap(err)
	}
	client.setSender(request)
	return classify(client.do(request))
}

// Cancel ends a stream and frees its memory. With onlyDetached the engine ends the
// stream only if no reader is attached, so that a stream that another process has resumed
// continues. Cancelling a stream that no longer exists succeeds.
func (client *Client) Cancel(ctx context.Context, address netip.AddrPort, stream string, onlyDetached bool) error {
	target := "http://" + address.String() + PathStreams + "/" + url.PathEscape(stream)
	if onlyDetached {
		target += "?only_detached=true"
	}
	err := client.control(ctx, http.MethodDelete, target, nil)
	if ErrStreamGone.Has(err) {
		return nil
	}
	return err
}

// FetchLoad returns the engine's load report.
func (client *Client) FetchLoad(ctx context.Context, address netip.AddrPort) (peridotpath.Load, error) {
	var load peridotpath.Load
	err := client.control(ctx, http.MethodGet, "http://"+address.String()+PathLoad, &load)
	return load, err
}

// ListStreams lists the streams that the engine holds.
func (client *Client) ListStreams(ctx context.Context, address netip.AddrPort) ([]StreamInfo, error) {
	var streams []StreamInfo
	err := client.control(ctx, http.MethodGet, "http://"+address.String()+PathStreams, &streams)
	return streams, err
}

// control sends a request with controlTimeout and decodes the JSON response into
// reply, if not nil.
func (client *Client) control(ctx context.Context, method, target string, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return ErrNotConnected.Wrap(err)
	}
	client.setSender(request)
	response, err := classify(client.do(request))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxControlReplyBytes)).Decode(reply); err != nil {
		return ErrFailed.Wrap(err)
	}
	return nil
}
