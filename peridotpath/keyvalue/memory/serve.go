package memory

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"peridotpath.example/peridotpath/keyvalue"
)

// ServeHTTP serves the HTTP protocol of keyvalue.Connect.
func (memory *Memory) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var call keyvalue.Call
	if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
		reply(writer, keyvalue.Reply{}, keyvalue.ErrInvalid.Wrap(err))
		return
	}
	answer, err := memory.serve(request, strings.TrimPrefix(request.URL.Path, keyvalue.PathPrefix), call)
	answer.Era = memory.Era()
	reply(writer, answer, err)
}

func (memory *Memory) serve(request *http.Request, name string, call keyvalue.Call) (answer keyvalue.Reply, err error) {
	ctx := request.Context()
	switch name {
	case keyvalue.CallGet:
		answer.Entry, err = memory.get(ctx, call.Key)
	case keyvalue.CallList:
		answer.Entries, answer.Version, err = memory.list(ctx, call.Key)
	case keyvalue.CallSwap:
		value := call.Value
		if call.Delete {
			value = nil
		} else if value == nil {
			value = []byte{}
		}
		answer.Version, err = memory.swap(ctx, call.Key, call.Expect, value, call.Lease)
	case keyvalue.CallGrant:
		answer.Lease, err = memory.grant(ctx, time.Duration(call.TTLMS)*time.Millisecond)
	case keyvalue.CallRenew:
		err = memory.renew(ctx, call.Lease)
	case keyvalue.CallRelease:
		err = memory.release(ctx, call.Lease)
	case keyvalue.CallWatch:
		wait := time.Duration(call.WaitMS) * time.Millisecond
		answer.Entries, answer.Version, err = memory.watch(ctx, call.Key, call.After, wait)
	default:
		err = keyvalue.ErrInvalid.New("no call %q", name)
	}
	return answer, err
}

func reply(writer http.ResponseWriter, answer keyvalue.Reply, err error) {
	status := http.StatusOK
	switch {
	case err == nil:
	case keyvalue.ErrConflict.Has(err):
		status = http.StatusConflict
	case keyvalue.ErrLeaseExpired.Has(err):
		status = http.StatusGone
	case keyvalue.ErrInvalid.Has(err):
		status = http.StatusBadRequest
	default:
		status = http.StatusServiceUnavailable
	}
	if err != nil {
		answer.Error = err.Error()
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(answer)
}
