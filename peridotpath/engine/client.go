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
	"peridotpath.example/peridotpath/outbound"
)

const (
	controlTimeout  = 2 * time.Second
	maxControlReply = 4 << 20
)

// Client sends work to engines in the name of one Instance.
type Client struct {
	Instance    peridotpath.InstanceID
	Incarnation peridotpath.Incarnation
	// Do makes an HTTP call; nil stands for outbound.Do.
	Do func(request *http.Request) (*http.Response, error)
}

func (client *Client) do(request *http.Request) (*http.Response, error) {
	if client.Do != nil {
		return client.Do(request)
	}
	return outbound.Do(request)
}

// Request is one prompt on its way to an engine.
type Request struct {
	ID   peridotpath.RequestID
	Path string
	// Body may be nil for none.
	Body     *Body
	Priority int
	Deadline time.Time
}

// Answer is an engine's answer once its headers are in. The caller closes Body.
type Answer struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	StreamID string
}

// Send posts the prompt and returns when the engine's headers are in. The
// error's class tells whether the work may have run.
func (client *Client) Send(ctx context.Context, address netip.AddrPort, work *Request) (*Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+work.Path, nil)
	if err != nil {
		return nil, ErrUnreached.Wrap(err)
	}
	if work.Body != nil {
		work.Body.attach(request)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderRequestID, string(work.ID))
	request.Header.Set(HeaderPriority, strconv.Itoa(work.Priority))
	request.Header.Set(HeaderDeadlineMS, strconv.FormatInt(time.Until(work.Deadline).Milliseconds(), 10))
	client.name(request)
	// No Idempotency-Key goes to an engine: with it the transport would send a
	// POST again by itself after an answer was lost, and run work twice without
	// this system knowing.
	return answer(client.do(request))
}

func (client *Client) name(request *http.Request) {
	request.Header.Set(HeaderInstance, string(client.Instance))
	request.Header.Set(HeaderIncarnation, strconv.FormatUint(uint64(client.Incarnation), 10))
}

// answer sorts what came back into an Answer or a class of failure.
func answer(response *http.Response, err error) (*Answer, error) {
	if outbound.ErrNotSent.Has(err) {
		return nil, ErrUnreached.Wrap(err)
	}
	if err != nil {
		return nil, ErrFailed.Wrap(err)
	}
	if response.StatusCode == http.StatusOK {
		return &Answer{
			Status: response.StatusCode, Header: response.Header, Body: response.Body,
			StreamID: response.Header.Get(HeaderStreamID),
		}, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	return nil, refusal(response, string(text))
}

// refusal sorts a status into a class. errs compares classes by their address,
// so a copy of one would match nothing and pass for unknown.
func refusal(response *http.Response, text string) error {
	if response.Header.Get(HeaderNotRun) == NotRunLeaving {
		return ErrRefused.Wrap(ErrLeaving.New("status %d: %s", response.StatusCode, text))
	}
	class := &ErrFailed
	switch {
	case response.Header.Get(HeaderNotRun) != "":
		class = &ErrRefused
	case response.StatusCode == http.StatusGone || response.StatusCode == http.StatusNotFound:
		class = &ErrGone
	case response.StatusCode == http.StatusBadRequest || response.StatusCode == http.StatusUnprocessableEntity:
		class = &ErrBadRequest
	}
	return class.New("status %d: %s", response.StatusCode, text)
}

// Resume attaches to a stream that the engine still holds and returns its
// events after the given offset.
func (client *Client) Resume(ctx context.Context, address netip.AddrPort, stream string, after int64) (*Answer, error) {
	target := "http://" + address.String() + PathStreams + "/" + url.PathEscape(stream) + "?after=" + strconv.FormatInt(after, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, ErrGone.Wrap(err)
	}
	client.name(request)
	return answer(client.do(request))
}

// Cancel ends a stream and frees its memory. With onlyDetached the engine does
// so only if no reader is attached, so a stream that was meanwhile resumed
// elsewhere lives on. Cancelling a stream that is gone succeeds.
func (client *Client) Cancel(ctx context.Context, address netip.AddrPort, stream string, onlyDetached bool) error {
	target := "http://" + address.String() + PathStreams + "/" + url.PathEscape(stream)
	if onlyDetached {
		target += "?only_detached=true"
	}
	err := client.control(ctx, http.MethodDelete, target, nil)
	if ErrGone.Has(err) {
		return nil
	}
	return err
}

// Load reads the engine's report about itself.
func (client *Client) Load(ctx context.Context, address netip.AddrPort) (peridotpath.Load, error) {
	var load peridotpath.Load
	err := client.control(ctx, http.MethodGet, "http://"+address.String()+PathLoad, &load)
	return load, err
}

// Streams lists the streams that the engine holds.
func (client *Client) Streams(ctx context.Context, address netip.AddrPort) ([]StreamInfo, error) {
	var streams []StreamInfo
	err := client.control(ctx, http.MethodGet, "http://"+address.String()+PathStreams, &streams)
	return streams, err
}

// control makes one short call and decodes its answer into reply, if not nil.
func (client *Client) control(ctx context.Context, method, target string, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return ErrUnreached.Wrap(err)
	}
	client.name(request)
	got, err := answer(client.do(request))
	if err != nil {
		return err
	}
	defer got.Body.Close()
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(got.Body, maxControlReply)).Decode(reply); err != nil {
		return ErrFailed.Wrap(err)
	}
	return nil
}
