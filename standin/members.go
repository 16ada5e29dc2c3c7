package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/google/subcommands"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/membership"
)

const membersUsage = `members [-address IP:PORT] -fleet FILE [-lag DURATION]
  Plays the platform's membership list. FILE holds the list as JSON.
  POST /members/state {"id": "...", "state": "live|leaving|gone"} changes a member.
  POST /members/flap {"id": "...", "every_ms": 500, "times": 10} has a member come and go.
`

type membersCommand struct {
	address string
	fleet   string
	lag     time.Duration
}

func (*membersCommand) Name() string     { return "members" }
func (*membersCommand) Synopsis() string { return "plays the platform's membership list" }
func (*membersCommand) Usage() string    { return membersUsage }

func (command *membersCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.address, "address", "127.0.0.1:7002", "where to listen")
	flags.StringVar(&command.fleet, "fleet", "", "file with the membership list")
	flags.DurationVar(&command.lag, "lag", 500*time.Millisecond, "how late readers see a change")
}

func (command *membersCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := os.ReadFile(command.fleet)
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin members: %v\n", err)
		return subcommands.ExitFailure
	}
	memberList := &memberList{readLag: command.lag}
	if err := json.Unmarshal(text, &memberList.list); err != nil {
		fmt.Fprintf(os.Stderr, "standin members: %s: %v\n", command.fleet, err)
		return subcommands.ExitFailure
	}
	memberList.versions = []listVersion{{list: memberList.list}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+membership.Path, memberList.get)
	mux.HandleFunc("POST "+membership.Path+"/state", memberList.setState)
	mux.HandleFunc("POST "+membership.Path+"/flap", memberList.flap)
	return serve(ctx, command.Name(), command.address, mux)
}

// memberList is the membership list. Readers see changes after readLag.
type memberList struct {
	readLag time.Duration

	mu   sync.Mutex
	list membership.List
	// versions holds the versions that readers may still see, oldest first.
	versions []listVersion
}

// listVersion is the membership list after a change.
type listVersion struct {
	list      membership.List
	changedAt time.Time
}

func (memberList *memberList) get(writer http.ResponseWriter, _ *http.Request) {
	memberList.mu.Lock()
	defer memberList.mu.Unlock()
	visibleUntil := time.Now().Add(-memberList.readLag)
	for len(memberList.versions) > 1 && !memberList.versions[1].changedAt.After(visibleUntil) {
		memberList.versions = memberList.versions[1:]
	}
	_ = json.NewEncoder(writer).Encode(&memberList.versions[0].list)
}

// stateRemoved removes a member from the list.
const stateRemoved = "gone"

type stateChange struct {
	ID    string            `json:"id"`
	State peridotpath.State `json:"state"`
}

func (memberList *memberList) setState(writer http.ResponseWriter, request *http.Request) {
	var change stateChange
	if err := json.NewDecoder(request.Body).Decode(&change); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	memberList.mu.Lock()
	defer memberList.mu.Unlock()
	memberList.change(change)
}

// change creates a new version of the list, which shares no memory with earlier ones.
func (memberList *memberList) change(change stateChange) {
	memberList.list.Revision++
	memberList.list.Endpoints = withChange(memberList.list.Endpoints, func(endpoint *peridotpath.Endpoint) (string, *peridotpath.State) {
		return string(endpoint.ID), &endpoint.State
	}, change)
	memberList.list.Instances = withChange(memberList.list.Instances, func(instance *peridotpath.Instance) (string, *peridotpath.State) {
		return string(instance.ID), &instance.State
	}, change)
	memberList.versions = append(memberList.versions, listVersion{list: memberList.list, changedAt: time.Now()})
}

// withChange returns a copy of the list with the change applied and removed members left
// out. fields returns the ID and the state of a member.
func withChange[M any](list []M, fields func(*M) (id string, state *peridotpath.State), change stateChange) []M {
	var remaining []M
	for _, member := range list {
		id, state := fields(&member)
		if id == change.ID {
			*state = change.State
		}
		if *state != stateRemoved {
			remaining = append(remaining, member)
		}
	}
	return remaining
}

// flapRequest is a request to toggle a member's state repeatedly.
type flapRequest struct {
	ID      string             `json:"id"`
	EveryMS peridotpath.Millis `json:"every_ms"`
	Times   int                `json:"times"`
}

// flap makes a member leave and return the given number of times, or until the HTTP
// request ends.
func (memberList *memberList) flap(writer http.ResponseWriter, request *http.Request) {
	var flapping flapRequest
	if err := json.NewDecoder(request.Body).Decode(&flapping); err != nil || flapping.EveryMS <= 0 {
		http.Error(writer, "not a flapping", http.StatusBadRequest)
		return
	}
	ticker := time.NewTicker(flapping.EveryMS.Duration())
	defer ticker.Stop()
	states := [...]peridotpath.State{peridotpath.StateLeaving, peridotpath.StateLive}
	for i := range 2 * flapping.Times {
		memberList.mu.Lock()
		memberList.change(stateChange{ID: flapping.ID, State: states[i%len(states)]})
		memberList.mu.Unlock()
		select {
		case <-ticker.C:
		case <-request.Context().Done():
			return
		}
	}
}
