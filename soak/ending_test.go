package main

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/platform/standin"
)

// endingFixture is a request that one endpoint received, and that ends after half a second.
type endingFixture struct {
	fleet    *fleet
	endpoint *endpoint
	ending   ending
}

func newEndingFixture(reply *standin.Reply) *endingFixture {
	store := &standin.Store{}
	sentAt := time.Now()
	requested := &instance{ID: "edge-0", IngressAddress: netip.AddrPortFrom(instanceAddress(0), 80)}
	sent := sentRequest{Request: standin.Request{ID: "c1", Route: standin.RouteStream, ClientTimeout: clientTimeout}, Instance: requested, SentAt: sentAt}
	fixture := &endingFixture{
		endpoint: &endpoint{Endpoint: &standin.Endpoint{ID: "i-0"}, proxy: &proxy{}},
		ending:   ending{sentRequest: sent, reply: reply, wroteAt: sentAt, endedAt: sentAt.Add(500 * time.Millisecond)},
	}
	fixture.fleet = &fleet{
		checker: newChecker(store), store: store, endpoints: []*endpoint{fixture.endpoint}, instances: []*instance{requested, {ID: "edge-1"}},
	}
	fixture.fleet.checker.recordSent(sent)
	fixture.fleet.checker.recordArrival(fixture.endpoint, standin.Arrival{RequestID: "c1"}, nil)
	return fixture
}

// isReported checks the ending and returns whether it is reported as a violation.
func (fixture *endingFixture) isReported() bool {
	fixture.fleet.checkEnding(fixture.ending)
	violations, _, _ := fixture.fleet.checker.summary()
	return len(violations) > 0
}

func (fixture *endingFixture) killPeer() {
	fixture.fleet.instances[1].recordSignal(syscall.SIGKILL, fixture.ending.endedAt)
}

var (
	wholeReply   = &standin.Reply{Status: 200, IsComplete: true}
	refusal      = &standin.Reply{Status: 503, IsComplete: true}
	brokenStream = &standin.Reply{Status: 200, EventIDs: []int{1, 2}}
	badGateway   = &standin.Reply{Status: 502, IsComplete: true}
	lateGateway  = &standin.Reply{Status: 504, IsComplete: true}
)

// A 504 of a request that a short timeout does not excuse is traced by how far it missed it.
func TestReportNamesShortTimeouts(t *testing.T) {
	is := is.New(t)
	fixture := newEndingFixture(lateGateway)
	sentAt := fixture.ending.SentAt
	fixture.fleet.checker.shortTimeouts = []span{
		{from: sentAt.Add(-9 * time.Second), until: sentAt.Add(-8 * time.Second)},
		{from: sentAt.Add(-time.Second), until: sentAt.Add(500 * time.Millisecond)},
		{from: sentAt.Add(time.Second)},
	}
	fixture.ending.endedAt = sentAt.Add(standin.ShortTimeout + shortTimeoutSlack + 9*time.Millisecond)
	is.True(fixture.isReported())
	violations, _, _ := fixture.fleet.checker.summary()
	is.True(strings.HasSuffix(violations[0], "; timeouts of 900ms from -1s to 500ms after it was sent; timeouts of 900ms from 1s to now after it was sent"))
}

