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
		writeReply(writer, keyvalue.Reply{}, keyvalue.ErrInvalid.Wrap(err))
		return
	}
	reply, err := memory.serve(request, strings.TrimPrefix(request.URL.Path, keyvalue.PathPrefix), call)
	reply.Era = memory.Era()
	writeReply(writer, reply, err)
}

func (memory *Memory) serve(request *http.Request, name string, call keyvalue.Call) (reply keyvalue.Reply, err error) {
	ctx := request.Context()
	switch name {
	case keyvalue.CallGet:
		reply.Entry, err = memory.get(ctx, call.Key)
	case keyvalue.CallList:
		reply.Entries, reply.Version, err = memory.list(ctx, call.Key)
	case keyvalue.CallSwap:
		value := call.Value
		if call.Delete {
			value = nil
		} else if value == nil {
			value = []byte{}
		}
		reply.Version, err = memory.swap(ctx, call.Key, call.Expect, value, call.Lease)
	case keyvalue.CallGrant:
		reply.Lease, err = memory.grant(ctx, time.Duration(call.TTLMS)*time.Millisecond)
	case keyvalue.CallRenew:
		err = memory.renew(ctx, call.Lease)
	case keyvalue.CallRelease:
		err = memory.release(ctx, call.Lease)
	case keyvalue.CallWatch:
		wait := time.Duration(call.WaitMS) * time.Millisecond
		reply.Entries, reply.Version, err = memory.watch(ctx, call.Key, call.After, wait)
	default:
		err = keyvalue.ErrInvalid.New("no call %q", name)
	}
	return reply, err
}

func writeReply(writer http.ResponseWriter, reply keyvalue.Reply, err error) {
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
		reply.Error = err.Error()
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(reply)
}
