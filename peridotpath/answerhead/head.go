// Package answerhead decides what the head of an endpoint's answer proves: whether the endpoint
// has not run the request, and whether another endpoint has its address. It neither reads nor
// writes connections.
package answerhead

import (
	"fmt"
	"net/http"

	"peridotpath.example/peridotpath"
)

// Echo is the request that an answer names as the one it belongs to.
type Echo int

const (
	// EchoNone is an answer that names no request.
	EchoNone Echo = iota
	// EchoOwn is an answer that names the request that was sent.
	EchoOwn
	// EchoOther is an answer that names another request.
	EchoOther
)

var echoNames = [...]string{"none", "own", "other"}

func (echo Echo) String() string { return echoNames[echo] }

// Head is the part of an answer's head that decides.
type Head struct {
	Status int
	// IsSigned reports that the answer has the signature that an endpoint adds to what it has run.
	IsSigned bool
	Echo     Echo
	// StatesNotRun reports that the answer has the field by which endpoints state that they have not
	// run the request.
	StatesNotRun bool
	// Endpoint is the endpoint that the request was sent to, Named the one that the answer names;
	// empty where it names none.
	Endpoint, Named peridotpath.EndpointID
}

// String returns the head for log lines and errors.
func (head *Head) String() string {
	return fmt.Sprintf("status=%d signed=%v id=%v not_run=%v named=%q", head.Status, head.IsSigned, head.Echo, head.StatesNotRun, string(head.Named))
}

// PromisesNotRun reports whether callers take the status for the promise that the request has
// not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// IsContradictory reports whether the head states both that the request has run and that it has
// not, as after one wrong byte. Such a head proves nothing.
func (head *Head) IsContradictory() bool {
	deniesRun := head.StatesNotRun || PromisesNotRun(head.Status)
	isSuccess := head.Status < http.StatusMultipleChoices
	return deniesRun && head.IsSigned || head.StatesNotRun && (isSuccess || head.Echo == EchoOther)
}

// ProvesNotRun reports whether the endpoint has certainly not run the request. Beside the field that
// states it, a 421 is proof: one that names another endpoint, or one that names no request, while
// whatever has run names its request.
func (head *Head) ProvesNotRun() bool {
	if head.IsSigned || head.IsContradictory() || head.Echo == EchoOther {
		return false
	}
	return head.StatesNotRun || head.isMisdirected() && (head.namesOther() || head.Echo == EchoNone)
}

// IsFromOtherEndpoint reports whether another endpoint has the address now. A 421 shows it that names
// the other one, or bears nothing else. One that only states that the request has not run may be
// a 429 with a wrong byte.
func (head *Head) IsFromOtherEndpoint() bool {
	isBare := head.Named == "" && !head.StatesNotRun
	return head.isMisdirected() && head.ProvesNotRun() && (head.namesOther() || isBare)
}

// IsUnprovenRefusal reports whether the status promises to callers what the head does not prove. To
// pass it on would make a caller repeat what may have run.
func (head *Head) IsUnprovenRefusal() bool {
	return PromisesNotRun(head.Status) && !head.ProvesNotRun()
}

// AnswersRequest reports whether the endpoint that was meant answers the request that was sent, be it
// with a refusal. A success has a signature.
func (head *Head) AnswersRequest() bool {
	if head.Echo != EchoOwn || head.IsContradictory() || head.IsFromOtherEndpoint() {
		return false
	}
	return head.IsSigned || head.Status >= http.StatusMultipleChoices
}

func (head *Head) isMisdirected() bool { return head.Status == http.StatusMisdirectedRequest }

func (head *Head) namesOther() bool { return head.Named != "" && head.Named != head.Endpoint }