// A soak that takes a broken answer for a good one passes over the fault that it looks for.
func TestEndingsAreReported(t *testing.T) {
	tests := []struct {
		name    string
		reply   *standin.Reply
		want    bool
		besides func(fixture *endingFixture)
	}{
		{"whole answer", wholeReply, false, nil},
		{"refusal", refusal, false, nil},
		{"closed connection", nil, true, nil},
		{"broken stream", brokenStream, true, nil},
		{"502", badGateway, true, nil},
		{"504", lateGateway, true, nil},
		{"silent endpoint", brokenStream, true, func(fixture *endingFixture) { fixture.endpoint.SetSilent(true) }},
		{"link that forwards nothing", brokenStream, true, func(fixture *endingFixture) { fixture.endpoint.proxy.setLink(linkBlackhole) }},
		{"instance reloads", brokenStream, true, func(fixture *endingFixture) {
			fixture.ending.Instance.recordSignal(syscall.SIGHUP, fixture.ending.SentAt)
		}},
		{"instance stops", brokenStream, true, func(fixture *endingFixture) {
			fixture.ending.Instance.recordSignal(syscall.SIGTERM, fixture.ending.SentAt)
		}},
		{"instance was killed long before", brokenStream, true, func(fixture *endingFixture) {
			fixture.ending.Instance.recordSignal(syscall.SIGKILL, fixture.ending.SentAt.Add(-time.Second))
		}},
		{"instance was paused before", brokenStream, true, func(fixture *endingFixture) {
			fixture.ending.Instance.recordSignal(syscall.SIGSTOP, fixture.ending.SentAt.Add(-2*time.Second))
			fixture.ending.Instance.recordSignal(syscall.SIGCONT, fixture.ending.SentAt.Add(-time.Second))
		}},
		{"later than short timeouts", lateGateway, true, func(fixture *endingFixture) {
			fixture.fleet.checker.shortTimeouts = []span{{from: fixture.ending.SentAt}}
			fixture.ending.endedAt = fixture.ending.SentAt.Add(2 * standin.ShortTimeout)
		}},
		{"sooner than short timeouts", lateGateway, true, func(fixture *endingFixture) {
			fixture.fleet.checker.shortTimeouts = []span{{from: fixture.ending.SentAt}}
		}},
		{"peer killed", brokenStream, true, func(fixture *endingFixture) { fixture.killPeer() }},
		{"peer killed that carries", brokenStream, true, func(fixture *endingFixture) {
			fixture.endpoint.proxy.setSourceLink(instanceAddress(0), linkBlackhole)
			fixture.killPeer()
		}},
		{"peer stopped that carries", brokenStream, true, func(fixture *endingFixture) {
			fixture.endpoint.proxy.setSourceLink(instanceAddress(0), linkBlackhole)
			fixture.fleet.instances[1].recordSignal(syscall.SIGTERM, fixture.ending.endedAt)
		}},
		{"no end", nil, true, func(fixture *endingFixture) {
			fixture.ending.clientErr = context.DeadlineExceeded
			fixture.ending.endedAt = fixture.ending.SentAt.Add(clientTimeout + 2*time.Second)
		}},
		{"closed connection of an instance that has just stopped", nil, true, func(fixture *endingFixture) {
			fixture.fleet.checker.arrivals = nil
			fixture.ending.Instance.recordSignal(syscall.SIGTERM, fixture.ending.SentAt)
		}},
		{"closed connection of an instance that stops, after the request was sent on", nil, true, func(fixture *endingFixture) {
			fixture.ending.Instance.recordSignal(syscall.SIGTERM, fixture.ending.endedAt.Add(-standin.StopServeTime))
		}},
		{"closed connection of an instance that stops, at which the request waited", nil, true, func(fixture *endingFixture) {
			fixture.fleet.checker.arrivals = nil
			fixture.ending.Instance.recordSignal(syscall.SIGTERM, fixture.ending.endedAt.Add(-standin.StopServeTime))
		}},
		{"closed connection after a reset", nil, true, func(fixture *endingFixture) { fixture.endpoint.proxy.setLink(linkReset) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newEndingFixture(test.reply)
			if test.reply == nil {
				fixture.ending.err = errors.New("EOF")
			}
			if test.besides != nil {
				test.besides(fixture)
			}
			is.Equal(fixture.isReported(), test.want)
		})
	}
}

// A soak that reports what no instance can prevent is of no use, either.
func TestExcusedEndingsAreNotReported(t *testing.T) {
	tests := []struct {
		name   string
		reply  *standin.Reply
		excuse func(fixture *endingFixture)
	}{
		{"client left", nil, func(fixture *endingFixture) { fixture.ending.clientErr = context.Canceled }},
		{"not sent whole", nil, func(fixture *endingFixture) { fixture.ending.wroteAt = time.Time{} }},
		{"instance killed", brokenStream, func(fixture *endingFixture) {
			fixture.ending.Instance.recordSignal(syscall.SIGKILL, fixture.ending.SentAt)
		}},
		{"instance paused", brokenStream, func(fixture *endingFixture) {
			fixture.ending.Instance.recordSignal(syscall.SIGSTOP, fixture.ending.SentAt)
		}},
		{"endpoint broke off", brokenStream, func(fixture *endingFixture) { fixture.fleet.checker.recordAbort("c1") }},
		{"endpoint reset its connections", brokenStream, func(fixture *endingFixture) { fixture.endpoint.proxy.setLink(linkReset) }},
		{"connection of the instance reset", badGateway, func(fixture *endingFixture) {
			fixture.fleet.checker.arrivals = nil
			fixture.endpoint.proxy.setSourceLink(instanceAddress(0), linkReset)
		}},
		{"instance that stops closes its connections", nil, func(fixture *endingFixture) {
			fixture.fleet.checker.arrivals = nil
			fixture.ending.wroteAt = fixture.ending.endedAt.Add(-crossingSlack)
			fixture.ending.Instance.recordSignal(syscall.SIGTERM, fixture.ending.endedAt.Add(-standin.StopServeTime))
		}},
		{"its time is up", lateGateway, func(fixture *endingFixture) {
			fixture.ending.endedAt = fixture.ending.SentAt.Add(clientTimeout - endSlack/2)
		}},
		{"short timeouts", lateGateway, func(fixture *endingFixture) {
			before := fixture.ending.SentAt.Add(-time.Second)
			fixture.fleet.checker.shortTimeouts = []span{{from: before, until: before}}
			fixture.ending.endedAt = fixture.ending.SentAt.Add(standin.ShortTimeout)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newEndingFixture(test.reply)
			test.excuse(fixture)
			is.True(!fixture.isReported())
		})
	}
}
